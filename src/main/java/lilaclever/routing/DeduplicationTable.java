package lilaclever.routing;

import java.util.ArrayList;
import java.util.List;
import lilaclever.identity.CompletedMessage;
import lilaclever.identity.CompletedMessageStore;
import lilaclever.identity.DuplicateCheckResult;
import lilaclever.identity.DuplicateDetector;
import lilaclever.identity.IdempotencyWindows;
import lilaclever.routing.Counters.Name;
import lilaclever.routing.FinalStatus.Kind;

/**
 * Who is owed a message's end: whoever handed it in first, and whoever handed in the same message since, on whichever
 * port. {@link DuplicateDetector} rules on what a hand-in is; here it is carried out and written to the journal. Loop thread.
 */
final class DeduplicationTable {
    /** Whoever comes later is asked to come again: a message's record is bounded. */
    static final int MAX_ATTACHED = 8;

    /** A front that is to tell the end, under the id that it knows the message by. */
    record Submitter(Front front, String id) {}

    private final Journal journal;
    private final Counters counters;
    private final DuplicateDetector<Message, FinalStatus> detector;

    DeduplicationTable(IdempotencyWindows windows, Journal journal, Counters counters) {
        this.journal = journal;
        this.counters = counters;
        detector = new DuplicateDetector<>(windows, new CompletedMessageStore<>() {
            @Override
            public CompletedMessage<FinalStatus> find(String identity) {
                return journal.remembered(identity);
            }

            @Override
            public int size() {
                return journal.rememberedCount();
            }

            @Override
            public void put(String identity, CompletedMessage<FinalStatus> completedMessage) {
                journal.remember(identity, completedMessage);
            }

            @Override
            public void removeSoonestExpiring() {
                journal.forgetSoonestExpiring();
            }
        });
        while (journal.rememberedCount() > windows.maxEntries()) {
            journal.forgetSoonestExpiring(); // an earlier life had room for more
        }
        counters.entryGauge("identities", detector::pendingCount);
        counters.valueGauge("identities_forgotten_early", detector::forgottenEarly);
    }

    /** What the hand-in is. */
    DuplicateCheckResult<Message, FinalStatus> check(Message message, long wallMicros) {
        return message.submission.identity() == null
                ? new DuplicateCheckResult.NewMessage<>()
                : detector.check(message.submission.identity(), message.fingerprint(), wallMicros);
    }

    /** The message is held from now on. */
    void addPending(Message message) {
        if (message.submission.identity() != null) {
            detector.addPending(message.submission.identity(), message.fingerprint(), message);
        }
    }

    /** The message is held no more. */
    void removePending(Message message) {
        if (message.submission.identity() != null) {
            detector.removePending(message.submission.identity(), message);
        }
    }

    /** The message was delivered or has failed: whoever hands it in again gets this end. */
    void recordCompleted(Message message, FinalStatus finalStatus, long wallMicros) {
        if (message.submission.identity() != null
                && (finalStatus.kind() == Kind.DELIVERED || finalStatus.kind() == Kind.FAILED)) {
            detector.addCompleted(
                    message.submission.identity(),
                    message.fingerprint(),
                    message.submission.messageClass(),
                    finalStatus,
                    wallMicros);
        }
    }

    /** The end that an earlier life remembered of a message that it did not get to end, or null. */
    FinalStatus finalStatusOfEarlierRun(Message message) {
        return check(message, Long.MIN_VALUE)
                        instanceof DuplicateCheckResult.CompletedDuplicate<Message, FinalStatus> completed
                ? completed.result()
                : null;
    }

    /**
     * A front has handed in a message that is held, under an id of its own; false where no more can be owed the end.
     * One that is not in the journal yet has its claims written behind it ({@link #recordAttached}).
     */
    boolean attach(Message message, Front front, String id) {
        Submitter submitter = new Submitter(front, id);
        if (message.submitters.contains(submitter)
                || front.notifiesOnce() && message.submitters.stream().anyMatch(other -> other.front() == front)) {
            return true;
        }
        if (message.submitters.size() > MAX_ATTACHED
                || message.isJournaled && !journal.recordAttached(message.id(), front.name(), id)) {
            return false;
        }
        counters.add(Name.JOINED);
        message.submitters.add(submitter);
        return true;
    }

    /**
     * The message has just been written: so are those who joined it in the turn of its hand-in; gives who could not.
     */
    List<Submitter> recordAttached(Message message) {
        List<Submitter> rejected = new ArrayList<>();
        for (Submitter submitter : message.submitters) {
            boolean isFirst =
                    submitter.front() == message.front && submitter.id().equals(message.id());
            if (!isFirst
                    && !journal.recordAttached(message.id(), submitter.front().name(), submitter.id())) {
                rejected.add(submitter);
            }
        }
        message.submitters.removeAll(rejected);
        return rejected;
    }
}
