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

/** A random run of a journal beside a plain model of what it must know. */
final class Script {
    private static final long BUDGET = 1000;

    /** What the model says after some step, and how many operations the disk had seen by then. */
    record Mark(int ops, String state) {}

    final List<Mark> marks = new ArrayList<>();
    private final SimDisk disk;
    /** Gives a number below the bound. */
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

    /** So many steps, bodies up to so many bytes; about so many messages are held. */
    void run(int steps, int largest, int hold) {
        for (int i = 0; i < steps; i++) {
            step(largest, hold);
            mark();
        }
    }

    /** The same without a note of each step's state. */
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
            journal.maintain(now);
            remembered.values().removeIf(r -> r.untilWallMicros() <= now);
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
        if (journal.recordAccepted("http", h, next + BUDGET, now)) {
            owed.put(h.id(), new PendingMessage("http", h, next + BUDGET));
        } else {
            refused++;
        }
        next++;
    }

    private void change(String id, PendingMessage o) {
        switch (random.applyAsInt(4)) {
            case 0 -> {
                if (!o.isInFlight() && o.finalStatus() == null) {
                    if (journal.recordAttempt(id, "host-" + next % 5, 2, now)) {
                        o.attemptStarted("host-" + next % 5, 2, now);
                    } else {
                        attemptsRefused++;
                    }
                }
            }
            case 1 -> {
                if (!o.isInFlight()) {
                    PendingMessage.Submitter claim = new PendingMessage.Submitter("other", "claim-" + now);
                    if (o.attachedSubmitters().size() < 3 && journal.recordAttached(id, claim.front(), claim.id())) {
                        o.attach(claim);
                    }
                } else {
                    boolean neverRan = random.applyAsInt(2) == 0;
                    journal.recordOutcome(id, neverRan);
                    o.attemptEnded(neverRan);
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
                    journal.recordFinalStatus(id, v);
                    o.setFinalStatus(v);
                }
            }
            default -> {
                if (o.deadlineWallMicros() % 5 > 0) { // the others stay, and must be copied forward again and again
                    journal.recordSettled(id);
                    owed.remove(id);
                }
            }
        }
    }

    /** What the model holds, by id. */
    Map<String, PendingMessage> messages() {
        return owed;
    }

    /** What the model says now, without ends that may be forgotten at any time. */
    String model() {
        return text(owed, Map.of());
    }

    static String text(SegmentedJournal j, long now) {
        TreeMap<String, PendingMessage> owed = new TreeMap<>();
        j.pendingMessages().forEach(o -> owed.put(o.submission().id(), o));
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
                "" + o.deadlineWallMicros(),
                o.attempts()
                        + (o.isInFlight() ? " out" : "")
                        + (o.attempts() > 0 ? " " + o.lastHost() + o.lastAttemptWallMicros() : ""),
                o.mayHaveRun()
                        ? "risk " + o.possibleRunHost() + o.possibleRunZone() + "@" + o.possibleRunWallMicros()
                        : "",
                String.valueOf(o.finalStatus()),
                o.attachedSubmitters().toString());
    }
}
