package lilaclever.transport;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.filterchain.TransportFilter;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.memory.MemoryManager;
import org.glassfish.grizzly.nio.NIOConnection;

/**
 * The transport filter of a chain that has to tell an orderly close by the peer from a reset, which Grizzly's own
 * filter reports alike. Selector thread.
 */
final class OrderlyCloseFilter extends TransportFilter {
    private static final int BUFFER_BYTES = 16 * 1024;

    private static final Attribute<Boolean> CLOSED_IN_ORDER =
            Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("OrderlyCloseFilter.closedInOrder");

    /** True if the peer has closed the connection without a reset. */
    static boolean isClosedInOrder(Connection<?> connection) {
        return Boolean.TRUE.equals(CLOSED_IN_ORDER.get(connection));
    }

    @Override
    public NextAction handleRead(FilterChainContext context) {
        Connection<?> connection = context.getConnection();
        ByteBuffer buffer = ByteBuffer.allocate(BUFFER_BYTES);
        int count = read(connection, buffer);
        if (count < 0) {
            connection.closeSilently();
        }
        if (count <= 0) {
            return context.getStopAction();
        }
        buffer.flip();
        context.setMessage(Buffers.wrap(MemoryManager.DEFAULT_MEMORY_MANAGER, buffer));
        return context.getInvokeAction();
    }

    /** Reads what is there; returns a negative number if the connection has ended. */
    private static int read(Connection<?> connection, ByteBuffer buffer) {
        try {
            int count = ((SocketChannel) ((NIOConnection) connection).getChannel()).read(buffer);
            if (count < 0) {
                CLOSED_IN_ORDER.set(connection, true);
            }
            return count;
        } catch (IOException e) {
            return -1;
        }
    }
}
