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
import lilaclever.routing.Answer;
import lilaclever.routing.Call;
import lilaclever.routing.Core;
import lilaclever.routing.Counters;
import lilaclever.routing.Deadlines;
import lilaclever.routing.Deliverer;
import lilaclever.routing.Message;
import lilaclever.routing.Refutation;
import lilaclever.transport.ConnectionPool;
import lilaclever.transport.InputBudget;
import lilaclever.transport.Transport;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChain;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;

/**
 * Delivers to SMTP and LMTP servers, one message for one recipient per transaction, and reuses connections. A 4xx reply
 * means that the message was not processed, a 5xx reply that it was rejected permanently. Before the last byte of the
 * content is written the server can't have processed the message; after that only its reply says whether it has.
 */
public final class MailDeliverer implements Deliverer {
    private static final long SWEEP_INTERVAL_MICROS = 500_000;
    private static final int MAX_REPLY_LINES = 200;
    /** Limit of the lines of all servers that are read and not handled yet: a small part of the heap. */
    private static final long MAX_UNHANDLED_REPLY_BYTES = 1 << 20;

    /** How long a connection rests before its next transaction, so that repeated replies arrive before it. */
    private static final long REST_MICROS = 600_000;

    /** Replies of which a repetition may still arrive. */
    private static final int MAX_RECENT_REPLIES = 16;

    /** The step of the dialogue that a reply belongs to. {@code EXTENDED_HELLO} is EHLO or LHLO. */
    private enum Step {
        GREETING,
        EXTENDED_HELLO,
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
    private final long connectTimeoutMicros;
    private final ConnectionPool<Connection<?>> pool;
    private final InputBudget replyBudget = new InputBudget(Integer.MAX_VALUE, MAX_UNHANDLED_REPLY_BYTES);
    private final FilterChain chain;
    private final Attribute<ClientSession> sessions =
            Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("MailDeliverer.session");
    private final Map<String, MailSettings.Protocol> protocolByHost = new HashMap<>();

    /** Creates a deliverer for the routes of the mail file. */
    public MailDeliverer(
            Core core,
            Transport transport,
            MailSettings settings,
            int zone,
            long connectTimeoutMicros,
            long keepAliveMicros,
            int maxIdleConnections) {
        this.core = core;
        this.transport = transport;
        this.settings = settings;
        this.zone = zone;
        this.connectTimeoutMicros = connectTimeoutMicros;
        this.pool = ConnectionPool.ofSockets(MailDeliverer::availability, keepAliveMicros / 2, maxIdleConnections);
        this.chain = Transport.chain(new TextFilter(), new SessionFilter());
    }

    /** Adds the routes' endpoints to the core and starts expiring idle connections. Call before the core starts. */
    public void start() {
        for (MailSettings.Route route : settings.routes()) {
            for (String address : route.addresses()) {
                String host = route.host(address);
                protocolByHost.put(host, route.protocol());
                core.add(new Core.ListedEndpoint(
                        new DecisionModule.EndpointEntry(
                                host, route.destination(), zone, -1, DecisionModule.Presence.ACTIVE, 1, 0),
                        new Call.Endpoint(host, address, route.destination(), zone, 1, false, this)));
            }
        }
        closeExpiredConnections();
        core.counters().entryGauge("mail_replies_unhandled", replyBudget::pieces);
    }

    private static ConnectionPool.Availability availability(Connection<?> idle, long idleMicros) {
        return idleMicros < REST_MICROS ? ConnectionPool.Availability.RESTING : ConnectionPool.Availability.USABLE;
    }

    private void closeExpiredConnections() {
        pool.closeExpired(core.nowMicros());
        core.deadlines().schedule(core.nowMicros() + SWEEP_INTERVAL_MICROS, this::closeExpiredConnections);
    }

    @Override
    public void start(Call call) {
        Mail mail;
        try {
            mail = Mail.decode(call.messages.get(0).submission.body());
        } catch (IllegalArgumentException e) {
            // Submitted by a front without mail envelopes: no attempt can ever succeed.
            core.attemptEnded(call, call.messages.get(0), AttemptResult.REJECTED, 0, false, false);
            return;
        }
        ClientSession idle = null;
        Connection<?> pooled = pool.acquire(call.endpoint.host(), core.nowMicros());
        while (pooled != null && idle == null) {
            idle = sessions.get(pooled); // null if the server has closed the session
            pooled = idle == null ? pool.acquire(call.endpoint.host(), core.nowMicros()) : pooled;
        }
        ClientSession session = idle != null ? idle : new ClientSession(call.endpoint);
        call.attachment = session;
        session.startCall(call, mail);
    }

    @Override
    public void abort(Call call) {
        if (call.attachment instanceof ClientSession session && session.call == call) {
            session.abort(call);
        }
    }

    @Override
    public void cancelUnsent(Call call) {
        if (call.attachment instanceof ClientSession session && session.call == call && session.connection == null) {
            session.endCall(AttemptResult.WITHHELD, "");
        }
    }

    @Override
    public void closeIdle(Call.Endpoint endpoint) {
        pool.closeIdle(endpoint.host());
    }

    /** Probes a server by opening a connection and closing it; the protocols have no other probe. */
    @Override
    public void probe(Call.Endpoint endpoint) {
        long startMicros = core.nowMicros();
        transport.connect(
                Transport.parseAddress(endpoint.address()),
                chain,
                opened -> {
                    opened.closeSilently();
                    core.post(() ->
                            core.probeEnded(endpoint.host(), AttemptResult.DELIVERED, core.nowMicros() - startMicros));
                },
                problem -> core.post(() ->
                        core.probeEnded(endpoint.host(), AttemptResult.NO_CONNECTION, core.nowMicros() - startMicros)));
    }

    /** One connection to a server and the transaction on it. Event loop, except {@link #contentWritten}. */
    private final class ClientSession {
        private final Call.Endpoint endpoint;
        private final boolean lmtp;
        private final ArrayDeque<Step> expectedReplies = new ArrayDeque<>();
        private final Set<String> extensions = new HashSet<>();
        /** Lines received before the event loop has learned that the connection is open. */
        private final ArrayDeque<String> earlyLines = new ArrayDeque<>();

        private Connection<?> connection;
        /** Set before the greeting can be read. */
        private volatile LineInput input;

        private Deadlines.Key connectTimeout;
        private Runnable cancelConnect;
        private Call call;
        /** The last call, while its final reply may be an earlier reply repeated. */
        private Call unconfirmedCall;

        private Deadlines.Key confirmation;
        /** The last replies of this transaction, latest last. */
        private final ArrayDeque<String> recentReplies = new ArrayDeque<>();

        private Mail mail;
        private int replyLines;
        private long serverSizeLimitBytes;
        private boolean isContentStarted;
        /** Whether a reply made no sense, so that no further one counts. */
        private boolean isBreakingOff;
        /** Whether the last byte of the content is written. Set by the writing thread before any close is posted. */
        private volatile boolean contentWritten;

        ClientSession(Call.Endpoint endpoint) {
            this.endpoint = endpoint;
            this.lmtp = protocolByHost.get(endpoint.host()) == MailSettings.Protocol.LMTP;
        }

        void startCall(Call nextCall, Mail nextMail) {
            call = nextCall;
            isContentStarted = false;
            contentWritten = false;
            mail = nextMail;
            if (connection != null) {
                recentReplies.clear(); // it has rested, and 354 answers no other command than DATA
                startTransaction();
                return;
            }
            core.counters().add(Counters.Name.CONNECTIONS);
            connectTimeout = core.deadlines().schedule(core.nowMicros() + connectTimeoutMicros, () -> {
                cancelConnect.run();
                endCall(AttemptResult.NO_CONNECTION, "");
            });
            cancelConnect = transport.connect(
                    Transport.parseAddress(endpoint.address()),
                    chain,
                    opened -> {
                        input = new LineInput(opened, replyBudget, lines -> core.post(() -> onLines(lines)));
                        sessions.set(opened, this); // before the greeting can be read
                        core.post(() -> onConnected(opened));
                    },
                    problem -> core.post(() -> endCall(AttemptResult.NO_CONNECTION, "")));
        }

        private void onConnected(Connection<?> opened) {
            core.deadlines().cancel(connectTimeout);
            connection = opened;
            if (call == null) {
                closeConnection();
            } else if (!core.activeEndpoints().mayReceive(endpoint)) {
                endCall(AttemptResult.WITHHELD, "");
            } else if (!opened.isOpen()) {
                onClosed();
            } else {
                expectedReplies.add(Step.GREETING);
                earlyLines.forEach(this::onLine);
                earlyLines.clear();
            }
        }

        private void onLines(LineBlock lines) {
            input.handled(lines);
            while (!lines.isEmpty()) {
                String line = lines.takeLine();
                if (connection == null) {
                    earlyLines.add(line);
                } else {
                    onLine(line);
                }
            }
        }

        private void onLine(String line) {
            if (isBreakingOff) {
                return;
            }
            Reply reply = Reply.parse(line);
            if (call == null) {
                closeConnection(); // unsolicited line on an idle connection, usually a 421 before a close
                refuteDelivery(reply != null && reply.isPermanentFailure());
                return;
            }
            if (reply == null || expectedReplies.isEmpty() || ++replyLines > MAX_REPLY_LINES) {
                breakOff(AttemptResult.ERROR, "");
                return;
            }
            Step step = expectedReplies.peek();
            if (step == Step.EXTENDED_HELLO && reply.code() == 250) {
                extensions.add(reply.text().toUpperCase(Locale.ROOT));
            }
            boolean isRejection = reply.isPermanentFailure() && step != Step.EXTENDED_HELLO;
            if (line.length() > 3 && line.charAt(3) == '-' && !isRejection) {
                return; // more lines of this reply follow; a rejection holds from its first line on
            }
            expectedReplies.remove();
            replyLines = 0;
            boolean mayBeRepetition = recentReplies.contains(line);
            recentReplies.addLast(line);
            if (recentReplies.size() > MAX_RECENT_REPLIES) {
                recentReplies.removeFirst();
            }
            onReply(step, reply, mayBeRepetition);
        }

        private void onReply(Step step, Reply reply, boolean mayBeRepetition) {
            if (step == Step.EXTENDED_HELLO && !lmtp && reply.isPermanentFailure()) {
                writeCommand("HELO " + settings.hostName() + "\r\n", Step.HELO);
                return;
            }
            boolean expected = step == Step.DATA ? reply.code() == 354 : reply.code() / 100 == 2;
            if (!expected) {
                onErrorReply(step, reply);
                return;
            }
            switch (step) {
                case GREETING ->
                    writeCommand((lmtp ? "LHLO " : "EHLO ") + settings.hostName() + "\r\n", Step.EXTENDED_HELLO);
                case EXTENDED_HELLO, HELO -> startTransaction();
                case MAIL -> {
                    if (expectedReplies.isEmpty()) {
                        writeCommand(rcptCommand(), Step.RCPT);
                    }
                }
                case RCPT -> writeCommand("DATA\r\n", Step.DATA);
                case DATA -> {
                    expectedReplies.add(Step.CONTENT);
                    isContentStarted = true;
                    Transport.write(connection, mail.dotStuffed(), () -> contentWritten = true, this::onWriteFailed);
                }
                default -> {
                    if (contentWritten) {
                        onDelivered(reply, mayBeRepetition);
                    } else {
                        breakOff(AttemptResult.ERROR, "a reply before the end of the content");
                    }
                }
            }
        }

        private void onErrorReply(Step step, Reply reply) {
            String responseText = reply.code() + " " + reply.text();
            if (reply.code() < 400 || reply.code() > 599) {
                breakOff(AttemptResult.ERROR, responseText);
                return;
            }
            if (step != Step.GREETING) {
                Transport.write(connection, "QUIT\r\n", () -> {}, () -> {});
            }
            endCall(reply.isPermanentFailure() ? AttemptResult.REJECTED : AttemptResult.FULL, responseText);
        }

        private void onDelivered(Reply reply, boolean mayBeRepetition) {
            Call finishedCall = call;
            call = null;
            if (mayBeRepetition) {
                awaitConfirmation(finishedCall, reply);
                return;
            }
            pool.release(endpoint.host(), connection, core.nowMicros());
            reportResult(finishedCall, AttemptResult.DELIVERED, reply.code() + " " + reply.text());
        }

        /** The reply to the content itself would still arrive if this were the reply to an earlier command. */
        private void awaitConfirmation(Call finishedCall, Reply reply) {
            unconfirmedCall = finishedCall;
            for (Message message : List.copyOf(finishedCall.messages)) {
                message.lastResponseText = reply.code() + " " + reply.text();
                core.answers().received(finishedCall, message, Answer.DELIVERED, false, 0);
            }
            confirmation = core.deadlines()
                    .schedule(
                            core.nowMicros() + REST_MICROS,
                            () -> Transport.runAfterReading(connection, () -> core.post(this::confirmDelivery)));
        }

        private void confirmDelivery() {
            if (unconfirmedCall != null) {
                core.answers().confirmed(unconfirmedCall);
                unconfirmedCall = null;
                pool.release(endpoint.host(), connection, core.nowMicros());
            }
        }

        private void refuteDelivery(boolean mayBeRejected) {
            if (unconfirmedCall != null) {
                core.deadlines().cancel(confirmation);
                core.answers().refuted(unconfirmedCall, new Refutation(mayBeRejected, true));
                unconfirmedCall = null;
            }
        }

        private void startTransaction() {
            serverSizeLimitBytes = 0;
            boolean offersEightBit = false;
            boolean offersPipelining = false;
            boolean offersSize = false;
            for (String extension : extensions) {
                offersEightBit |= extension.equals("8BITMIME");
                offersPipelining |= extension.equals("PIPELINING");
                if (extension.equals("SIZE") || extension.startsWith("SIZE ")) {
                    offersSize = true;
                    serverSizeLimitBytes =
                            extension.matches("SIZE \\d{1,15}") ? Long.parseLong(extension.substring(5)) : 0;
                }
            }
            int contentBytes = mail.content().length();
            if (serverSizeLimitBytes > 0 && contentBytes > serverSizeLimitBytes) {
                endCall(AttemptResult.REJECTED, "552 5.3.4 larger than the server's limit of " + serverSizeLimitBytes);
                return;
            }
            String mailCommand = "MAIL FROM:<" + mail.reversePath() + '>' + (offersSize ? " SIZE=" + contentBytes : "")
                    + (offersEightBit && Mail.containsEightBit(mail.content()) ? " BODY=8BITMIME" : "") + "\r\n";
            if (offersPipelining) {
                writeCommand(mailCommand + rcptCommand(), Step.MAIL, Step.RCPT);
            } else {
                writeCommand(mailCommand, Step.MAIL);
            }
        }

        private String rcptCommand() {
            return "RCPT TO:<" + mail.recipient() + ">\r\n";
        }

        private void writeCommand(String text, Step... steps) {
            expectedReplies.addAll(List.of(steps));
            Transport.write(connection, text, () -> {}, this::onWriteFailed);
        }

        private void onWriteFailed() {
            core.post(this::onClosed);
        }

        /** Gives the call up, once what the server has sent so far is read: a reply may end the message. */
        void abort(Call aborted) {
            if (connection == null || !isContentStarted) {
                endCall(AttemptResult.NO_CONNECTION, "");
                return;
            }
            Transport.runAfterReading(connection, () -> endOnceClosed(aborted, AttemptResult.TIMED_OUT, ""));
        }

        /** Ends the call after a reply that makes no sense. */
        private void breakOff(AttemptResult ifWritten, String responseText) {
            if (!isContentStarted) {
                endCall(AttemptResult.NO_CONNECTION, responseText);
                return;
            }
            isBreakingOff = true;
            Call ended = call;
            Transport.runOnSelector(connection, () -> endOnceClosed(ended, ifWritten, responseText));
        }

        /**
         * Closes the connection, and ends the call by whether the last byte of its content was written until then.
         * Selector thread, on which nothing is being written meanwhile.
         */
        private void endOnceClosed(Call ended, AttemptResult ifWritten, String responseText) {
            AttemptResult result = contentWritten ? ifWritten : AttemptResult.NO_CONNECTION;
            core.post(() -> {
                if (call == ended) {
                    endCall(result, responseText);
                }
            });
            connection.terminateSilently();
        }

        void onClosed() {
            Reply cut = connection == null ? null : Reply.parse(input.unfinishedLine());
            boolean isRejection = cut != null && cut.isPermanentFailure();
            if (call == null) {
                closeConnection();
                refuteDelivery(isRejection);
            } else if (isRejection && !expectedReplies.isEmpty() && expectedReplies.peek() != Step.EXTENDED_HELLO) {
                endCall(AttemptResult.REJECTED, cut.code() + " " + cut.text());
            } else if (connection != null) {
                endCall(contentWritten ? AttemptResult.RESET : AttemptResult.NO_CONNECTION, "");
            }
        }

        /** Ends the call and closes the connection, whose protocol state is no longer certain. */
        private void endCall(AttemptResult result, String responseText) {
            Call finishedCall = call;
            call = null;
            core.deadlines().cancel(connectTimeout);
            closeConnection();
            if (finishedCall != null) {
                reportResult(finishedCall, result, responseText);
            }
        }

        private void reportResult(Call finishedCall, AttemptResult result, String responseText) {
            for (Message message : List.copyOf(finishedCall.messages)) {
                message.lastResponseText = responseText;
                if (result == AttemptResult.REJECTED) {
                    core.answers().received(finishedCall, message, Answer.REJECTED, true, 0);
                } else {
                    core.attemptEnded(finishedCall, message, result, 0, false, false);
                }
            }
        }

        private void closeConnection() {
            if (connection != null) {
                sessions.remove(connection);
                connection.terminateSilently(); // a plain close would first write the rest of a content
            }
        }
    }

    private final class SessionFilter extends BaseFilter {
        @Override
        public NextAction handleRead(FilterChainContext context) {
            byte[] bytes = Transport.toBytes(context.getMessage());
            ClientSession session = sessions.get(context.getConnection());
            if (session != null) {
                session.input.received(bytes);
            }
            return context.getStopAction();
        }

        @Override
        public NextAction handleClose(FilterChainContext context) {
            ClientSession session = sessions.get(context.getConnection());
            if (session != null) {
                core.post(session::onClosed);
            }
            return context.getInvokeAction();
        }

        @Override
        public void exceptionOccurred(FilterChainContext context, Throwable error) {
            context.getConnection().closeSilently();
        }
    }
}
