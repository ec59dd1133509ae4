package lilaclever.protocol.mllp;

import java.io.IOException;
import java.net.SocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import lilaclever.log.Logs;
import lilaclever.routing.Core;
import lilaclever.routing.Counters.Name;
import lilaclever.routing.FinalStatus;
import lilaclever.routing.FinalStatus.Kind;
import lilaclever.routing.Front;
import lilaclever.routing.Message;
import lilaclever.routing.MessageClasses;
import lilaclever.routing.Submission;
import lilaclever.transport.Transport;

/**
 * The front for HL7 v2 over MLLP. In enhanced mode the accept acknowledgement says that a message is in the journal,
 * and the application acknowledgement reports its final status: on the connection that it came on, on another one of
 * its practice, or on the next one. In original mode there is one acknowledgement, for the final status. A client that
 * sends the same message again is attached to the pending one, or gets the remembered final status. Event loop.
 */
public final class MllpFront implements Front {
    /** The retry delay given to clients that are rejected for lack of capacity. */
    private static final long BUSY_RETRY_AFTER_MICROS = 1_000_000;
    /** Number of characters of the client's control id that become part of the message id. */
    private static final int MAX_CONTROL_ID_LENGTH = 40;
    /**
     * Of the connections closed for bad input the first and then one in this many are logged, which bounds the
     * log.
     */
    private static final int LOG_ONE_IN = 100;

    /** The session that waits for the answers to a message: the last one that sent it. */
    private static final class Waiter {
        final MllpSession session;
        final Request request;
        private boolean accepted, answered;

        Waiter(MllpSession session, Request request) {
            this.session = session;
            this.request = request;
        }

        /** The session has got its first answer, or another session gets it instead. */
        void markAnswered() {
            if (!answered) {
                answered = true;
                session.onAnswered();
            }
        }
    }

    private final Core core;
    private final MllpSettings settings;
    private final Hl7Reader reader;
    private final String runId = Long.toString(System.currentTimeMillis(), Character.MAX_RADIX);
    private final Replies replies;
    private final MllpConnections connections;
    private final FinalAnswers finalAnswers;
    private final Map<Message, Waiter> waiters = new HashMap<>();
    /** The number of pending messages of each practice that came through this front. */
    private final Map<String, Integer> pendingByPractice = new HashMap<>();

    private final AtomicLong closedForBadInput = new AtomicLong();
    private long nextIdNumber;

    /** Creates a front that does not listen yet. */
    public MllpFront(Core core, MllpSettings settings, MessageClasses classes) {
        this.core = core;
        this.settings = settings;
        reader = new Hl7Reader(settings, classes, Core::monotonicMicros, Core::wallMicros);
        replies = new Replies(new Acknowledgements(runId + '-'), settings.keyField());
        connections = new MllpConnections(this, core);
        finalAnswers = new FinalAnswers(core, settings, connections, replies);
        core.counters().entryGauge("mllp_connections", connections::count);
        core.counters().entryGauge("mllp_waiting", waiters::size);
        core.counters().entryGauge("mllp_unhandled", connections::unhandledCount);
        core.counters().entryGauge("mllp_owed", finalAnswers::size);
        core.counters().entryGauge("mllp_unconfirmed", finalAnswers::unconfirmedCount);
        core.counters().entryGauge("mllp_practices", pendingByPractice::size);
        core.counters().valueGauge("mllp_owed_given_up", finalAnswers::discardedCount);
        core.counters().valueGauge("mllp_sent_again", finalAnswers::sentAgainCount);
        core.counters().valueGauge("mllp_turned_away", connections::rejectedCount);
        core.counters().valueGauge("mllp_spoilt", closedForBadInput::get);
    }

    @Override
    public String name() {
        return "mllp";
    }

    @Override
    public boolean notifiesOnce() {
        return true;
    }

    /** Listens at all configured addresses; returns the bound addresses. */
    public List<SocketAddress> listen(Transport transport) throws IOException {
        List<SocketAddress> bound = new ArrayList<>();
        for (MllpSettings.Listener listener : settings.listeners()) {
            bound.add(connections.listen(transport, listener));
        }
        finalAnswers.startExpiry();
        return bound;
    }

    /** Accepts no more connections; the core refuses messages from now on. */
    public void close() {
        connections.close();
    }

    /**
     * The number of final answers that their clients do not have yet, or have not confirmed; the journal retains them.
     */
    public int pendingAnswerCount() {
        return finalAnswers.size() + finalAnswers.unconfirmedCount();
    }

    Core core() {
        return core;
    }

    Hl7Reader reader() {
        return reader;
    }

    /** Counts, and sometimes logs, a connection that is closed for bad input. Any thread. */
    void recordBadClient(String address, String why) {
        core.counters().add(Name.BAD_REQUESTS);
        if (closedForBadInput.incrementAndGet() % LOG_ONE_IN == 1) {
            Logs.warn("mllp", "bad-client", address + ": " + why + ": closed", "client", address);
        }
    }

    /** The session has ended. Event loop. */
    void onEnd(MllpSession session) {
        finalAnswers.onEnd(session);
    }

    /** True if the client of the session has not confirmed yet all answers that were written to it. Event loop. */
    boolean awaitsConfirmation(MllpSession session) {
        return finalAnswers.awaitsConfirmation(session);
    }

    // Submissions
    /** Answers input that could not be read as an acceptable message. */
    void rejectUnreadable(MllpSession session, Header requestHeader, Hl7Fault fault) {
        core.counters().add(Name.BAD_REQUESTS);
        writeIfPresent(session, replies.unreadable(requestHeader, fault));
    }

    private static void writeIfPresent(MllpSession session, byte[] reply) {
        if (reply != null) {
            session.write(reply);
        }
    }

    /** Rejects a message of a session that has too many without an answer. */
    void rejectExcess(MllpSession session, Header requestHeader) {
        writeIfPresent(session, replies.notAccepted(requestHeader, busy("too many messages at once")));
    }

    void handleRequest(MllpSession session, Request request) {
        session.practice = request.practice();
        finalAnswers.onMessage(session, request.arrivedMicros());
        Optional<FinalAnswers.Answer> owed = finalAnswers.withdraw(request.identity());
        finalAnswers.sendPending(session, request.header());
        if (pendingByPractice.getOrDefault(request.practice(), 0) >= settings.maxPendingPerPractice()) {
            replyBusy(session, request, "too many messages at once");
            owed.ifPresent(finalAnswers::putBack);
        } else if (!core.isKnownDestination(request.destination())) {
            replyBusy(session, request, "no such destination now");
            owed.ifPresent(finalAnswers::putBack);
        } else {
            submit(session, request, owed);
        }
    }

    /** Rejects a message without submitting it to the core. */
    private void replyBusy(MllpSession session, Request request, String why) {
        session.onAnswered();
        writeIfPresent(session, replies.notAccepted(request.header(), busy(why)));
    }

    private static FinalStatus busy(String why) {
        return new FinalStatus(Kind.REFUSED, BUSY_RETRY_AFTER_MICROS, why);
    }

    private void submit(MllpSession session, Request request, Optional<FinalAnswers.Answer> owed) {
        Message message = core.submit(this, toSubmission(request));
        if (!message.isOpen()) {
            session.onAnswered();
            answerImmediately(session, request, message.finalStatus(), owed);
            return;
        }
        owed.ifPresent(answer -> answer.settled().run());
        Waiter previous = waiters.put(message, new Waiter(session, request));
        if (previous != null) {
            previous.markAnswered();
        } else {
            pendingByPractice.merge(request.practice(), 1, Integer::sum);
        }
        if (message.isAccepted()) {
            core.whenDurable(() -> acknowledgeAccepted(waiters.get(message)));
        }
    }

    private Submission toSubmission(Request request) {
        long budgetMicros =
                Math.max(0, request.budgetMicros() - Math.max(0, Core.monotonicMicros() - request.arrivedMicros()));
        return new Submission(
                messageId(request),
                request.identity(),
                request.messageClass(),
                request.destination(),
                request.deliveryKey(),
                request.body(),
                false,
                false,
                budgetMicros);
    }

    /** The control id, for readability, with a suffix that makes the id unique. */
    private String messageId(Request request) {
        String control = request.header().field(10).replaceAll("[^A-Za-z0-9_-]", "");
        return control.substring(0, Math.min(MAX_CONTROL_ID_LENGTH, control.length()))
                + '.'
                + runId
                + '.'
                + Long.toString(nextIdNumber++, Character.MAX_RADIX);
    }

    /**
     * Answers a message that was not accepted, or whose final status is remembered from an earlier submission.
     *
     * @param owed the answer that the client is owed for this message and has not confirmed yet
     */
    private void answerImmediately(
            MllpSession session, Request request, FinalStatus finalStatus, Optional<FinalAnswers.Answer> owed) {
        Header header = request.header();
        boolean delivered = finalStatus.kind() == Kind.DELIVERED;
        if (!delivered && finalStatus.kind() != Kind.FAILED) {
            writeIfPresent(session, replies.notAccepted(header, finalStatus));
            owed.ifPresent(finalAnswers::putBack);
            return;
        }
        writeIfPresent(session, replies.rememberedAccept(header, finalStatus));
        if (!Request.wantsApplicationAcknowledgement(header, delivered)) {
            owed.ifPresent(answer -> answer.settled().run());
        } else if (owed.isPresent()) {
            Runnable settled = owed.get().settled();
            finalAnswers.send(session, new FinalAnswers.Answer(header, request.identity(), finalStatus, settled));
        } else {
            session.write(replies.finalStatus(header, finalStatus));
        }
    }

    // Notifications from the core
    @Override
    public void onAccepted(Message message) {
        Waiter waiter = waiters.get(message);
        if (waiter != null) {
            acknowledgeAccepted(waiter);
        }
    }

    private void acknowledgeAccepted(Waiter waiter) {
        if (waiter == null || waiter.accepted) {
            return;
        }
        waiter.accepted = true;
        if (Request.isOriginalMode(waiter.request.header())) {
            return; // the only acknowledgement is for the final status
        }
        waiter.markAnswered();
        writeIfPresent(waiter.session, replies.accepted(waiter.request.header()));
    }

    @Override
    public void onRejected(Message message, FinalStatus finalStatus) {
        Waiter waiter = removeWaiter(message);
        if (waiter != null) {
            waiter.markAnswered();
            writeIfPresent(waiter.session, replies.notAccepted(waiter.request.header(), finalStatus));
        }
    }

    @Override
    public void onAttachRejected(Message message, String id, FinalStatus finalStatus) {
        onRejected(message, finalStatus);
    }

    private Waiter removeWaiter(Message message) {
        Waiter waiter = waiters.remove(message);
        if (waiter != null) {
            pendingByPractice.computeIfPresent(waiter.request.practice(), (p, n) -> n > 1 ? n - 1 : null);
        }
        return waiter;
    }

    @Override
    public byte[] bodyForNotification(Submission submission) {
        return Header.segment(submission.body());
    }

    @Override
    public void onFinalStatus(Message message, String id, FinalStatus finalStatus, Runnable settled) {
        Waiter waiter = removeWaiter(message);
        Header header = waiter != null ? waiter.request.header() : storedHeader(message);
        if (waiter != null) {
            waiter.markAnswered();
        }
        if (header == null || !Request.wantsApplicationAcknowledgement(header, finalStatus.kind() == Kind.DELIVERED)) {
            settled.run();
            return;
        }
        MllpSession session = waiter != null && waiter.session.isOpen() ? waiter.session : null;
        finalAnswers.send(
                session, new FinalAnswers.Answer(header, message.submission.identity(), finalStatus, settled));
    }

    /** The header from the body of a message without a waiting session; null if the body has none. */
    private static Header storedHeader(Message message) {
        try {
            return Header.read(message.submission.body());
        } catch (Hl7Fault e) {
            return null; // submitted through another front first; duplicates attached here have the same bytes
        }
    }
}
