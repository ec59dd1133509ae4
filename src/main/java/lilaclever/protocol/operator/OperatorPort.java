package lilaclever.protocol.operator;

import java.io.IOException;
import java.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import lilaclever.routing.Core;
import lilaclever.routing.Deadlines;
import lilaclever.routing.ManualDrains;
import lilaclever.transport.AcceptQueue;
import lilaclever.transport.Transport;
import lilaclever.transport.UnhandledLimit;
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
    public static final int MAX_CONNECTIONS = 8;

    private static final int MAX_LINE_BYTES = 256;
    private static final long LINE_TIMEOUT_MICROS = 5_000_000;

    private final Core core;
    private final ManualDrains manualDrains;
    private final ArrayDeque<Caller> callers = new ArrayDeque<>();
    private final AcceptQueue<Caller> acceptQueue;
    private final UnhandledLimit commandLimit = new UnhandledLimit(MAX_CONNECTIONS);
    private final Attribute<Caller> callerAttribute =
            Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("OperatorPort.caller");

    /** Creates a port whose commands are executed on the event loop. */
    public OperatorPort(Core core, ManualDrains manualDrains) {
        this.core = core;
        this.manualDrains = manualDrains;
        this.acceptQueue = new AcceptQueue<>(core::post, this::onAccepted);
        core.counters().entryGauge("operators", this::size);
    }

    /** A connection and what it has received. Selector thread, except the timeout. */
    private static final class Caller {
        private final Connection<?> connection;
        private final byte[] lineBuffer = new byte[MAX_LINE_BYTES];
        private int lineLength;
        private boolean hasCommand;
        /** Event loop. */
        private Deadlines.Key timeout;

        Caller(Connection<?> connection) {
            this.connection = connection;
        }

        /** Appends bytes; returns the line once it is complete, an empty one if it is too long, and null before. */
        String append(byte[] bytes) {
            for (byte b : bytes) {
                if (b == '\n') {
                    return new String(lineBuffer, 0, lineLength, StandardCharsets.ISO_8859_1).strip();
                }
                if (lineLength == MAX_LINE_BYTES) {
                    return "";
                }
                lineBuffer[lineLength++] = b;
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
        callerAttribute.set(caller.connection, caller);
        Caller oldest = null;
        synchronized (callers) {
            callers.addLast(caller);
            if (callers.size() > MAX_CONNECTIONS) {
                oldest = callers.removeFirst();
            }
        }
        if (oldest != null) {
            oldest.connection.closeSilently();
        }
        acceptQueue.add(caller);
        return context.getInvokeAction();
    }

    private void onAccepted(Caller caller) {
        caller.timeout =
                core.deadlines().schedule(core.nowMicros() + LINE_TIMEOUT_MICROS, caller.connection::closeSilently);
    }

    @Override
    public NextAction handleClose(FilterChainContext context) {
        Caller caller = callerAttribute.get(context.getConnection());
        synchronized (callers) {
            callers.remove(caller);
        }
        if (!acceptQueue.remove(caller)) {
            core.post(() -> core.deadlines().cancel(caller.timeout));
        }
        return context.getInvokeAction();
    }

    @Override
    public NextAction handleRead(FilterChainContext context) {
        Caller caller = callerAttribute.get(context.getConnection());
        byte[] bytes = Transport.toBytes(context.getMessage());
        String line = caller.hasCommand ? null : caller.append(bytes);
        if (line != null) {
            caller.hasCommand = true;
            submit(caller, line);
        }
        return context.getStopAction();
    }

    private void submit(Caller caller, String line) {
        if (!commandLimit.tryAdd()) {
            caller.connection.closeSilently();
            return;
        }
        core.post(() -> {
            commandLimit.handled();
            answer(caller.connection, execute(line));
        });
    }

    @Override
    public void exceptionOccurred(FilterChainContext context, Throwable error) {
        context.getConnection().closeSilently();
    }

    /** Executes a command. Event loop. */
    private String execute(String line) {
        String[] words = line.split(" +");
        try {
            switch (words[0] + '/' + words.length) {
                case "STATUS/1" -> {
                    return "200 ready";
                }
                case "SUSPEND/2" -> manualDrains.suspend(words[1]);
                case "RESTORE/2" -> manualDrains.restore(words[1]);
                default -> {
                    return "400 STATUS, SUSPEND ID or RESTORE ID, in a line of up to " + MAX_LINE_BYTES + " bytes";
                }
            }
            return "200 " + words[1];
        } catch (ManualDrains.RefusedException e) {
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
