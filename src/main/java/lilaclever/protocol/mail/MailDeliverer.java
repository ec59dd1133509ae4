package lilaclever.protocol.mail;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import lilaclever.DecisionModule;
import lilaclever.DecisionModule.AttemptResult;
import lilaclever.routing.Call;
import lilaclever.routing.Core;
import lilaclever.routing.Counters;
import lilaclever.routing.Deadlines;
import lilaclever.routing.Deliverer;
import lilaclever.routing.Message;
import lilaclever.transport.ConnectionPool;
import lilaclever.transport.Transport;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChain;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;

/**
 * Delivers to SMTP and LMTP servers: one message for one recipient a transaction, on connections that are kept for the
 * next. Any 4xx reply: it never ran. Any 5xx: refused for good. Before the last byte of the content is written it
 * can't have run; after it only a reply says whether it has.
 */
public final class MailDeliverer implements Deliverer {
    private static final long SWEEP = 500_000;
    private static final int MOST_LINES = 200;

    private enum Step {
        GREETING,
        HELLO,
        HELO,
        MAIL,
        RCPT,
        DATA,
        CONTENT
    }

    private final Core core;
    private final Transport transport;
    private final MailSettings settings;
    private final int zone;
    private final long connectMicros;
    private final ConnectionPool<Connection<?>> pool;
    private final FilterChain chain;
    private final Attribute<Session> sessions =
            Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("MailDeliverer.session");
    private final Map<String, MailSettings.Protocol> protocols = new HashMap<>();

    /** A deliverer for the routes of the mail file. */
    public MailDeliverer(
            Core core,
            Transport transport,
            MailSettings settings,
            int zone,
            long connectMicros,
            long keepAliveMicros,
            int mostIdle) {
        this.core = core;
        this.transport = transport;
        this.settings = settings;
        this.zone = zone;
        this.connectMicros = connectMicros;
        this.pool = ConnectionPool.ofSockets(keepAliveMicros / 2, mostIdle);
        this.chain = Transport.chain(new LineFilter(), new SessionFilter());
    }

    /** Adds the routes' endpoints to the core, and starts to drop idle connections. Before the core starts. */
    public void start() {
        for (MailSettings.Route route : settings.routes()) {
            for (String address : route.addresses()) {
                String host = route.host(address);
                protocols.put(host, route.protocol());
                core.add(new Core.ListedEndpoint(
                        new DecisionModule.EndpointEntry(
                                host, route.destination(), zone, -1, DecisionModule.Presence.ACTIVE, 1, 0),
                        new Call.Endpoint(host, address, route.destination(), zone, 1, false, this)));
            }
        }
        sweep();
    }

    private void sweep() {
        pool.closeExpired(core.nowMicros());
        core.deadlines().schedule(core.nowMicros() + SWEEP, this::sweep);
    }

    @Override
    public void start(Call call) {
        Mail mail;
        try {
            mail = Mail.decode(call.messages.get(0).submission.body());
        } catch (IllegalArgumentException e) {
            // Handed in by a front that knows no envelopes: no attempt can ever succeed.
            core.attemptEnded(call, call.messages.get(0), AttemptResult.REJECTED, 0, false, false);
            return;
        }
        Session idle = null;
        Connection<?> kept = pool.acquire(call.endpoint.host(), core.nowMicros());
        while (kept != null && idle == null) {
            idle = sessions.get(kept); // null once its server has said farewell
            kept = idle == null ? pool.acquire(call.endpoint.host(), core.nowMicros()) : kept;
        }
        Session session = idle != null ? idle : new Session(call.endpoint);
        call.attachment = session;
        session.begin(call, mail);
    }

    @Override
    public void abort(Call call) {
        if (call.attachment instanceof Session session && session.call == call) {
            session.end(session.written ? AttemptResult.TIMED_OUT : AttemptResult.NO_CONNECTION, "");
        }
    }

    @Override
    public void cancelUnsent(Call call) {
        if (call.attachment instanceof Session session && session.call == call && session.connection == null) {
            session.end(AttemptResult.WITHHELD, "");
        }
    }

    @Override
    public void closeIdle(Call.Endpoint endpoint) {
        pool.closeIdle(endpoint.host());
    }

    /** There is no probe but a connection: one is opened and greeted. */
    @Override
    public void probe(Call.Endpoint endpoint) {
        long started = core.nowMicros();
        transport.connect(
                Transport.parseAddress(endpoint.address()),
                chain,
                up -> {
                    up.closeSilently();
                    core.post(() ->
                            core.probeEnded(endpoint.host(), AttemptResult.DELIVERED, core.nowMicros() - started));
                },
                problem -> core.post(() ->
                        core.probeEnded(endpoint.host(), AttemptResult.NO_CONNECTION, core.nowMicros() - started)));
    }

    /** One connection to a server, and the transaction on it. Loop thread, but for {@link #written}. */
    private final class Session {
        private final Call.Endpoint endpoint;
        private final boolean lmtp;
        private final ArrayDeque<Step> expected = new ArrayDeque<>();
        private final Set<String> offers = new HashSet<>();
        /** Lines that came before the connection was told to be up. */
        private final ArrayDeque<String> early = new ArrayDeque<>();

        private Connection<?> connection;
        private Deadlines.Key connectBy;
        private Runnable connecting;
        private Call call;
        private Mail mail;
        private int lines;
        private long mostBytes;
        /** The last byte of the content has been written: set by the writing thread before any close is posted. */
        private volatile boolean written;

        Session(Call.Endpoint endpoint) {
            this.endpoint = endpoint;
            this.lmtp = protocols.get(endpoint.host()) == MailSettings.Protocol.LMTP;
        }

        void begin(Call next, Mail nextMail) {
            call = next;
            written = false;
            mail = nextMail;
            if (connection != null) {
                transaction();
                return;
            }
            core.counters().add(Counters.Name.CONNECTIONS);
            connectBy = core.deadlines().schedule(core.nowMicros() + connectMicros, () -> {
                connecting.run();
                end(AttemptResult.NO_CONNECTION, "");
            });
            connecting = transport.connect(
                    Transport.parseAddress(endpoint.address()),
                    chain,
                    up -> {
                        sessions.set(up, this); // before the greeting can be read
                        core.post(() -> connected(up));
                    },
                    problem -> core.post(() -> end(AttemptResult.NO_CONNECTION, "")));
        }

        private void connected(Connection<?> up) {
            core.deadlines().cancel(connectBy);
            connection = up;
            if (call == null) {
                close();
            } else if (!core.activeEndpoints().mayReceive(endpoint)) {
                end(AttemptResult.WITHHELD, "");
            } else if (!up.isOpen()) {
                closed();
            } else {
                expected.add(Step.GREETING);
                early.forEach(this::line);
                early.clear();
            }
        }

        void lines(List<String> all) {
            if (connection == null) {
                early.addAll(all);
            } else {
                all.forEach(this::line);
            }
        }

        private void line(String line) {
            if (call == null) {
                close(); // an unasked word on an idle connection, as a rule a farewell
                return;
            }
            Reply reply = Reply.parse(line);
            if (reply == null || expected.isEmpty() || ++lines > MOST_LINES) {
                end(written ? AttemptResult.ERROR : AttemptResult.NO_CONNECTION, "");
                return;
            }
            Step step = expected.peek();
            if (step == Step.HELLO && reply.code() == 250) {
                offers.add(reply.text().toUpperCase(Locale.ROOT));
            }
            if (line.length() > 3 && line.charAt(3) == '-') {
                return; // more of the same reply follows
            }
            expected.remove();
            lines = 0;
            reply(step, reply);
        }

        private void reply(Step step, Reply reply) {
            if (step == Step.HELLO && !lmtp && reply.permanent()) {
                write("HELO " + settings.hostName() + "\r\n", Step.HELO);
                return;
            }
            boolean good = step == Step.DATA ? reply.code() == 354 : reply.code() / 100 == 2;
            if (!good) {
                refused(step, reply);
                return;
            }
            switch (step) {
                case GREETING -> write((lmtp ? "LHLO " : "EHLO ") + settings.hostName() + "\r\n", Step.HELLO);
                case HELLO, HELO -> transaction();
                case MAIL -> {
                    if (expected.isEmpty()) {
                        write(rcpt(), Step.RCPT);
                    }
                }
                case RCPT -> write("DATA\r\n", Step.DATA);
                case DATA -> {
                    expected.add(Step.CONTENT);
                    Transport.write(connection, mail.stuffed(), () -> written = true, this::broken);
                }
                default -> delivered(reply);
            }
        }

        private void refused(Step step, Reply reply) {
            boolean odd = reply.code() < 400 || reply.code() > 599;
            AttemptResult ending = odd
                    ? written ? AttemptResult.ERROR : AttemptResult.NO_CONNECTION
                    : reply.permanent() ? AttemptResult.REJECTED : AttemptResult.FULL;
            if (step != Step.GREETING) {
                Transport.write(connection, "QUIT\r\n", () -> {}, () -> {});
            }
            end(ending, reply.code() + " " + reply.text());
        }

        private void delivered(Reply reply) {
            Call done = call;
            call = null;
            pool.release(endpoint.host(), connection, core.nowMicros());
            tell(done, AttemptResult.DELIVERED, reply.code() + " " + reply.text());
        }

        private void transaction() {
            mostBytes = 0;
            boolean eightBit = false;
            boolean pipelining = false;
            boolean size = false;
            for (String offer : offers) {
                eightBit |= offer.equals("8BITMIME");
                pipelining |= offer.equals("PIPELINING");
                if (offer.equals("SIZE") || offer.startsWith("SIZE ")) {
                    size = true;
                    mostBytes = offer.matches("SIZE \\d{1,15}") ? Long.parseLong(offer.substring(5)) : 0;
                }
            }
            int length = mail.content().length();
            if (mostBytes > 0 && length > mostBytes) {
                end(AttemptResult.REJECTED, "552 5.3.4 larger than the server's limit of " + mostBytes);
                return;
            }
            String from = "MAIL FROM:<" + mail.reversePath() + '>' + (size ? " SIZE=" + length : "")
                    + (eightBit && Mail.eightBit(mail.content()) ? " BODY=8BITMIME" : "") + "\r\n";
            if (pipelining) {
                write(from + rcpt(), Step.MAIL, Step.RCPT);
            } else {
                write(from, Step.MAIL);
            }
        }

        private String rcpt() {
            return "RCPT TO:<" + mail.recipient() + ">\r\n";
        }

        private void write(String text, Step... answers) {
            expected.addAll(List.of(answers));
            Transport.write(connection, text, () -> {}, this::broken);
        }

        private void broken() {
            core.post(this::closed);
        }

        void closed() {
            if (call == null) {
                close();
            } else if (connection != null) {
                end(written ? AttemptResult.RESET : AttemptResult.NO_CONNECTION, "");
            }
        }

        /** Ends the call; the connection's state is not certain any more, so it goes too. */
        private void end(AttemptResult ending, String said) {
            Call done = call;
            call = null;
            core.deadlines().cancel(connectBy);
            close();
            if (done != null) {
                tell(done, ending, said);
            }
        }

        private void tell(Call done, AttemptResult ending, String said) {
            for (Message m : List.copyOf(done.messages)) {
                m.lastResponseText = said;
                core.attemptEnded(done, m, ending, 0, false, false);
            }
        }

        private void close() {
            if (connection != null) {
                sessions.remove(connection);
                connection.closeSilently();
            }
        }
    }

    private final class SessionFilter extends BaseFilter {
        @Override
        public NextAction handleRead(FilterChainContext context) {
            List<String> lines = context.getMessage();
            Session session = sessions.get(context.getConnection());
            if (session != null) {
                core.post(() -> session.lines(lines));
            }
            return context.getStopAction();
        }

        @Override
        public NextAction handleClose(FilterChainContext context) {
            Session session = sessions.get(context.getConnection());
            if (session != null) {
                core.post(session::closed);
            }
            return context.getInvokeAction();
        }

        @Override
        public void exceptionOccurred(FilterChainContext context, Throwable error) {
            context.getConnection().closeSilently();
        }
    }
}
