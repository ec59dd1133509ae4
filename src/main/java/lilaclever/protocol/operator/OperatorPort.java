package lilaclever.protocol.operator;

import java.io.IOException;
import java.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import lilaclever.routing.Core;
import lilaclever.routing.ManualDrains;
import lilaclever.transport.Transport;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;

/**
 * A port for operators alone: one command line on each connection, and one line in response. The number of connections
 * is limited; a new one evicts the oldest if all are taken.
 */
public final class OperatorPort extends BaseFilter {
    /** Maximum number of connections: operators are few and send one command. */
    public static final int MOST = 8;

    private static final int LONGEST = 256;
    private static final long LINE_BY = 5_000_000;

    private final Core core;
    private final ManualDrains suspensions;
    private final ArrayDeque<Caller> callers = new ArrayDeque<>();
    private final Attribute<Caller> callerOf = Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("OperatorPort.caller");

    /** Creates a port whose commands are executed on the loop thread. */
    public OperatorPort(Core core, ManualDrains suspensions) {
        this.core = core;
        this.suspensions = suspensions;
        core.counters().gauge("operators", this::size);
    }

    /** A connection and what it has received. Selector thread. */
    private static final class Caller {
        private final Connection<?> connection;
        private final byte[] said = new byte[LONGEST];
        private int length;
        private boolean asked;

        Caller(Connection<?> connection) {
            this.connection = connection;
        }

        /** Appends bytes; returns the line once it is complete, an empty one if it is too long, and null before. */
        String line(byte[] bytes) {
            for (byte b : bytes) {
                if (b == '\n') {
                    return new String(said, 0, length, StandardCharsets.ISO_8859_1).strip();
                }
                if (length == LONGEST) {
                    return "";
                }
                said[length++] = b;
            }
            return null;
        }
    }

    /** Starts to listen at the address. */
    public SocketAddress listen(Transport transport, SocketAddress address) throws IOException {
        return transport.listen(address, Transport.chain(this)).getLocalAddress();
    }

    private int size() {
        synchronized (callers) {
            return callers.size();
        }
    }

    @Override
    public NextAction handleAccept(FilterChainContext context) {
        Caller caller = new Caller(context.getConnection());
        callerOf.set(caller.connection, caller);
        Caller oldest = null;
        synchronized (callers) {
            callers.addLast(caller);
            if (callers.size() > MOST) {
                oldest = callers.removeFirst();
            }
        }
        if (oldest != null) {
            oldest.connection.closeSilently();
        }
        core.post(() -> core.deadlines().at(core.now() + LINE_BY, caller.connection::closeSilently));
        return context.getInvokeAction();
    }

    @Override
    public NextAction handleClose(FilterChainContext context) {
        synchronized (callers) {
            callers.remove(callerOf.get(context.getConnection()));
        }
        return context.getInvokeAction();
    }

    @Override
    public NextAction handleRead(FilterChainContext context) {
        Caller caller = callerOf.get(context.getConnection());
        byte[] bytes = Transport.bytes(context.getMessage());
        String line = caller.asked ? null : caller.line(bytes);
        if (line != null) {
            caller.asked = true;
            core.post(() -> answer(caller.connection, reply(line)));
        }
        return context.getStopAction();
    }

    @Override
    public void exceptionOccurred(FilterChainContext context, Throwable error) {
        context.getConnection().closeSilently();
    }

    /** Executes a command. Loop thread. */
    private String reply(String line) {
        String[] words = line.split(" +");
        try {
            switch (words[0] + '/' + words.length) {
                case "STATUS/1" -> {
                    return "200 ready";
                }
                case "SUSPEND/2" -> suspensions.suspend(words[1]);
                case "RESTORE/2" -> suspensions.restore(words[1]);
                default -> {
                    return "400 STATUS, SUSPEND ID or RESTORE ID, in a line of up to " + LONGEST + " bytes";
                }
            }
            return "200 " + words[1];
        } catch (ManualDrains.Refused e) {
            return "400 " + e.getMessage();
        }
    }

    private static void answer(Connection<?> connection, String reply) {
        Transport.write(
                connection,
                (reply + "\r\n").getBytes(StandardCharsets.ISO_8859_1),
                connection::closeSilently,
                connection::closeSilently);
    }
}
