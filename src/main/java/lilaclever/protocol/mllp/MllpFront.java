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
import lilaclever.identity.Identity;
import lilaclever.log.Logs;
import lilaclever.protocol.mllp.Acknowledgements.Code;
import lilaclever.routing.Core;
import lilaclever.routing.Counters.Name;
import lilaclever.routing.Front;
import lilaclever.routing.Handin;
import lilaclever.routing.Message;
import lilaclever.routing.Verdict;
import lilaclever.routing.Verdict.Kind;
import lilaclever.transport.Transport;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;

/**
 * The front of HL7 v2 over MLLP. In enhanced mode the accept acknowledgement says that a message is in the journal, and
 * the application acknowledgement tells its end: on the connection that it came on, on another one of its practice,
 * or on the next. In original mode there is one acknowledgement, the end. A client that asks again, by sending the same
 * message, joins the one that is held or is told its end. Loop thread, but for the filter.
 */
public final class MllpFront implements Front {
    private static final long BUSY = 1_000_000, LOOK = 1_000_000;
    /** Answers owed from earlier that go out before a connection's next message is looked at. */
    private static final int AT_ONCE = 100;

    private static final int MOST_ID = 40;

    /** Who waits for a message's answers on this port: the last connection that asked. */
    private static final class Waiter {
        final MllpSession session;
        final Request request;
        private boolean accepted, answered;

        Waiter(MllpSession session, Request request) {
            this.session = session;
            this.request = request;
        }

        /** It has its first answer, or another connection gets it. */
        void answered() {
            if (!answered) {
                answered = true;
                session.answered();
            }
        }
    }

    /** An end that could not be told. */
    private record Owed(Header header, Message message, Verdict verdict, Runnable settled) {}

    private final Core core;
    private final MllpSettings settings;
    private final Hl7Reader reader;
    private final String life = Long.toString(System.currentTimeMillis(), Character.MAX_RADIX);
    private final Acknowledgements acks = new Acknowledgements(life + '-');
    private final OwedAnswers<Owed> owed;
    private final Map<Message, Waiter> waiters = new HashMap<>();
    /** Messages held of each practice that came on this port. */
    private final Map<String, Integer> held = new HashMap<>();

    private final Set<MllpSession> sessions = new LinkedHashSet<>();
    /** Connections of each listener, and of each address at each listener. */
    private final Map<String, Integer> connections = new HashMap<>();

    private final List<Connection<?>> listeners = new ArrayList<>();
    private final Attribute<MllpSession> sessionOf =
            Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("MllpFront.session");
    private final AtomicLong turnedAway = new AtomicLong(), spoilt = new AtomicLong();
    private boolean closing;
    private long count;

    /** A front that listens nowhere yet. */
    public MllpFront(Core core, MllpSettings settings) {
        this.core = core;
        this.settings = settings;
        reader = new Hl7Reader(settings, Core::micros, Core::wall);
        owed = new OwedAnswers<>(settings.mostOwed(), settings.oweMicros());
        core.counters().gauge("mllp_connections", sessions::size);
        core.counters().gauge("mllp_waiting", waiters::size);
        core.counters().gauge("mllp_owed", owed::size);
        core.counters().gauge("mllp_practices", held::size);
        core.counters().figure("mllp_owed_given_up", owed::givenUp);
        core.counters().figure("mllp_turned_away", turnedAway::get);
        core.counters().figure("mllp_spoilt", spoilt::get);
    }

    @Override
    public String name() {
        return "mllp";
    }

    @Override
    public boolean asksAgain() {
        return true;
    }

    /** Listens at all addresses; gives those bound. */
    public List<SocketAddress> listen(Transport transport) throws IOException {
        List<SocketAddress> bound = new ArrayList<>();
        for (MllpSettings.Listener listener : settings.listeners()) {
            var server = transport.listen(
                    Transport.address(listener.address()), Transport.chain(new SessionFilter(listener)));
            listeners.add(server);
            bound.add(server.getLocalAddress());
        }
        core.post(this::look);
        return bound;
    }

    /** Accepts no more connections; messages are refused by the core from now on. */
    public void close() {
        closing = true;
        listeners.forEach(Connection::closeSilently);
    }

    /** Ends owed to clients that are away; the journal keeps them. */
    public int away() {
        return owed.size();
    }

    private void look() {
        owed.expired(core.now()).forEach(o -> o.settled().run());
        core.deadlines().at(core.now() + LOOK, this::look);
    }

    Core core() {
        return core;
    }

    Hl7Reader reader() {
        return reader;
    }

    /** A connection is closed for what came on it. Any thread. */
    void bad(String address, String why) {
        core.counters().add(Name.BAD_REQUESTS);
        if (spoilt.incrementAndGet() % 100 == 1) { // the first, and then one in a hundred: a log is bounded too
            Logs.warn("mllp", "bad-client", address + ": " + why + ": closed", "client", address);
        }
    }

    // ---- hand-ins ---------------------------------------------------------------------------------------
    /** Nothing could be read of it that makes a message. */
    void refuse(MllpSession session, Header to, Hl7Fault fault) {
        core.counters().add(Name.BAD_REQUESTS);
        Code code = code(
                to,
                false,
                fault.code() == Hl7Fault.Code.PROCESSING_ID
                        || fault.code() == Hl7Fault.Code.VERSION
                        || fault.code() == Hl7Fault.Code.EVENT);
        if (code != null) {
            session.write(acks.fault(code, to, fault));
        }
    }

    /**
     * The code for what was not taken on, as the sender wants to be told; null: not at all. {@code rejected}: AR in
     * place of AE.
     */
    private static Code code(Header to, boolean mayComeAgain, boolean rejected) {
        if (Request.wantsAccept(to, false)) {
            return mayComeAgain ? Code.CE : Code.CR;
        }
        return !Request.wantsFinal(to, false) ? null : mayComeAgain || rejected ? Code.AR : Code.AE;
    }

    void take(MllpSession session, Request r, boolean tooMany) {
        session.practice = r.practice();
        Owed earlier = owed.withdraw(r.identity());
        if (earlier != null) {
            earlier.settled().run(); // the client asks for it: what follows is its answer
        }
        payOff(session, r.header());
        if (tooMany || held.getOrDefault(r.practice(), 0) >= settings.mostHeld()) {
            busy(session, r, "too many messages at once");
        } else if (!core.knows(r.destination())) {
            busy(session, r, "no such destination now");
        } else {
            handIn(session, r);
        }
    }

    /** The core is not asked. */
    private void busy(MllpSession session, Request r, String why) {
        session.answered();
        notTaken(session, r, new Verdict(Kind.REFUSED, BUSY, why));
    }

    private void handIn(MllpSession session, Request r) {
        long budget = Math.max(0, r.budgetMicros() - Math.max(0, Core.micros() - r.arrivedMicros()));
        Handin handin = new Handin(
                id(r),
                r.identity(),
                r.messageClass(),
                r.destination(),
                r.deliveryKey(),
                r.body(),
                false,
                false,
                budget);
        Message m = core.handIn(this, handin);
        if (!m.isOpen()) {
            session.answered();
            if (m.verdict().kind() == Kind.DELIVERED || m.verdict().kind() == Kind.FAILED) {
                toldAgain(session, r, m.verdict());
            } else {
                notTaken(session, r, m.verdict());
            }
            return;
        }
        Waiter before = waiters.put(m, new Waiter(session, r));
        if (before != null) {
            before.answered();
        } else {
            held.merge(r.practice(), 1, Integer::sum);
        }
        if (m.isTakenOn()) {
            core.whenDurable(() -> accepted(waiters.get(m)));
        }
    }

    /** The control id for people, and what makes it like no other. */
    private String id(Request r) {
        String control = r.header().field(10).replaceAll("[^A-Za-z0-9_-]", "");
        return control.substring(0, Math.min(MOST_ID, control.length()))
                + '.'
                + life
                + '.'
                + Long.toString(count++, Character.MAX_RADIX);
    }

    /** What was not taken on; nothing is owed. */
    private void notTaken(MllpSession session, Request r, Verdict verdict) {
        boolean refused = verdict.kind() == Kind.REFUSED;
        Code code = code(r.header(), refused, false);
        if (code == null) {
            return;
        }
        byte[] ack = refused
                ? acks.comeBack(code, r.header(), verdict)
                : verdict.kind() == Kind.CLASH
                        ? acks.fault(code, r.header(), clash())
                        : acks.failed(code, r.header(), verdict);
        session.write(ack);
    }

    private Hl7Fault clash() {
        return new Hl7Fault(
                Hl7Fault.Code.DUPLICATE_KEY,
                settings.key().segment(),
                settings.key().number(),
                "another message has it");
    }

    /** Its end is remembered: the client that asks again gets it again. */
    private void toldAgain(MllpSession session, Request r, Verdict verdict) {
        boolean delivered = verdict.kind() == Kind.DELIVERED;
        if (!Request.isOriginal(r.header())) {
            // Where no application acknowledgement is wanted, this one is all that can tell the end.
            boolean good = delivered || Request.wantsFinal(r.header(), false);
            if (Request.wantsAccept(r.header(), good)) {
                session.write(good ? acks.good(Code.CA, r.header()) : acks.failed(Code.CR, r.header(), verdict));
            }
        }
        if (Request.wantsFinal(r.header(), delivered)) {
            session.write(last(r.header(), verdict));
        }
    }

    private byte[] last(Header to, Verdict verdict) {
        return switch (verdict.kind()) {
            case DELIVERED -> acks.good(Code.AA, to);
            case REFUSED -> acks.comeBack(Code.AR, to, verdict);
            default -> acks.failed(Code.AE, to, verdict);
        };
    }

    // ---- what the core tells ----------------------------------------------------------------------------
    @Override
    public void taken(Message message) {
        Waiter w = waiters.get(message);
        if (w != null) {
            accepted(w);
        }
    }

    private void accepted(Waiter w) {
        if (w == null || w.accepted) {
            return;
        }
        w.accepted = true;
        if (Request.isOriginal(w.request.header())) {
            return; // its one acknowledgement is the end
        }
        w.answered();
        if (Request.wantsAccept(w.request.header(), true)) {
            w.session.write(acks.good(Code.CA, w.request.header()));
        }
    }

    @Override
    public void turnedDown(Message message, Verdict verdict) {
        Waiter w = forget(message);
        if (w != null) {
            w.answered();
            notTaken(w.session, w.request, verdict);
        }
    }

    @Override
    public void notJoined(Message message, String id, Verdict verdict) {
        turnedDown(message, verdict);
    }

    private Waiter forget(Message message) {
        Waiter w = waiters.remove(message);
        if (w != null) {
            held.computeIfPresent(w.request.practice(), (p, n) -> n > 1 ? n - 1 : null);
        }
        return w;
    }

    @Override
    public void ended(Message message, String id, Verdict verdict, Runnable settled) {
        Waiter w = forget(message);
        Header header = w != null ? w.request.header() : header(message);
        if (w != null) {
            w.answered();
        }
        if (header == null || !Request.wantsFinal(header, verdict.kind() == Kind.DELIVERED)) {
            settled.run();
            return;
        }
        tell(w != null && w.session.isOpen() ? w.session : null, new Owed(header, message, verdict, settled));
    }

    /** The header of a message whose client is not here, as its body has it. */
    private static Header header(Message message) {
        try {
            return Header.read(message.handin.body());
        } catch (Hl7Fault e) {
            return null; // handed in on another port first: whoever joined it here sent the same bytes
        }
    }

    /** Tells an end on the connection, or on another one of the practice; where there is none it is owed. */
    private void tell(MllpSession session, Owed o) {
        String practice = practice(o);
        MllpSession to = session != null ? session : Request.takesLater(o.header()) ? sessionOf(practice) : null;
        if (to == null) {
            owe(o, practice);
            return;
        }
        to.write(last(o.header(), o.verdict()), () -> core.post(o.settled()), () -> core.post(() -> owe(o, practice)));
    }

    private static String practice(Owed o) {
        return Identity.parse(o.message().handin.identity()).practice();
    }

    private MllpSession sessionOf(String practice) {
        MllpSession last = null;
        for (MllpSession s : sessions) {
            last = practice.equals(s.practice) && s.isOpen() ? s : last;
        }
        return last;
    }

    private void owe(Owed o, String practice) {
        if (!Request.takesLater(o.header())) {
            o.settled().run(); // in original mode an acknowledgement that nobody waits for would pass for another's
            return;
        }
        owed.add(o.message().handin.identity(), practice, o, core.now())
                .forEach(x -> x.settled().run());
    }

    /** The practice is here and takes application acknowledgements: it gets those that are owed. */
    private void payOff(MllpSession session, Header header) {
        if (Request.takesLater(header)) {
            owed.take(session.practice, AT_ONCE).forEach(o -> tell(session, o));
        }
    }

    // ---- connections ------------------------------------------------------------------------------------
    private void opened(MllpSession session, MllpSettings.Listener listener) {
        sessions.add(session);
        int all = connections.merge(listener.name(), 1, Integer::sum);
        int same = connections.merge(ofAddress(session), 1, Integer::sum);
        if (closing || all > listener.connections() || same > listener.connectionsPerAddress()) {
            turnedAway.incrementAndGet();
            session.close();
            return;
        }
        session.look();
    }

    private void gone(MllpSession session) {
        if (sessions.remove(session)) {
            for (String counted : List.of(session.listener().name(), ofAddress(session))) {
                connections.computeIfPresent(counted, (a, n) -> n > 1 ? n - 1 : null);
            }
        }
    }

    private static String ofAddress(MllpSession session) {
        return session.listener().name() + ' ' + session.address;
    }

    private final class SessionFilter extends BaseFilter {
        private final MllpSettings.Listener listener;

        SessionFilter(MllpSettings.Listener listener) {
            this.listener = listener;
        }

        @Override
        public NextAction handleAccept(FilterChainContext context) {
            Connection<?> connection = context.getConnection();
            InetAddress peer = connection.getPeerAddress() instanceof InetSocketAddress a ? a.getAddress() : null;
            if (peer == null || !listener.networks().contains(peer)) {
                turnedAway.incrementAndGet();
                connection.closeSilently();
                return context.getStopAction();
            }
            MllpSession session = new MllpSession(MllpFront.this, listener, connection, peer.getHostAddress());
            sessionOf.set(connection, session);
            core.post(() -> opened(session, listener));
            return context.getInvokeAction();
        }

        @Override
        public NextAction handleRead(FilterChainContext context) {
            MllpSession session = sessionOf.get(context.getConnection());
            byte[] bytes = Transport.bytes(context.getMessage());
            if (session != null) {
                session.bytes(bytes);
            }
            return context.getStopAction();
        }

        @Override
        public NextAction handleClose(FilterChainContext context) {
            MllpSession session = sessionOf.get(context.getConnection());
            if (session != null) {
                core.post(() -> gone(session));
            }
            return context.getInvokeAction();
        }

        @Override
        public void exceptionOccurred(FilterChainContext context, Throwable error) {
            context.getConnection().closeSilently();
        }
    }
}
