package lilaclever.journal;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.IntUnaryOperator;
import java.util.function.LongSupplier;
import lilaclever.identity.CompletedMessage;
import lilaclever.identity.Fingerprint;
import lilaclever.routing.FinalStatus;
import lilaclever.routing.PendingMessage;
import lilaclever.routing.Submission;

/** A random run of a journal, compared with a simple model of its state. */
final class Script {
    private static final long BUDGET = 1000;

    /** The model's state after a step, and the number of disk operations by then. */
    record Mark(int ops, String state) {}

    final List<Mark> marks = new ArrayList<>();
    private final SimDisk disk;
    /** Returns a number from 0 up to, but not including, its argument. */
    private final IntUnaryOperator random;

    private final TreeMap<String, PendingMessage> owed = new TreeMap<>();
    private final TreeMap<String, CompletedMessage<FinalStatus>> remembered = new TreeMap<>();
    private SegmentedJournal journal;
    private int next;
    long now;
    int refused, attemptsRefused;

    Script(SimDisk disk, long seed) {
        this(disk, new SplittableRandom(seed)::nextInt);
    }

    Script(SimDisk disk, IntUnaryOperator random) {
        this.disk = disk;
        this.random = random;
    }

    static SegmentedJournal open(SimDisk disk, long most, Durability durability) throws IOException {
        return new SegmentedJournal(disk, most, durability, times(() -> 0), new SplittableRandom(7));
    }

    static JournalClocks times(LongSupplier micros) {
        return new JournalClocks(micros, micros, BootClock.UNKNOWN);
    }

    void use(SegmentedJournal opened) {
        journal = opened;
        mark();
    }

    /**
     * Runs {@code steps} steps with bodies of up to {@code largest} bytes; about {@code hold} messages are kept
     * pending.
     */
    void run(int steps, int largest, int hold) {
        for (int i = 0; i < steps; i++) {
            step(largest, hold);
            mark();
        }
    }

    /** Like {@link #run}, but does not record the state of each step. */
    void runOn(int steps, int largest, int hold) {
        for (int i = 0; i < steps; i++) {
            step(largest, hold);
        }
    }

    private void mark() {
        marks.add(new Mark(disk.ops.size(), text(owed, remembered)));
    }

    private void step(int largest, int hold) {
        now++;
        String one = owed.isEmpty() ? null : (String) owed.keySet().toArray()[random.applyAsInt(owed.size())];
        if (one == null || random.applyAsInt(100) < (owed.size() < hold ? 50 : 15)) {
            take(largest);
        } else {
            change(one, owed.get(one));
        }
        if (random.applyAsInt(3) == 0) {
            journal.tidy(now);
            remembered.values().removeIf(r -> r.untilWall() <= now);
        }
    }

    private void take(int largest) {
        byte[] body = new byte[random.applyAsInt(20) == 0 ? largest : random.applyAsInt(80)];
        new java.util.Random(next).nextBytes(body);
        Submission h = new Submission(
                "m" + next,
                next % 3 == 0 ? "identity-" + next : null,
                next % 3,
                7,
                next % 2 == 0 ? "key\u00e9" : null,
                body,
                false,
                true,
                BUDGET);
        if (journal.taken("http", h, next + BUDGET, now)) {
            owed.put(h.id(), new PendingMessage("http", h, next + BUDGET));
        } else {
            refused++;
        }
        next++;
    }

    private void change(String id, PendingMessage o) {
        switch (random.applyAsInt(4)) {
            case 0 -> {
                if (!o.isOut() && o.verdict() == null) {
                    if (journal.attempt(id, "host-" + next % 5, 2, now)) {
                        o.attempt("host-" + next % 5, 2, now);
                    } else {
                        attemptsRefused++;
                    }
                }
            }
            case 1 -> {
                if (!o.isOut()) {
                    PendingMessage.Claim claim = new PendingMessage.Claim("other", "claim-" + now);
                    if (o.joined().size() < 3 && journal.joined(id, claim.front(), claim.id())) {
                        o.join(claim);
                    }
                } else {
                    boolean neverRan = random.applyAsInt(2) == 0;
                    journal.outcome(id, neverRan);
                    o.outcome(neverRan);
                }
            }
            case 2 -> {
                FinalStatus v = new FinalStatus(FinalStatus.Kind.REFUSED, 5, "busy");
                if (o.submission().identity() != null && random.applyAsInt(2) == 0) {
                    CompletedMessage<FinalStatus> past = new CompletedMessage<>(
                            v,
                            random.applyAsInt(2) == 0 ? null : new Fingerprint(now, next),
                            now + 20 + random.applyAsInt(40)); // windows differ
                    journal.remember(o.submission().identity(), past);
                    remembered.put(o.submission().identity(), past);
                } else {
                    journal.verdict(id, v);
                    o.verdict(v);
                }
            }
            default -> {
                if (o.deadlineWall() % 5 > 0) { // the others stay pending and must be copied forward again and again
                    journal.ended(id);
                    owed.remove(id);
                }
            }
        }
    }

    /** The pending messages of the model, by id. */
    Map<String, PendingMessage> messages() {
        return owed;
    }

    /** The state of the model, without remembered results, which may expire at any time. */
    String model() {
        return text(owed, Map.of());
    }

    static String text(SegmentedJournal j, long now) {
        TreeMap<String, PendingMessage> owed = new TreeMap<>();
        j.owed().forEach(o -> owed.put(o.submission().id(), o));
        TreeMap<String, CompletedMessage<FinalStatus>> kept = new TreeMap<>();
        for (int i = 0; i < 10_000; i += 3) {
            CompletedMessage<FinalStatus> r = j.remembered("identity-" + i);
            if (r != null) {
                kept.put("identity-" + i, r);
            }
        }
        return text(owed, kept);
    }

    static String text(Map<String, PendingMessage> owed, Map<String, CompletedMessage<FinalStatus>> remembered) {
        StringBuilder all = new StringBuilder();
        owed.values().forEach(o -> all.append(text(o)).append('\n'));
        return all.append(remembered).toString();
    }

    static String text(PendingMessage o) {
        Submission h = o.submission();
        return String.join(
                " ",
                o.front(),
                h.id(),
                h.identity(),
                h.key(),
                h.messageClass() + "/" + h.destination(),
                "" + java.util.Arrays.hashCode(h.body()),
                "" + h.budgetMicros(),
                "" + o.deadlineWall(),
                o.attempts() + (o.isOut() ? " out" : "") + (o.attempts() > 0 ? " " + o.host() + o.sentWall() : ""),
                o.mayHaveRun() ? "risk " + o.riskHost() + o.riskZone() + "@" + o.riskWall() : "",
                String.valueOf(o.verdict()),
                o.joined().toString());
    }
}
