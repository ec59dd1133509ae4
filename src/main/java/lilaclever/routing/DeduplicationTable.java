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
 * Keeps track of who is notified of a message's final status: the first submitter and those who submitted the same
 * message later, on any front. {@link DuplicateDetector} detects duplicates; this class applies the result and records it in
 * the journal. Event loop.
 */
final class DeduplicationTable {
    /** Submitters attached to a message beside the first; further ones are told to retry, to bound its record. */
    static final int MOST_JOINED = 8;

    /** A front to be notified of the final status, and the id under which it submitted the message. */
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
            journal.forgetSoonestExpiring(); // an earlier run had a higher limit
        }
        counters.entryGauge("identities", identities::pendingCount);
        counters.valueGauge("identities_forgotten_early", identities::forgottenEarly);
    }

    /** Checks whether the submission is a new message or a duplicate. */
    DuplicateCheckResult<Message, FinalStatus> rule(Message m, long wall) {
        return m.submission.identity() == null
                ? new DuplicateCheckResult.NewMessage<>()
                : identities.check(m.submission.identity(), m.fingerprint(), wall);
    }

    /** Adds a message that is pending from now on. */
    void hold(Message m) {
        if (m.submission.identity() != null) {
            identities.addPending(m.submission.identity(), m.fingerprint(), m);
        }
    }

    /** Removes a message that is no longer pending. */
    void release(Message m) {
        if (m.submission.identity() != null) {
            identities.removePending(m.submission.identity(), m);
        }
    }

    /** Remembers the result of a message that was delivered or has failed, for later duplicates. */
    void ended(Message m, FinalStatus verdict, long wall) {
        if (m.submission.identity() != null && (verdict.kind() == Kind.DELIVERED || verdict.kind() == Kind.FAILED)) {
            identities.addCompleted(m.submission.identity(), m.fingerprint(), m.submission.messageClass(), verdict, wall);
        }
    }

    /** The result that an earlier run remembered for a message without recording its end, or null. */
    FinalStatus earlierEnd(Message m) {
        return rule(m, Long.MIN_VALUE) instanceof DuplicateCheckResult.CompletedDuplicate<Message, FinalStatus> again ? again.result() : null;
    }

    /**
     * Attaches a submitter of a duplicate to the pending message; false if no more can be attached. If the message is
     * not in the journal yet, its submitters are recorded after it ({@link #written}).
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
     * Records the submitters that were attached in the same turn, once the message itself is recorded; removes and
     * returns those that could not be recorded.
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
