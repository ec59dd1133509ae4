package lilaclever.protocol.mllp;

import java.util.Locale;
import lilaclever.identity.Identity;
import lilaclever.log.Logs;
import lilaclever.routing.Core;
import lilaclever.routing.FinalStatus;

/**
 * Sends the final status of messages to clients: on the connection that waits for it, on another one of the practice
 * or, if there is none, on the next one that it opens. Answers that are not collected in time are discarded. Event
 * loop.
 */
final class FinalAnswers {
    private static final long EXPIRY_CHECK_INTERVAL_MICROS = 1_000_000;
    /** Limit of pending answers that are sent before a message of their practice is handled. */
    private static final int MAX_PENDING_PER_MESSAGE = 100;

    /**
     * A final status to send to a client.
     *
     * @param header the header of the last request for this message
     * @param identity the identity of the message
     * @param settled run once the answer is written or discarded
     */
    record Answer(Header header, String identity, FinalStatus finalStatus, Runnable settled) {
        private String practice() {
            return Identity.parse(identity).practice();
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

    /** Starts discarding expired answers, once a second. */
    void startExpiry() {
        core.post(this::expire);
    }

    private void expire() {
        pending.expired(core.nowMicros()).forEach(answer -> discard(answer, "its client did not come in time"));
        core.deadlines().schedule(core.nowMicros() + EXPIRY_CHECK_INTERVAL_MICROS, this::expire);
    }

    /** Sends an answer on the session, or if that is null on another one of the practice; else keeps it pending. */
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
            // In original mode a late acknowledgement would be taken for that of another message.
            logLeftInOriginalMode(answer);
            answer.settled().run();
            return;
        }
        for (Answer discarded : pending.add(answer.identity(), practice, answer, core.nowMicros())) {
            if (discarded.identity().equals(answer.identity())) {
                discarded.settled().run(); // the later answer tells the client
            } else {
                discard(discarded, "too many are owed");
            }
        }
    }

    private static void discard(Answer answer, String reason) {
        String controlId = answer.header().field(10);
        Logs.warn("mllp", "end-dropped", describe(answer) + " is not told: " + reason, "message", controlId);
        answer.settled().run();
    }

    private static void logLeftInOriginalMode(Answer answer) {
        String text = " is not told yet: its client has left in original mode, and hears it when it asks again";
        Logs.info(
                "mllp",
                "end-untold",
                describe(answer) + text,
                "message",
                answer.header().field(10));
    }

    private static String describe(Answer answer) {
        String status = answer.finalStatus().kind().name().toLowerCase(Locale.ROOT);
        return "the end (" + status + ") of message " + answer.header().field(10) + " of practice " + answer.practice();
    }

    /** Drops the pending answer of a message that its client has sent again, as the repeat is answered itself. */
    void withdraw(String identity) {
        Answer previous = pending.withdraw(identity);
        if (previous != null) {
            previous.settled().run();
        }
    }

    /** Sends pending answers to the session's practice, if it wants application acknowledgements. */
    void sendPending(MllpSession session, Header header) {
        if (Request.wantsLaterAcknowledgements(header)) {
            pending.take(session.practice, MAX_PENDING_PER_MESSAGE).forEach(answer -> send(session, answer));
        }
    }

    /** The number of answers pending for disconnected clients. */
    int size() {
        return pending.size();
    }

    /** The number of answers discarded before they were sent. */
    long discardedCount() {
        return pending.discardedCount();
    }
}
