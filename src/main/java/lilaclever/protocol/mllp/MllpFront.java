package lilaclever.protocol.mllp;

import java.io.IOException;
import java.net.SocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import lilaclever.log.Logs;
import lilaclever.routing.Core;
import lilaclever.routing.Counters.Name;
import lilaclever.routing.FinalStatus;
import lilaclever.routing.FinalStatus.Kind;
import lilaclever.routing.Front;
import lilaclever.routing.Message;
import lilaclever.routing.Submission;
import lilaclever.transport.Transport;

/**
 * The front of HL7 v2 over MLLP. In enhanced mode the accept acknowledgement says that a message is in the journal, and
 * the application acknowledgement tells its end: on the connection that it came on, on another one of its practice,
 * or on the next. In original mode there is one acknowledgement, the end. A client that asks again, by sending the same
 * message, joins the one that is held or is told its end. Loop thread.
 */
public final class MllpFront implements Front {
    /** After so long a client that was turned away for want of room may come again, microseconds. */
    private static final long BUSY_RETRY_AFTER_MICROS = 1_000_000;
    /** Characters of a control id that go into ours. */
    private static final int MAX_CONTROL_ID_LENGTH = 40;
    /** Of connections closed for what came on them, one in so many is logged. */
    private static final int LOG_ONE_IN = 100;

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
    /** Messages held of each practice that came on this port. */
    private final Map<String, Integer> pendingByPractice = new HashMap<>();

    private final AtomicLong closedForBadInput = new AtomicLong();
    private long nextNumber;

    /** A front that listens nowhere yet. */
    public MllpFront(Core core, MllpSettings settings) {
        this.core = core;
        this.settings = settings;
        reader = new Hl7Reader(settings, Core::monotonicMicros, Core::wallMicros);
        replies = new Replies(new Acknowledgements(runId + '-'), settings.keyField());
        connections = new MllpConnections(this, core);
        finalAnswers = new FinalAnswers(core, settings, connections, replies);
        core.counters().entryGauge("mllp_connections", connections::count);
        core.counters().entryGauge("mllp_waiting", waiters::size);
        core.counters().entryGauge("mllp_owed", finalAnswers::size);
        core.counters().entryGauge("mllp_practices", pendingByPractice::size);
        core.counters().valueGauge("mllp_owed_given_up", finalAnswers::discardedCount);
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

    /** Listens at all addresses; gives those bound. */
    public List<SocketAddress> listen(Transport transport) throws IOException {
        List<SocketAddress> bound = new ArrayList<>();
        for (MllpSettings.Listener listener : settings.listeners()) {
            bound.add(connections.listen(transport, listener));
        }
        finalAnswers.startExpiry();
        return bound;
    }

    /** Accepts no more connections; messages are refused by the core from now on. */
    public void close() {
        connections.close();
    }

    /** Ends owed to clients that are away; the journal keeps them. */
    public int pendingAnswerCount() {
        return finalAnswers.size();
    }

    Core core() {
        return core;
    }

    Hl7Reader reader() {
        return reader;
    }

    /** A connection is closed for what came on it. Any thread. */
    void recordBadClient(String address, String why) {
        core.counters().add(Name.BAD_REQUESTS);
        if (closedForBadInput.incrementAndGet() % LOG_ONE_IN
                == 1) { // the first, and then one in a hundred: a log is bounded too
            Logs.warn("mllp", "bad-client", address + ": " + why + ": closed", "client", address);
        }
    }

    // ---- hand-ins ---------------------------------------------------------------------------------------
    /** Nothing could be read of it that makes a message. */
    void rejectUnreadable(MllpSession session, Header requestHeader, Hl7Fault fault) {
        core.counters().add(Name.BAD_REQUESTS);
        writeIfPresent(session, replies.unreadable(requestHeader, fault));
    }

    private static void writeIfPresent(MllpSession session, byte[] reply) {
        if (reply != null) {
            session.write(reply);
        }
    }

    void handleRequest(MllpSession session, Request request, boolean tooMany) {
        session.practice = request.practice();
        finalAnswers.withdraw(request.identity());
        finalAnswers.sendPending(session, request.header());
        if (tooMany || pendingByPractice.getOrDefault(request.practice(), 0) >= settings.maxPendingPerPractice()) {
            replyBusy(session, request, "too many messages at once");
        } else if (!core.isKnownDestination(request.destination())) {
            replyBusy(session, request, "no such destination now");
        } else {
            submit(session, request);
        }
    }

    /** The core is not asked. */
    private void replyBusy(MllpSession session, Request request, String why) {
        session.onAnswered();
        writeIfPresent(
                session,
                replies.notAccepted(request.header(), new FinalStatus(Kind.REFUSED, BUSY_RETRY_AFTER_MICROS, why)));
    }

    private void submit(MllpSession session, Request request) {
        Message message = core.submit(this, toSubmission(request));
        if (!message.isOpen()) {
            session.onAnswered();
            answerImmediately(session, request.header(), message.finalStatus());
            return;
        }
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
        long budget =
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
                budget);
    }

    /** The control id for people, and what makes it like no other. */
    private String messageId(Request request) {
        String control = request.header().field(10).replaceAll("[^A-Za-z0-9_-]", "");
        return control.substring(0, Math.min(MAX_CONTROL_ID_LENGTH, control.length()))
                + '.'
                + runId
                + '.'
                + Long.toString(nextNumber++, Character.MAX_RADIX);
    }

    /** The message was not taken on, or its end is remembered: the client that asks again gets it again. */
    private void answerImmediately(MllpSession session, Header requestHeader, FinalStatus finalStatus) {
        if (finalStatus.kind() == Kind.DELIVERED || finalStatus.kind() == Kind.FAILED) {
            replies.remembered(requestHeader, finalStatus).forEach(session::write);
        } else {
            writeIfPresent(session, replies.notAccepted(requestHeader, finalStatus));
        }
    }

    // ---- what the core tells ----------------------------------------------------------------------------
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
            return; // its one acknowledgement is the end
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
        finalAnswers.send(session, new FinalAnswers.Answer(header, message, finalStatus, settled));
    }

    /** The header of a message whose client is not here, as its body has it. */
    private static Header storedHeader(Message message) {
        try {
            return Header.read(message.submission.body());
        } catch (Hl7Fault e) {
            return null; // handed in on another port first: whoever joined it here sent the same bytes
        }
    }
}
