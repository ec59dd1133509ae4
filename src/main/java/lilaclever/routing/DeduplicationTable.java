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
 * Keeps track of who is notified of a message's final status: the first submitter and those who submitted the same
 * message later, on any front. {@link DuplicateDetector} detects duplicates; this class applies the result and records
 * it in the journal. Event loop.
 */
final class DeduplicationTable {
    /**
     * Submitters attached to a message beside the first; further ones are asked to retry later, which bounds the size
     * of its record.
     */
    static final int MAX_ATTACHED = 8;

    /** A front to be notified of the final status, and the id under which it submitted the message. */
    record Submitter(Front front, String id) {}

    private final Journal journal;
    private final Counters counters;
    private final IdempotencyWindows windows;
    private final DuplicateDetector<Message, FinalStatus> detector;

    DeduplicationTable(IdempotencyWindows windows, Journal journal, Counters counters) {
        this.journal = journal;
        this.counters = counters;
        this.windows = windows;
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
                journal.removeSoonestExpiring();
            }
        });
        while (journal.rememberedCount() > windows.maxEntries()) {
            journal.removeSoonestExpiring(); // an earlier run had a higher limit
        }
        counters.entryGauge("identities", detector::pendingCount);
        counters.valueGauge("identities_forgotten_early", detector::removedEarly);
    }

    /** Checks whether the submission is a new message or a duplicate. */
    DuplicateCheckResult<Message, FinalStatus> check(Message message, long wallMicros) {
        return message.submission.identity() == null
                ? new DuplicateCheckResult.NewMessage<>()
                : detector.check(message.submission.identity(), message.fingerprint(), wallMicros);
    }

    /** Adds a message that is pending from now on. */
    void addPending(Message message) {
        if (message.submission.identity() != null) {
            detector.addPending(message.submission.identity(), message.fingerprint(), message);
        }
    }

    /** Removes a message that is no longer pending. */
    void removePending(Message message) {
        if (message.submission.identity() != null) {
            detector.removePending(message.submission.identity(), message);
        }
    }

    /** Remembers the result of a message that was delivered or has failed, for later duplicates. */
    void recordCompleted(Message message, FinalStatus finalStatus, long wallMicros) {
        if (message.submission.identity() != null
                && (finalStatus.kind() == Kind.DELIVERED || finalStatus.kind() == Kind.FAILED)) {
            ClassVersion messageClass = message.submission.messageClass();
            long windowMicros = windows.windowMicros(
                    message.submission.identity(), messageClass.name(), messageClass.isUnsafeToRepeat());
            detector.addCompleted(
                    message.submission.identity(), message.fingerprint(), windowMicros, finalStatus, wallMicros);
        }
    }

    /** The result that an earlier run remembered for a message without recording its final status, or null. */
    FinalStatus finalStatusOfEarlierRun(Message message) {
        return check(message, Long.MIN_VALUE)
                        instanceof DuplicateCheckResult.CompletedDuplicate<Message, FinalStatus> completed
                ? completed.finalStatus()
                : null;
    }

    /**
     * Attaches a submitter of a duplicate to the pending message; false if no more can be attached. If the message is
     * not in the journal yet, its submitters are recorded after it ({@link #recordAttached}).
     */
    boolean attach(Message message, Front front, String id) {
        Submitter submitter = new Submitter(front, id);
        if (message.submitters.contains(submitter)
                || front.notifiesOnce() && message.submitters.stream().anyMatch(other -> other.front() == front)) {
            return true;
        }
        if (message.submitters.size() > MAX_ATTACHED
                || message.isJournaled
                        && !isFirst(message, submitter)
                        && !journal.recordAttached(message.id(), front.name(), id)) {
            return false;
        }
        counters.add(Name.JOINED);
        message.submitters.add(submitter);
        return true;
    }

    /** Whether the message's own record names the submitter. */
    private static boolean isFirst(Message message, Submitter submitter) {
        return submitter.front() == message.front && submitter.id().equals(message.id());
    }

    /**
     * Records the submitters that were attached in the same turn, once the message itself is recorded; removes and
     * returns those that could not be recorded.
     */
    List<Submitter> recordAttached(Message message) {
        List<Submitter> rejected = new ArrayList<>();
        for (Submitter submitter : message.submitters) {
            if (!isFirst(message, submitter)
                    && !journal.recordAttached(message.id(), submitter.front().name(), submitter.id())) {
                rejected.add(submitter);
            }
        }
        message.submitters.removeAll(rejected);
        return rejected;
    }
}
