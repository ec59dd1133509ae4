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
 * Who is owed a message's end: whoever handed it in first, and whoever handed in the same message since, on whichever
 * port. {@link Identities} rules on what a hand-in is; here it is carried out and written to the journal. Loop thread.
 */
final class DeduplicationTable {
    /** Whoever comes later is asked to come again: a message's record is bounded. */
    static final int MOST_JOINED = 8;

    /** A front that is to tell the end, under the id that it knows the message by. */
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
                journal.forgetSoonestExpiring();
            }
        });
        while (journal.rememberedCount() > windows.most()) {
            journal.forgetSoonestExpiring(); // an earlier life had room for more
        }
        counters.entryGauge("identities", identities::size);
        counters.valueGauge("identities_forgotten_early", identities::forgottenEarly);
    }

    /** What the hand-in is. */
    DuplicateCheck<Message, FinalStatus> rule(Message m, long wall) {
        return m.submission.identity() == null
                ? new DuplicateCheck.Fresh<>()
                : identities.rule(m.submission.identity(), m.content(), wall);
    }

    /** The message is held from now on. */
    void hold(Message m) {
        if (m.submission.identity() != null) {
            identities.hold(m.submission.identity(), m.content(), m);
        }
    }

    /** The message is held no more. */
    void release(Message m) {
        if (m.submission.identity() != null) {
            identities.release(m.submission.identity(), m);
        }
    }

    /** The message was delivered or has failed: whoever hands it in again gets this end. */
    void ended(Message m, FinalStatus verdict, long wall) {
        if (m.submission.identity() != null && (verdict.kind() == Kind.DELIVERED || verdict.kind() == Kind.FAILED)) {
            identities.ended(m.submission.identity(), m.content(), m.submission.messageClass(), verdict, wall);
        }
    }

    /** The end that an earlier life remembered of a message that it did not get to end, or null. */
    FinalStatus earlierEnd(Message m) {
        return rule(m, Long.MIN_VALUE) instanceof DuplicateCheck.Again<Message, FinalStatus> again ? again.end() : null;
    }

    /**
     * A front has handed in a message that is held, under an id of its own; false where no more can be owed the end.
     * One that is not in the journal yet has its claims written behind it ({@link #written}).
     */
    boolean join(Message m, Front front, String id) {
        Claim claim = new Claim(front, id);
        if (m.claims.contains(claim) || front.notifiesOnce() && m.claims.stream().anyMatch(c -> c.front() == front)) {
            return true;
        }
        if (m.claims.size() > MOST_JOINED || m.journaled && !journal.recordAttached(m.id(), front.name(), id)) {
            return false;
        }
        counters.add(Name.JOINED);
        m.claims.add(claim);
        return true;
    }

    /**
     * The message has just been written: so are those who joined it in the turn of its hand-in; gives who could not.
     */
    List<Claim> written(Message m) {
        List<Claim> refused = new ArrayList<>();
        for (Claim claim : m.claims) {
            boolean first = claim.front() == m.front && claim.id().equals(m.id());
            if (!first && !journal.recordAttached(m.id(), claim.front().name(), claim.id())) {
                refused.add(claim);
            }
        }
        m.claims.removeAll(refused);
        return refused;
    }
}
