package lilaclever.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.function.Consumer;
import java.util.regex.Pattern;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.IOEvent;
import org.glassfish.grizzly.WriteResult;
import org.glassfish.grizzly.filterchain.Filter;
import org.glassfish.grizzly.filterchain.FilterChain;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.filterchain.TransportFilter;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.memory.MemoryManager;
import org.glassfish.grizzly.nio.NIOConnection;
import org.glassfish.grizzly.nio.transport.TCPNIOBindingHandler;
import org.glassfish.grizzly.nio.transport.TCPNIOConnectorHandler;
import org.glassfish.grizzly.nio.transport.TCPNIOServerConnection;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.nio.transport.TCPNIOTransportBuilder;
import org.glassfish.grizzly.strategies.SameThreadIOStrategy;
import org.glassfish.grizzly.threadpool.ThreadPoolConfig;

/** All sockets of the program: one selector thread, on which filters run; they hand on what they read. */
public final class Transport implements AutoCloseable {
    private static final int BACKLOG = 512;
    private static final int BUFFER = 16 * 1024;
    /** Nanoseconds: far less than an answer may be on its way before it must have been heeded (100 ms). */
    private static final long LATELY = 20_000_000;
    private static final Pattern LITERAL = Pattern.compile("[0-9.]+|\\[[0-9a-fA-F:.]+]");

    private final TCPNIOTransport tcp;

    /** Starts the selector thread. */
    public Transport() throws IOException {
        ThreadPoolConfig selector = ThreadPoolConfig.defaultConfig().copy().setPoolName("sockets").setCorePoolSize(1)
                .setMaxPoolSize(1).setDaemon(true);
        tcp = TCPNIOTransportBuilder.newInstance().setName("sockets").setSelectorRunnersCount(1)
                .setSelectorThreadPoolConfig(selector).setIOStrategy(SameThreadIOStrategy.getInstance())
                .setReuseAddress(true).setTcpNoDelay(true).setServerConnectionBackLog(BACKLOG)
                .setReadBufferSize(BUFFER).setWriteBufferSize(BUFFER).build();
        tcp.start();
    }

    /** A chain of the socket itself and the given filters. */
    public static FilterChain chain(Filter... filters) {
        FilterChainBuilder builder = FilterChainBuilder.stateless().add(new TransportFilter());
        for (Filter filter : filters) {
            builder.add(filter);
        }
        return builder.build();
    }

    /** Listens on the address; each connection gets the chain. */
    public TCPNIOServerConnection listen(SocketAddress address, FilterChain chain) throws IOException {
        try {
            return TCPNIOBindingHandler.builder(tcp).processor(chain).build().bind(address, BACKLOG);
        } catch (IOException e) {
            throw new IOException("can't listen at " + address + ": " + e.getMessage(), e);
        }
    }

    /** Opens a connection; one of the two is called, on any thread. */
    @SuppressWarnings("rawtypes")
    public void connect(InetSocketAddress address, FilterChain chain, Consumer<Connection<?>> up,
            Consumer<Throwable> failed) {
        TCPNIOConnectorHandler.builder(tcp).processor(chain).build().connect(address,
                new EmptyCompletionHandler<Connection>() {
                    @Override
                    public void completed(Connection connection) {
                        up.accept(connection);
                    }

                    @Override
                    public void failed(Throwable problem) {
                        failed.accept(problem);
                    }
                });
    }

    /** Has the task run on the selector thread, where the connection's bytes are read: never at once. */
    public static void onSelector(Connection<?> connection, Runnable task) {
        connection.executeInEventThread(IOEvent.WRITE, task);
    }

    /**
     * Has the task run on the selector thread after a selection that was begun once this was called, and lately: what had
     * come on any connection by then has been read.
     */
    public static void afterReading(Connection<?> connection, Runnable task) {
        onSelector(connection, () -> nextSelection(connection, task));
    }

    private static void nextSelection(Connection<?> connection, Runnable task) {
        long before = System.nanoTime();
        onSelector(connection, () -> {
            if (System.nanoTime() - before > LATELY) {
                nextSelection(connection, task); // that one took long: more may have come since
            } else {
                task.run();
            }
        });
    }

    /**
     * True if the connection is open and the other side has said nothing more and has not closed it. On the selector
     * thread alone, since it reads.
     */
    public static boolean isQuiet(Connection<?> connection) {
        try {
            return connection.isOpen() && ((SocketChannel) ((NIOConnection) connection).getChannel())
                    .read(ByteBuffer.allocate(1)) == 0;
        } catch (IOException e) {
            return false;
        }
    }

    /** The bytes of a message from the socket; the buffer goes back to its pool. */
    public static byte[] bytes(Buffer buffer) {
        byte[] bytes = new byte[buffer.remaining()];
        buffer.get(bytes);
        buffer.tryDispose();
        return bytes;
    }

    /** Writes bytes; one of the two is run, on any thread. */
    public static void write(Connection<?> connection, byte[] bytes, Runnable written, Runnable failed) {
        write(connection, Buffers.wrap(MemoryManager.DEFAULT_MEMORY_MANAGER, bytes), written, failed);
    }

    /** Writes a message through the connection's filters; one of the two is run, on any thread. */
    @SuppressWarnings("unchecked")
    public static <M> void write(Connection<?> connection, M message, Runnable written, Runnable failed) {
        ((Connection<SocketAddress>) connection).write(message,
                new EmptyCompletionHandler<WriteResult<M, SocketAddress>>() {
                    @Override
                    public void completed(WriteResult<M, SocketAddress> result) {
                        written.run();
                    }

                    @Override
                    public void failed(Throwable problem) {
                        failed.run();
                    }
                });
    }

    /** The address in a text such as 127.0.0.1:25 or [::1]:25; there are no names to look up. */
    public static InetSocketAddress address(String hostAndPort) {
        int colon = hostAndPort.lastIndexOf(':');
        if (colon <= 0 || !LITERAL.matcher(hostAndPort.substring(0, colon)).matches()) {
            throw new IllegalArgumentException("not an IP address and a port: " + hostAndPort);
        }
        return new InetSocketAddress(hostAndPort.substring(0, colon),
                Integer.parseInt(hostAndPort.substring(colon + 1)));
    }

    @Override
    public void close() throws IOException {
        tcp.shutdownNow();
    }
}
