package lilaclever.protocol.mllp;

import java.util.Locale;
import java.util.Optional;
import lilaclever.identity.Identity;
import lilaclever.log.Logs;
import lilaclever.routing.Core;
import lilaclever.routing.FinalStatus;

/**
 * Sends the final status of messages to clients: on the connection that waits for it, on another one of the practice
 * or, if there is none, on the next one that it opens. An answer is settled once its client has shown that it has read
 * it; if the connection breaks before, it is sent again. Answers that are not collected in time are discarded. Event
 * loop.
 */
final class FinalAnswers {
    private static final long EXPIRY_CHECK_INTERVAL_MICROS = 1_000_000;
    /** Limit of pending answers that are sent before a message of their practice is handled. */
    private static final int MAX_PENDING_PER_MESSAGE = 100;
    /** Limit of written answers that are retained until their client confirms them. */
    private static final int MAX_UNCONFIRMED = 1_000;
    /** A message received sooner after an answer was written may have been on its way before. */
    private static final long MIN_READ_MICROS = 100_000;

    /**
     * A final status to send to a client.
     *
     * @param header the header of the last request for this message
     * @param identity the identity of the message
     * @param settled run once the client has the answer, or it is discarded
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
    private final UnconfirmedAnswers<MllpSession, Answer> unconfirmed =
            new UnconfirmedAnswers<>(MAX_UNCONFIRMED, MIN_READ_MICROS);
    private long sentAgainCount;

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
        MllpSession target = session == null && Request.wantsLaterAcknowledgements(answer.header())
                ? connections.latestOf(practice)
                : session;
        if (target == null) {
            retain(answer, practice);
            return;
        }
        target.write(
                replies.finalStatus(answer.header(), answer.finalStatus()),
                () -> core.post(() -> onWritten(target, answer)),
                () -> core.post(() -> retain(answer, practice)));
    }

    private void onWritten(MllpSession session, Answer answer) {
        if (!Request.wantsLaterAcknowledgements(answer.header())) {
            answer.settled().run();
        } else if (session.end() != null) {
            sendAgain(answer); // the client may have closed the connection before
        } else {
            retainUnconfirmed(session, answer);
        }
    }

    private void retainUnconfirmed(MllpSession session, Answer answer) {
        for (Answer removed : unconfirmed.add(session, answer.identity(), answer, core.nowMicros())) {
            if (removed.identity().equals(answer.identity())) {
                removed.settled().run(); // the later answer tells the client
            } else {
                discard(removed, "it is written, and too many are not known to be read");
            }
        }
    }

    /** The session has sent a message: its client has read what was written well before. */
    void onMessage(MllpSession session, long receivedMicros) {
        unconfirmed
                .confirmedBy(session, receivedMicros)
                .forEach(confirmed -> confirmed.settled().run());
    }

    /** The session has ended: a client that has closed its connection in order has read what was written. */
    void onEnd(MllpSession session) {
        for (Answer answer : unconfirmed.removeAll(session)) {
            if (session.end() == MllpSession.End.IN_ORDER) {
                answer.settled().run();
            } else {
                sendAgain(answer);
            }
        }
    }

    /** True if the client of the session has not confirmed yet all answers that were written to it. */
    boolean awaitsConfirmation(MllpSession session) {
        return unconfirmed.has(session);
    }

    private void sendAgain(Answer answer) {
        sentAgainCount++;
        send(null, answer);
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

    /**
     * Removes the answer that a client is owed for a message that it has sent again, as the repeat is answered itself.
     * The caller settles it once the answer to the repeat is with the client, or puts it back.
     */
    Optional<Answer> withdraw(String identity) {
        Answer waiting = pending.withdraw(identity);
        Answer owed = waiting != null ? waiting : unconfirmed.withdraw(identity);
        if (owed != null && owed.finalStatus().kind() == FinalStatus.Kind.REFUSED) {
            owed.settled().run(); // the repeat is a message of its own
            return Optional.empty();
        }
        return Optional.ofNullable(owed);
    }

    /** Owes a withdrawn answer again, as the repeat of its message was not answered with it. */
    void putBack(Answer answer) {
        retain(answer, answer.practice());
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

    /** The number of answers that are written and that their client has not confirmed yet. */
    int unconfirmedCount() {
        return unconfirmed.size();
    }

    /** The number of answers that were sent again since the connection broke after they were written. */
    long sentAgainCount() {
        return sentAgainCount;
    }

    /** The number of answers discarded before they were sent. */
    long discardedCount() {
        return pending.discardedCount();
    }
}
