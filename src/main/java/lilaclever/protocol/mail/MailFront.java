package lilaclever.protocol.mail;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.time.ZoneOffset;
import java.time.ZonedDateTime;
import java.time.format.DateTimeFormatter;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import lilaclever.log.Logs;
import lilaclever.protocol.mail.MailSettings.Protocol;
import lilaclever.routing.ClassVersion;
import lilaclever.routing.Core;
import lilaclever.routing.FinalStatus;
import lilaclever.routing.Front;
import lilaclever.routing.Message;
import lilaclever.routing.MessageClasses;
import lilaclever.routing.Submission;
import lilaclever.transport.InputBudget;
import lilaclever.transport.Transport;
import lilaclever.transport.UnhandledLimit;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChain;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;

/**
 * The front for SMTP or LMTP. A mail for several recipients becomes one core message per recipient. With SMTP the
 * client gets 250 once these are in the journal, and a later failure is reported to the reverse path. With LMTP the
 * client gets each recipient's final status, in the order of its RCPT commands. Event loop, except the filter.
 */
public final class MailFront implements Front {
    /** The longest line of RFC 5322: a longer Message-ID is invalid, and too long for the journal. */
    private static final int MAX_MESSAGE_ID_LENGTH = 998;

    /**
     * Begins the identity of a report that an earlier version submitted to this front; the id of the message that
     * failed follows.
     */
    private static final String EARLIER_REPORT_IDENTITY = "report ";

    /** Of mail whose domain has no route any more; no endpoint has it. */
    static final int NO_DESTINATION = -1;

    private final Core core;
    private final MailSettings settings;
    private final MessageClasses classes;
    private final Protocol protocol;
    private final ReportFront reports;
    private final int maxSessions;
    /** Enough for the share of each session, so that one that waits for its replies takes nothing from others. */
    private final InputBudget inputBudget;

    private final UnhandledLimit acceptLimit;

    private final Map<Message, List<Waiter>> waiters = new HashMap<>();
    private final Set<ServerSession> sessions = new HashSet<>();
    private final Attribute<ServerSession> sessionAttribute =
            Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("MailFront.session");
    private final List<Connection<?>> listeners = new ArrayList<>();
    private final String runId = Long.toString(System.currentTimeMillis(), Character.MAX_RADIX);
    private boolean closing;
    private long nextIdNumber;

    /** Receives the answer to a submission. */
    interface ReplyListener {
        /** Takes the reply; returns whether the client is still connected, so that it will get it. */
        boolean onReply(Reply reply);
    }

    /**
     * A client that waits for its answer: that the mail was accepted, or, with {@code forEnd}, its final status.
     */
    private record Waiter(ReplyListener listener, boolean forEnd) {}

    /** Creates a front that does not listen yet and accepts at most {@code maxSessions} clients at once. */
    public MailFront(
            Core core,
            MailSettings settings,
            MessageClasses classes,
            Protocol protocol,
            ReportFront reports,
            int maxSessions) {
        this.core = core;
        this.settings = settings;
        this.classes = classes;
        this.protocol = protocol;
        this.reports = reports;
        this.maxSessions = maxSessions;
        this.acceptLimit = new UnhandledLimit(Math.max(1, maxSessions));
        this.inputBudget =
                new InputBudget(Integer.MAX_VALUE, (long) Math.max(1, maxSessions) * LineInput.MAX_CONNECTION_BYTES);
        core.counters().entryGauge(name() + "_unhandled", inputBudget::pieces);
    }

    @Override
    public String name() {
        return protocol.name().toLowerCase(Locale.ROOT);
    }

    /** Listens at the addresses that the mail file has for this protocol; returns the bound addresses. */
    public List<SocketAddress> listen(Transport transport) throws IOException {
        List<SocketAddress> bound = new ArrayList<>();
        FilterChain chain = Transport.chain(new TextFilter(), new SessionFilter());
        for (MailSettings.Listener listener : settings.listeners()) {
            if (listener.protocol() == protocol) {
                var server = transport.listen(Transport.parseAddress(listener.address()), chain);
                listeners.add(server);
                bound.add(server.getLocalAddress());
            }
        }
        return bound;
    }

    /** Accepts no more connections; closes sessions with a 421, those with pending replies after these are written. */
    public void close() {
        closing = true;
        listeners.forEach(Connection::closeSilently);
        List.copyOf(sessions).forEach(ServerSession::closeForShutdown);
    }

    // Submissions
    /** True if a repeat of this mail can be recognized by its Message-ID. */
    static boolean hasUsableMessageId(String content) {
        String messageId = Mail.header(content, "Message-ID");
        return messageId != null && messageId.length() <= MAX_MESSAGE_ID_LENGTH;
    }

    /** Submits a mail for one recipient; the listener gets exactly one reply, possibly before this returns. */
    void submit(Mail mail, ReplyListener listener) {
        String identity = hasUsableMessageId(mail.content())
                ? Mail.header(mail.content(), "Message-ID") + ' ' + mail.recipient()
                : null;
        String headerValue = Mail.header(mail.content(), settings.classHeader());
        String className = headerValue == null ? null : settings.classes().get(headerValue);
        submit(mail, identity, className, listener);
    }

    /** Submits a mail of the named class; one whose class is null or not configured any more is never repeated. */
    private void submit(Mail mail, String identity, String className, ReplyListener listener) {
        ClassVersion messageClass = classes.currentOrUnsafe(className);
        String id = name() + '-' + runId + '-' + Long.toString(nextIdNumber++, Character.MAX_RADIX);
        Submission submission = new Submission(
                id,
                identity,
                messageClass,
                settings.route(mail.recipient()).destination(),
                identity,
                mail.encode(),
                false,
                false,
                messageClass.definition().deadlineMicros());
        Message message = core.submit(this, submission);
        boolean forEnd = tellsEndInReply(mail.reversePath());
        if (!message.isOpen()) {
            listener.onReply(
                    protocol == Protocol.SMTP && message.finalStatus().kind() == FinalStatus.Kind.DELIVERED
                            ? new Reply(250, "2.0.0 taken on before")
                            : Reply.of(message.finalStatus()));
        } else if (message.front != this) {
            // The same mail is pending for a client of the other protocol: its final status will be known soon.
            listener.onReply(new Reply(451, "4.3.0 already under way, come again"));
        } else if (!forEnd && message.isAccepted()) {
            listener.onReply(new Reply(250, "2.0.0 taken on before"));
        } else {
            waiters.computeIfAbsent(message, x -> new ArrayList<>()).add(new Waiter(listener, forEnd));
        }
    }

    /**
     * Whether the reply to a mail's content tells its end. So it does in LMTP, and where a failure could not be
     * reported later, as the reverse path has no route: then the client remains responsible for the mail until that
     * reply.
     */
    boolean tellsEndInReply(String reversePath) {
        return protocol == Protocol.LMTP || !reversePath.isEmpty() && settings.route(reversePath) == null;
    }

    /** The route of the recipient's domain counts, as the mail file may have given its number to another domain. */
    @Override
    public int destinationOf(Submission accepted) {
        MailSettings.Route route = settings.route(Mail.decode(accepted.body()).recipient());
        return route == null ? NO_DESTINATION : route.destination();
    }

    /** Answers all that wait for the message; returns whether one of them is still connected. */
    private boolean answerWaiters(Message message, Reply reply) {
        boolean isTold = false;
        for (Waiter waiter : waiters.getOrDefault(message, List.of())) {
            isTold |= waiter.listener().onReply(reply);
        }
        waiters.remove(message);
        return isTold;
    }

    @Override
    public void onAccepted(Message message) {
        List<Waiter> waiting = waiters.getOrDefault(message, new ArrayList<>());
        List<Waiter> forAcceptance =
                waiting.stream().filter(waiter -> !waiter.forEnd()).toList();
        waiting.removeAll(forAcceptance);
        if (waiting.isEmpty()) {
            waiters.remove(message);
        }
        forAcceptance.forEach(waiter -> waiter.listener().onReply(new Reply(250, "2.0.0 taken on")));
    }

    @Override
    public void onRejected(Message message, FinalStatus finalStatus) {
        answerWaiters(message, Reply.of(finalStatus));
    }

    @Override
    public byte[] bodyForNotification(Submission submission) {
        return DeliveryStatusNotification.reportedPart(Mail.decode(submission.body()))
                .encode();
    }

    @Override
    public void onFinalStatus(Message message, String id, FinalStatus finalStatus, Runnable settled) {
        boolean isTold = answerWaiters(message, Reply.of(finalStatus));
        if (protocol == Protocol.LMTP) {
            // A client that has lost its connection submits the mail again and gets the remembered final status.
            if (!isTold) {
                logUntold(id, finalStatus);
            }
            settled.run();
        } else if (finalStatus.kind() == FinalStatus.Kind.REFUSED || finalStatus.kind() == FinalStatus.Kind.FAILED) {
            sendReport(message, id, finalStatus, isTold, settled);
        } else {
            settled.run();
        }
        if (finalStatus.kind() == FinalStatus.Kind.DELIVERED) {
            reports.onServerReachable(message.submission.destination());
        }
    }

    private static void logUntold(String id, FinalStatus finalStatus) {
        String status = finalStatus.kind().name().toLowerCase(Locale.ROOT);
        String text = "the end (" + status + ") of " + id
                + " is not told yet: its LMTP client has left, and hears it when it asks again";
        Logs.info("", "end-untold", text, "message", id);
    }

    // Delivery status notifications
    /**
     * Owes a report of the failure to the reverse path; a null one has nobody to report to.
     *
     * @param isToldInReply whether a client has heard the failure in the reply to its content
     */
    private void sendReport(
            Message message, String failedId, FinalStatus finalStatus, boolean isToldInReply, Runnable settled) {
        Mail mail = Mail.decode(message.submission.body());
        String identity = message.submission.identity();
        if (isToldInReply && tellsEndInReply(mail.reversePath())) {
            settled.run();
        } else if (!mail.reversePath().isEmpty()) {
            reports.report(failedId, mail, finalStatus, settled);
        } else if (identity != null && identity.startsWith(EARLIER_REPORT_IDENTITY)) {
            reports.takeOver(identity.substring(EARLIER_REPORT_IDENTITY.length()), mail, settled);
        } else {
            settled.run();
        }
    }

    /** Reports a recipient that was rejected while others of the same mail were accepted. */
    void reportRejectedRecipient(Mail mail, Runnable reported) {
        if (mail.reversePath().isEmpty()) {
            reported.run();
            return;
        }
        String id = "turned-down-" + runId + '-' + nextIdNumber++;
        reports.report(id, mail, FinalStatus.of(FinalStatus.Kind.REFUSED), reported);
    }

    static String date() {
        return DateTimeFormatter.RFC_1123_DATE_TIME
                .format(ZonedDateTime.now(ZoneOffset.UTC))
                .replace("GMT", "+0000");
    }

    // Connections
    MailSettings settings() {
        return settings;
    }

    Protocol protocol() {
        return protocol;
    }

    Core core() {
        return core;
    }

    boolean isClosing() {
        return closing;
    }

    /** The size of the lines of all sessions that have been read and not been handled yet. Any thread. */
    long unhandledBytes() {
        return inputBudget.bytes();
    }

    void removeSession(ServerSession session) {
        sessions.remove(session);
    }

    private void onOpen(ServerSession session) {
        acceptLimit.handled();
        if (closing || sessions.size() >= maxSessions) {
            session.close("421 4.3.2 " + settings.hostName() + " takes no more connections\r\n");
            return;
        }
        sessions.add(session);
        session.greet();
    }

    private final class SessionFilter extends BaseFilter {
        @Override
        public NextAction handleAccept(FilterChainContext context) {
            Connection<?> connection = context.getConnection();
            if (!acceptLimit.tryAdd()) {
                connection.closeSilently();
                return context.getStopAction();
            }
            String peer = connection.getPeerAddress() instanceof InetSocketAddress a
                    ? a.getAddress().getHostAddress()
                    : "unknown";
            ServerSession session = new ServerSession(MailFront.this, connection, peer, inputBudget);
            sessionAttribute.set(connection, session);
            core.post(() -> onOpen(session));
            return context.getInvokeAction();
        }

        @Override
        public NextAction handleRead(FilterChainContext context) {
            byte[] bytes = Transport.toBytes(context.getMessage());
            ServerSession session = sessionAttribute.get(context.getConnection());
            if (session != null) {
                session.onBytes(bytes);
            }
            return context.getStopAction();
        }

        @Override
        public NextAction handleClose(FilterChainContext context) {
            ServerSession session = sessionAttribute.get(context.getConnection());
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
