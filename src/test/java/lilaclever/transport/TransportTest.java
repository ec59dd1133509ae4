package lilaclever.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.junit.jupiter.api.Test;

class TransportTest {
    /** Guards against a descriptor leak: each connection that was never established kept its descriptor. */
    @Test
    void cancelledConnectFreesItsDescriptor() throws Exception {
        try (Transport transport = new Transport();
                ServerSocket fullServer = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                Socket first = new Socket(fullServer.getInetAddress(), fullServer.getLocalPort());
                Socket second = new Socket(fullServer.getInetAddress(), fullServer.getLocalPort())) {
            InetSocketAddress address = new InetSocketAddress(fullServer.getInetAddress(), fullServer.getLocalPort());
            long descriptorsBefore = openDescriptors();
            for (int i = 0; i < 50; i++) {
                transport
                        .connect(address, Transport.chain(new BaseFilter() {}), established -> {}, problem -> {})
                        .run();
            }
            for (long endNanos = System.nanoTime() + 10_000_000_000L;
                    openDescriptors() > descriptorsBefore + 5 && System.nanoTime() < endNanos; ) {
                Thread.onSpinWait();
            }
            assertTrue(
                    openDescriptors() <= descriptorsBefore + 5,
                    "of fifty, " + (openDescriptors() - descriptorsBefore) + " are still open");
            assertTrue(first.isConnected() && second.isConnected());
        }
    }

    private static long openDescriptors() throws IOException {
        try (Stream<Path> open = Files.list(Path.of("/proc/self/fd"))) {
            return open.count();
        }
    }

    /**
     * Guards against a call during a retry-after period on a busy machine: a response that has arrived, but is still
     * unread, takes effect before a call is sent.
     */
    @Test
    void receivedBytesAreReadBeforeTheTaskRuns() throws Exception {
        LinkedBlockingQueue<String> order = new LinkedBlockingQueue<>();
        LinkedBlockingQueue<Connection<?>> established = new LinkedBlockingQueue<>();
        CountDownLatch selectorBlocked = new CountDownLatch(1);
        CountDownLatch unblockSelector = new CountDownLatch(1);
        try (Transport transport = new Transport();
                ServerSocket server = new ServerSocket(0, 10, InetAddress.getLoopbackAddress())) {
            var chain = Transport.chain(new BaseFilter() {
                @Override
                public NextAction handleRead(FilterChainContext context) {
                    order.add(new String(Transport.toBytes(context.getMessage())));
                    return context.getStopAction();
                }
            });
            InetSocketAddress address = new InetSocketAddress(server.getInetAddress(), server.getLocalPort());
            transport.connect(address, chain, established::add, Throwable::printStackTrace);
            Connection<?> answered = established.poll(20, TimeUnit.SECONDS);
            transport.connect(address, chain, established::add, Throwable::printStackTrace);
            Connection<?> other = established.poll(20, TimeUnit.SECONDS);
            Transport.runOnSelector(other, () -> {
                selectorBlocked.countDown();
                try {
                    unblockSelector.await(20, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    order.add("interrupted");
                }
            });
            selectorBlocked.await(20, TimeUnit.SECONDS);
            try (Socket peer = server.accept()) {
                Transport.runAfterReading(other, () -> order.add("task"));
                peer.getOutputStream().write("answer".getBytes());
                peer.getOutputStream().flush();
                unblockSelector.countDown();
                assertEquals("answer", order.poll(20, TimeUnit.SECONDS));
                assertEquals("task", order.poll(20, TimeUnit.SECONDS));
            }
        }
    }
}
