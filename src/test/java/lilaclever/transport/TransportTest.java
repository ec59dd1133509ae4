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
                ServerSocket full = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                Socket first = new Socket(full.getInetAddress(), full.getLocalPort());
                Socket second = new Socket(full.getInetAddress(), full.getLocalPort())) {
            InetSocketAddress address = new InetSocketAddress(full.getInetAddress(), full.getLocalPort());
            long before = openDescriptors();
            for (int i = 0; i < 50; i++) {
                transport
                        .connect(address, Transport.chain(new BaseFilter() {}), up -> {}, problem -> {})
                        .run();
            }
            for (long end = System.nanoTime() + 10_000_000_000L;
                    openDescriptors() > before + 5 && System.nanoTime() < end; ) {
                Thread.onSpinWait();
            }
            assertTrue(
                    openDescriptors() <= before + 5, "of fifty, " + (openDescriptors() - before) + " are still open");
            assertTrue(first.isConnected() && second.isConnected());
        }
    }

    private static long openDescriptors() throws IOException {
        try (Stream<Path> open = Files.list(Path.of("/proc/self/fd"))) {
            return open.count();
        }
    }

    /** A response (such as a retry-after) that has arrived but is still unread takes effect before a call is sent. */
    @Test
    void receivedBytesAreReadBeforeTheTaskRuns() throws Exception {
        LinkedBlockingQueue<String> order = new LinkedBlockingQueue<>();
        LinkedBlockingQueue<Connection<?>> up = new LinkedBlockingQueue<>();
        CountDownLatch busy = new CountDownLatch(1);
        CountDownLatch free = new CountDownLatch(1);
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
            transport.connect(address, chain, up::add, Throwable::printStackTrace);
            Connection<?> answered = up.poll(20, TimeUnit.SECONDS);
            transport.connect(address, chain, up::add, Throwable::printStackTrace);
            Connection<?> other = up.poll(20, TimeUnit.SECONDS);
            Transport.runOnSelector(other, () -> {
                busy.countDown();
                try {
                    free.await(20, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    order.add("interrupted");
                }
            });
            busy.await(20, TimeUnit.SECONDS);
            try (Socket peer = server.accept()) {
                Transport.runAfterReading(other, () -> order.add("task"));
                peer.getOutputStream().write("answer".getBytes());
                peer.getOutputStream().flush();
                free.countDown();
                assertEquals("answer", order.poll(20, TimeUnit.SECONDS));
                assertEquals("task", order.poll(20, TimeUnit.SECONDS));
            }
        }
    }
}
