package lilaclever.protocol.mllp;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import lilaclever.routing.Core;
import lilaclever.transport.InputBudget;
import lilaclever.transport.Transport;
import lilaclever.transport.UnhandledLimit;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;

/**
 * The listeners of the front and their connections; enforces which networks may connect and how many connections. Event
 * loop, except the filter, which runs on the selector thread.
 */
final class MllpConnections {
    /**
     * Limits of what all sessions together have read and the event loop has not handled: some 10 ms of its time, and a
     * small part of the heap.
     */
    private static final int MAX_UNHANDLED_MESSAGES = 128;

    private static final long MAX_UNHANDLED_BYTES = 1 << 20;

    private final MllpFront front;
    private final Core core;
    private final Set<MllpSession> sessions = new LinkedHashSet<>();
    /** The number of connections of each listener, and of each client address at each listener. */
    private final Map<String, Integer> connectionsByKey = new HashMap<>();

    private final List<Connection<?>> listeners = new ArrayList<>();
    private final Attribute<MllpSession> sessionAttribute =
            Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("MllpFront.session");
    private final AtomicLong rejected = new AtomicLong();
    private final InputBudget inputBudget = new InputBudget(MAX_UNHANDLED_MESSAGES, MAX_UNHANDLED_BYTES);
    private boolean closing;

    /** Starts without listeners; messages are passed to {@code front}. */
    MllpConnections(MllpFront front, Core core) {
        this.front = front;
        this.core = core;
    }

    /** Listens at an address; returns the bound address. */
    SocketAddress listen(Transport transport, MllpSettings.Listener listener) throws IOException {
        var server = transport.listen(
                Transport.parseAddress(listener.address()),
                Transport.chainDetectingResets(new SessionFilter(listener)));
        listeners.add(server);
        return server.getLocalAddress();
    }

    /** Accepts no more connections. */
    void close() {
        closing = true;
        listeners.forEach(Connection::closeSilently);
    }

    /** The most recent open connection of the practice, or null if it has none. */
    MllpSession latestOf(String practice) {
        MllpSession latest = null;
        for (MllpSession session : sessions) {
            latest = practice.equals(session.practice) && session.isOpen() ? session : latest;
        }
        return latest;
    }

    /** The number of open connections. */
    int count() {
        return sessions.size();
    }

    /** The number of connections rejected because of their network or a connection limit. Any thread. */
    long rejectedCount() {
        return rejected.get();
    }

    /** The number of messages that have been read and not been handled yet. Any thread. */
    int unhandledCount() {
        return inputBudget.pieces();
    }

    private void onOpen(MllpSession session, MllpSettings.Listener listener) {
        sessions.add(session);
        int listenerCount = connectionsByKey.merge(listener.name(), 1, Integer::sum);
        int addressCount = connectionsByKey.merge(addressKey(session), 1, Integer::sum);
        if (closing
                || listenerCount > listener.maxConnections()
                || addressCount > listener.maxConnectionsPerAddress()) {
            rejected.incrementAndGet();
            session.close();
            return;
        }
        session.checkTimeouts();
    }

    private void onClose(MllpSession session, MllpSession.End end) {
        if (sessions.remove(session)) {
            session.ended(end);
            front.onEnd(session);
            for (String key : List.of(session.listener().name(), addressKey(session))) {
                connectionsByKey.computeIfPresent(key, (a, n) -> n > 1 ? n - 1 : null);
            }
        }
    }

    private static String addressKey(MllpSession session) {
        return session.listener().name() + ' ' + session.address;
    }

    private final class SessionFilter extends BaseFilter {
        private final MllpSettings.Listener listener;
        private final UnhandledLimit acceptLimit;

        SessionFilter(MllpSettings.Listener listener) {
            this.listener = listener;
            this.acceptLimit = new UnhandledLimit(listener.maxConnections());
        }

        @Override
        public NextAction handleAccept(FilterChainContext context) {
            Connection<?> connection = context.getConnection();
            InetAddress peer = connection.getPeerAddress() instanceof InetSocketAddress a ? a.getAddress() : null;
            if (peer == null || !listener.networks().contains(peer) || !acceptLimit.tryAdd()) {
                rejected.incrementAndGet();
                connection.closeSilently();
                return context.getStopAction();
            }
            MllpSession session = new MllpSession(front, listener, connection, peer.getHostAddress(), inputBudget);
            sessionAttribute.set(connection, session);
            core.post(() -> {
                acceptLimit.handled();
                onOpen(session, listener);
            });
            return context.getInvokeAction();
        }

        @Override
        public NextAction handleRead(FilterChainContext context) {
            MllpSession session = sessionAttribute.get(context.getConnection());
            byte[] bytes = Transport.toBytes(context.getMessage());
            if (session != null) {
                session.onBytes(bytes);
            }
            return context.getStopAction();
        }

        @Override
        public NextAction handleClose(FilterChainContext context) {
            MllpSession session = sessionAttribute.get(context.getConnection());
            if (session != null) {
                boolean inOrder = Transport.isClosedInOrderByPeer(context.getConnection());
                MllpSession.End end = inOrder ? MllpSession.End.IN_ORDER : MllpSession.End.BROKEN;
                core.post(() -> onClose(session, end));
            }
            return context.getInvokeAction();
        }

        @Override
        public void exceptionOccurred(FilterChainContext context, Throwable error) {
            context.getConnection().closeSilently();
        }
    }
}
