package lilaclever.routing;

import java.util.ArrayList;
import java.util.List;
import lilaclever.identity.CompletedMessage;
import lilaclever.identity.DuplicateCheckResult;
import lilaclever.identity.IdempotencyWindows;
import lilaclever.identity.DuplicateDetector;
import lilaclever.identity.CompletedMessageStore;
import lilaclever.routing.Counters.Name;
import lilaclever.routing.FinalStatus.Kind;

/**
 * Who is owed a message's end: whoever handed it in first, and whoever handed in the same message since, on whichever
 * port. {@link DuplicateDetector} rules on what a hand-in is; here it is carried out and written to the journal. Loop thread.
 */
final class DeduplicationTable {
    /** Whoever comes later is asked to come again: a message's record is bounded. */
    static final int MOST_JOINED = 8;

    /** A front that is to tell the end, under the id that it knows the message by. */
    record Submitter(Front front, String id) {}

    private final Journal journal;
    private final Counters counters;
    private final DuplicateDetector<Message, FinalStatus> identities;

    DeduplicationTable(IdempotencyWindows windows, Journal journal, Counters counters) {
        this.journal = journal;
        this.counters = counters;
        identities = new DuplicateDetector<>(windows, new CompletedMessageStore<>() {
            @Override
            public CompletedMessage<FinalStatus> find(String identity) {
                return journal.remembered(identity);
            }

            @Override
            public int size() {
                return journal.rememberedCount();
            }

            @Override
            public void put(String identity, CompletedMessage<FinalStatus> past) {
                journal.remember(identity, past);
            }

            @Override
            public void removeSoonestExpiring() {
                journal.forgetSoonestExpiring();
            }
        });
        while (journal.rememberedCount() > windows.maxEntries()) {
            journal.forgetSoonestExpiring(); // an earlier life had room for more
        }
        counters.entryGauge("identities", identities::pendingCount);
        counters.valueGauge("identities_forgotten_early", identities::forgottenEarly);
    }

    /** What the hand-in is. */
    DuplicateCheckResult<Message, FinalStatus> rule(Message m, long wall) {
        return m.submission.identity() == null
                ? new DuplicateCheckResult.NewMessage<>()
                : identities.check(m.submission.identity(), m.fingerprint(), wall);
    }

    /** The message is held from now on. */
    void hold(Message m) {
        if (m.submission.identity() != null) {
            identities.addPending(m.submission.identity(), m.fingerprint(), m);
        }
    }

    /** The message is held no more. */
    void release(Message m) {
        if (m.submission.identity() != null) {
            identities.removePending(m.submission.identity(), m);
        }
    }

    /** The message was delivered or has failed: whoever hands it in again gets this end. */
    void ended(Message m, FinalStatus verdict, long wall) {
        if (m.submission.identity() != null && (verdict.kind() == Kind.DELIVERED || verdict.kind() == Kind.FAILED)) {
            identities.addCompleted(m.submission.identity(), m.fingerprint(), m.submission.messageClass(), verdict, wall);
        }
    }

    /** The end that an earlier life remembered of a message that it did not get to end, or null. */
    FinalStatus earlierEnd(Message m) {
        return rule(m, Long.MIN_VALUE) instanceof DuplicateCheckResult.CompletedDuplicate<Message, FinalStatus> again ? again.result() : null;
    }

    /**
     * A front has handed in a message that is held, under an id of its own; false where no more can be owed the end.
     * One that is not in the journal yet has its claims written behind it ({@link #written}).
     */
    boolean join(Message m, Front front, String id) {
        Submitter claim = new Submitter(front, id);
        if (m.submitters.contains(claim) || front.notifiesOnce() && m.submitters.stream().anyMatch(c -> c.front() == front)) {
            return true;
        }
        if (m.submitters.size() > MOST_JOINED || m.isJournaled && !journal.recordAttached(m.id(), front.name(), id)) {
            return false;
        }
        counters.add(Name.JOINED);
        m.submitters.add(claim);
        return true;
    }

    /**
     * The message has just been written: so are those who joined it in the turn of its hand-in; gives who could not.
     */
    List<Submitter> written(Message m) {
        List<Submitter> refused = new ArrayList<>();
        for (Submitter claim : m.submitters) {
            boolean first = claim.front() == m.front && claim.id().equals(m.id());
            if (!first && !journal.recordAttached(m.id(), claim.front().name(), claim.id())) {
                refused.add(claim);
            }
        }
        m.submitters.removeAll(refused);
        return refused;
    }
}
