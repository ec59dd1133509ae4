package lilaclever.protocol.mllp;

import lilaclever.identity.Identity;
import lilaclever.routing.Core;
import lilaclever.routing.FinalStatus;
import lilaclever.routing.Message;

/**
 * Tells clients how their messages ended: on the connection that waits, on another one of the practice, or, while it
 * has none, on its next. What a client that is away never comes for is given up after a time. Loop thread.
 */
final class FinalAnswers {
    private static final long EXPIRY_CHECK_INTERVAL_MICROS = 1_000_000;
    /** Answers owed from earlier that go out before a connection's next message is looked at. */
    private static final int MAX_PENDING_PER_MESSAGE = 100;

    /**
     * An end that is to be told.
     *
     * @param header of the message that asked last
     * @param settled run once it is told or given up
     */
    record Answer(Header header, Message message, FinalStatus finalStatus, Runnable settled) {
        private String identity() {
            return message.submission.identity();
        }

        private String practice() {
            return Identity.parse(identity()).practice();
        }
    }

    private final Core core;
    private final MllpConnections connections;
    private final Replies replies;
    private final PendingAnswers<Answer> pending;

    FinalAnswers(Core core, MllpSettings settings, MllpConnections connections, Replies replies) {
        this.core = core;
        this.connections = connections;
        this.replies = replies;
        pending = new PendingAnswers<>(settings.maxPendingAnswers(), settings.answerRetentionMicros());
    }

    /** From now on looks once a second for answers whose time is over. */
    void startExpiry() {
        core.post(this::expire);
    }

    private void expire() {
        pending.expired(core.nowMicros()).forEach(answer -> answer.settled().run());
        core.deadlines().schedule(core.nowMicros() + EXPIRY_CHECK_INTERVAL_MICROS, this::expire);
    }

    /** Tells an end on the connection, or, if that is null, on another one of the practice; else it is owed. */
    void send(MllpSession session, Answer answer) {
        String practice = answer.practice();
        MllpSession target = session;
        if (target == null && Request.wantsLaterAcknowledgements(answer.header())) {
            target = connections.latestOf(practice);
        }
        if (target == null) {
            retain(answer, practice);
            return;
        }
        target.write(
                replies.finalStatus(answer.header(), answer.finalStatus()),
                () -> core.post(answer.settled()),
                () -> core.post(() -> retain(answer, practice)));
    }

    private void retain(Answer answer, String practice) {
        if (!Request.wantsLaterAcknowledgements(answer.header())) {
            // In original mode an acknowledgement that nobody waits for would pass for another's.
            answer.settled().run();
            return;
        }
        pending.add(answer.identity(), practice, answer, core.nowMicros())
                .forEach(discarded -> discarded.settled().run());
    }

    /** The client asks for it itself: what follows is its answer, and none is owed any more. */
    void withdraw(String identity) {
        Answer previous = pending.withdraw(identity);
        if (previous != null) {
            previous.settled().run();
        }
    }

    /** The session's practice is here: if it takes application acknowledgements, it gets those that are owed. */
    void sendPending(MllpSession session, Header header) {
        if (Request.wantsLaterAcknowledgements(header)) {
            pending.take(session.practice, MAX_PENDING_PER_MESSAGE).forEach(answer -> send(session, answer));
        }
    }

    /** Answers that are owed to clients that are away. */
    int size() {
        return pending.size();
    }

    /** Answers that were given up untold. */
    long discardedCount() {
        return pending.discardedCount();
    }
}
