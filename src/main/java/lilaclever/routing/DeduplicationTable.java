package lilaclever.routing;

import java.util.ArrayList;
import java.util.List;
import lilaclever.identity.CompletedMessage;
import lilaclever.identity.DuplicateCheck;
import lilaclever.identity.IdempotencyWindows;
import lilaclever.identity.Identities;
import lilaclever.identity.Memory;
import lilaclever.routing.Counters.Name;
import lilaclever.routing.FinalStatus.Kind;

/**
 * Keeps track of who is notified of a message's final status: the first submitter and those who submitted the same
 * message later, on any front. {@link Identities} detects duplicates; this class applies the result and records it in
 * the journal. Event loop.
 */
final class DeduplicationTable {
    /** Submitters attached to a message beside the first; further ones are told to retry, to bound its record. */
    static final int MOST_JOINED = 8;

    /** A front to be notified of the final status, and the id under which it submitted the message. */
    record Claim(Front front, String id) {}

    private final Journal journal;
    private final Counters counters;
    private final Identities<Message, FinalStatus> identities;

    DeduplicationTable(IdempotencyWindows windows, Journal journal, Counters counters) {
        this.journal = journal;
        this.counters = counters;
        identities = new Identities<>(windows, new Memory<>() {
            @Override
            public CompletedMessage<FinalStatus> past(String identity) {
                return journal.remembered(identity);
            }

            @Override
            public int size() {
                return journal.rememberedCount();
            }

            @Override
            public void keep(String identity, CompletedMessage<FinalStatus> past) {
                journal.remember(identity, past);
            }

            @Override
            public void forgetSoonest() {
                journal.forgetSoonest();
            }
        });
        while (journal.rememberedCount() > windows.most()) {
            journal.forgetSoonest(); // an earlier run had a higher limit
        }
        counters.gauge("identities", identities::size);
        counters.figure("identities_forgotten_early", identities::forgottenEarly);
    }

    /** Checks whether the submission is a new message or a duplicate. */
    DuplicateCheck<Message, FinalStatus> rule(Message m, long wall) {
        return m.submission.identity() == null
                ? new DuplicateCheck.Fresh<>()
                : identities.rule(m.submission.identity(), m.content(), wall);
    }

    /** Adds a message that is pending from now on. */
    void hold(Message m) {
        if (m.submission.identity() != null) {
            identities.hold(m.submission.identity(), m.content(), m);
        }
    }

    /** Removes a message that is no longer pending. */
    void release(Message m) {
        if (m.submission.identity() != null) {
            identities.release(m.submission.identity(), m);
        }
    }

    /** Remembers the result of a message that was delivered or has failed, for later duplicates. */
    void ended(Message m, FinalStatus verdict, long wall) {
        if (m.submission.identity() != null && (verdict.kind() == Kind.DELIVERED || verdict.kind() == Kind.FAILED)) {
            identities.ended(m.submission.identity(), m.content(), m.submission.messageClass(), verdict, wall);
        }
    }

    /** The result that an earlier run remembered for a message without recording its end, or null. */
    FinalStatus earlierEnd(Message m) {
        return rule(m, Long.MIN_VALUE) instanceof DuplicateCheck.Again<Message, FinalStatus> again ? again.end() : null;
    }

    /**
     * Attaches a submitter of a duplicate to the pending message; false if no more can be attached. If the message is
     * not in the journal yet, its submitters are recorded after it ({@link #written}).
     */
    boolean join(Message m, Front front, String id) {
        Claim claim = new Claim(front, id);
        if (m.claims.contains(claim) || front.asksAgain() && m.claims.stream().anyMatch(c -> c.front() == front)) {
            return true;
        }
        if (m.claims.size() > MOST_JOINED || m.journaled && !journal.joined(m.id(), front.name(), id)) {
            return false;
        }
        counters.add(Name.JOINED);
        m.claims.add(claim);
        return true;
    }

    /**
     * Records the submitters that were attached in the same turn, once the message itself is recorded; removes and
     * returns those that could not be recorded.
     */
    List<Claim> written(Message m) {
        List<Claim> refused = new ArrayList<>();
        for (Claim claim : m.claims) {
            boolean first = claim.front() == m.front && claim.id().equals(m.id());
            if (!first && !journal.joined(m.id(), claim.front().name(), claim.id())) {
                refused.add(claim);
            }
        }
        m.claims.removeAll(refused);
        return refused;
    }
}
