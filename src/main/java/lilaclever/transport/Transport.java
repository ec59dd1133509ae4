package lilaclever.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.function.Consumer;
import java.util.regex.Pattern;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.CloseReason;
import org.glassfish.grizzly.CloseType;
import org.glassfish.grizzly.CompletionHandler;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.GrizzlyFuture;
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

/** All sockets of the program, served by one selector thread, on which the filters run. */
public final class Transport implements AutoCloseable {
    private static final int BACKLOG = 512;
    private static final int BUFFER_BYTES = 16 * 1024;
    /** Far below the 100 ms within which a received response has to take effect. */
    private static final long MAX_SELECTION_NANOS = 20_000_000;
    /**
     * Selections to wait for, if each takes longer than {@link #MAX_SELECTION_NANOS}, before the task runs anyway: on a
     * machine that is always busy none is short.
     */
    private static final int MAX_SELECTIONS = 5;

    private static final Pattern IP_LITERAL = Pattern.compile("[0-9.]+|\\[[0-9a-fA-F:.]+]");

    private final TCPNIOTransport tcp;

    /** Starts the selector thread. */
    public Transport() throws IOException {
        ThreadPoolConfig selector = ThreadPoolConfig.defaultConfig()
                .copy()
                .setPoolName("sockets")
                .setCorePoolSize(1)
                .setMaxPoolSize(1)
                .setDaemon(true);
        tcp = TCPNIOTransportBuilder.newInstance()
                .setName("sockets")
                .setSelectorRunnersCount(1)
                .setSelectorThreadPoolConfig(selector)
                .setIOStrategy(SameThreadIOStrategy.getInstance())
                .setReuseAddress(true)
                .setTcpNoDelay(true)
                .setServerConnectionBackLog(BACKLOG)
                .setReadBufferSize(BUFFER_BYTES)
                .setWriteBufferSize(BUFFER_BYTES)
                .build();
        tcp.start();
    }

    /** A filter chain of the socket transport and the given filters. */
    public static FilterChain chain(Filter... filters) {
        return chain(new TransportFilter(), filters);
    }

    /** A filter chain whose connections tell an orderly close by the peer from a reset. */
    public static FilterChain chainDetectingResets(Filter... filters) {
        return chain(new OrderlyCloseFilter(), filters);
    }

    private static FilterChain chain(TransportFilter transportFilter, Filter... filters) {
        FilterChainBuilder builder = FilterChainBuilder.stateless().add(transportFilter);
        for (Filter filter : filters) {
            builder.add(filter);
        }
        return builder.build();
    }

    /** Listens on the address; each accepted connection uses the filter chain. */
    public TCPNIOServerConnection listen(SocketAddress address, FilterChain chain) throws IOException {
        try {
            return TCPNIOBindingHandler.builder(tcp).processor(chain).build().bind(address, BACKLOG);
        } catch (IOException e) {
            throw new IOException("can't listen at " + address + ": " + e.getMessage(), e);
        }
    }

    /**
     * Opens a connection; one of the two callbacks is called, on any thread. The returned task cancels the attempt
     * while it is in progress, and then neither is called. Without cancellation, a connection that is never established
     * holds its file descriptor for as long as the system keeps trying.
     */
    @SuppressWarnings("rawtypes")
    public Runnable connect(
            InetSocketAddress address,
            FilterChain chain,
            Consumer<Connection<?>> onConnected,
            Consumer<Throwable> onFailed) {
        GrizzlyFuture<Connection> pending = new Connector(tcp, chain)
                .open(address, new EmptyCompletionHandler<Connection>() {
                    @Override
                    public void completed(Connection connection) {
                        onConnected.accept(connection);
                    }

                    @Override
                    public void failed(Throwable problem) {
                        onFailed.accept(problem);
                    }
                });
        return () -> pending.cancel(false);
    }

    /** Opens connections whose establishment can be cancelled. */
    @SuppressWarnings("rawtypes")
    private static final class Connector extends TCPNIOConnectorHandler {
        Connector(TCPNIOTransport tcp, FilterChain chain) {
            super(tcp);
            setProcessor(chain);
        }

        GrizzlyFuture<Connection> open(SocketAddress address, CompletionHandler<Connection> handler) {
            return connectAsync(address, null, handler, true);
        }
    }

    /** Queues a task for the selector thread, on which the connection is read; it never runs immediately. */
    public static void runOnSelector(Connection<?> connection, Runnable task) {
        connection.executeInEventThread(IOEvent.WRITE, task);
    }

    /**
     * Runs the task on the selector thread right after a selection that began after this call and did not take long:
     * everything received on any connection before that selection began has been read then. The number of selections to
     * wait for is bounded, in case all of them take long.
     */
    public static void runAfterReading(Connection<?> connection, Runnable task) {
        runOnSelector(connection, () -> runAfterSelection(connection, task, MAX_SELECTIONS));
    }

    private static void runAfterSelection(Connection<?> connection, Runnable task, int selectionsLeft) {
        long startedNanos = System.nanoTime();
        runOnSelector(connection, () -> {
            if (selectionsLeft > 1 && System.nanoTime() - startedNanos > MAX_SELECTION_NANOS) {
                // It took long, so more may have been received since.
                runAfterSelection(connection, task, selectionsLeft - 1);
            } else {
                task.run();
            }
        });
    }

    /**
     * True if the connection is open and the peer has neither sent anything nor closed it. On the selector thread only,
     * since it reads from the socket.
     */
    public static boolean isOpenAndSilent(Connection<?> connection) {
        try {
            return connection.isOpen()
                    && ((SocketChannel) ((NIOConnection) connection).getChannel()).read(ByteBuffer.allocate(1)) == 0;
        } catch (IOException e) {
            return false;
        }
    }

    /**
     * True if the connection was closed by the peer, either orderly or by a reset: Grizzly does not distinguish them.
     */
    public static boolean isClosedByPeer(Connection<?> closed) {
        CloseReason reason = closed.getCloseReason();
        return reason != null && reason.getType() == CloseType.REMOTELY;
    }

    /**
     * True if the peer has closed a connection with {@link #chainDetectingResets} after it had read all that had
     * reached it: a system resets the connection of a process that ends with bytes unread.
     */
    public static boolean isClosedInOrderByPeer(Connection<?> closed) {
        return OrderlyCloseFilter.isClosedInOrder(closed);
    }

    /**
     * Shuts down the output of a connection; it is still read until the peer closes it. Any thread, after the last
     * write has completed.
     */
    public static void shutdownOutput(Connection<?> connection) {
        try {
            ((SocketChannel) ((NIOConnection) connection).getChannel()).shutdownOutput();
        } catch (IOException e) {
            connection.closeSilently(); // it is closed already
        }
    }

    /** Copies the bytes out of a buffer and returns the buffer to its pool. */
    public static byte[] toBytes(Buffer buffer) {
        byte[] bytes = new byte[buffer.remaining()];
        buffer.get(bytes);
        buffer.tryDispose();
        return bytes;
    }

    /** Writes bytes; one of the two callbacks is run, on any thread. */
    public static void write(Connection<?> connection, byte[] bytes, Runnable onWritten, Runnable onFailed) {
        write(connection, Buffers.wrap(MemoryManager.DEFAULT_MEMORY_MANAGER, bytes), onWritten, onFailed);
    }

    /** Writes a message through the connection's filters; one of the two callbacks is run, on any thread. */
    @SuppressWarnings("unchecked")
    public static <M> void write(Connection<?> connection, M message, Runnable onWritten, Runnable onFailed) {
        ((Connection<SocketAddress>) connection)
                .write(message, new EmptyCompletionHandler<WriteResult<M, SocketAddress>>() {
                    @Override
                    public void completed(WriteResult<M, SocketAddress> result) {
                        onWritten.run();
                    }

                    @Override
                    public void failed(Throwable problem) {
                        onFailed.run();
                    }
                });
    }

    /** Parses an address such as 127.0.0.1:25 or [::1]:25; host names are not accepted, so nothing is resolved. */
    public static InetSocketAddress parseAddress(String hostAndPort) {
        int colon = hostAndPort.lastIndexOf(':');
        if (colon <= 0 || !IP_LITERAL.matcher(hostAndPort.substring(0, colon)).matches()) {
            throw new IllegalArgumentException("not an IP address and a port: " + hostAndPort);
        }
        return new InetSocketAddress(
                hostAndPort.substring(0, colon), Integer.parseInt(hostAndPort.substring(colon + 1)));
    }

    @Override
    public void close() throws IOException {
        tcp.shutdownNow();
    }
}
