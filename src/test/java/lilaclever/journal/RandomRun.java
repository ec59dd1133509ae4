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
final class RandomRun {
    private static final long BUDGET_MICROS = 1000;

    /** What the model says after some step, and how many operations the disk had seen by then. */
    record Checkpoint(int operations, String state) {}

    final List<Checkpoint> checkpoints = new ArrayList<>();
    private final SimDisk disk;
    /** Gives a number below the bound. */
    private final IntUnaryOperator random;

    private final TreeMap<String, PendingMessage> pending = new TreeMap<>();
    private final TreeMap<String, CompletedMessage<FinalStatus>> remembered = new TreeMap<>();
    private SegmentedJournal journal;
    private int nextNumber;
    long nowMicros;
    int rejectedMessages, rejectedAttempts;

    RandomRun(SimDisk disk, long seed) {
        this(disk, new SplittableRandom(seed)::nextInt);
    }

    RandomRun(SimDisk disk, IntUnaryOperator random) {
        this.disk = disk;
        this.random = random;
    }

    static SegmentedJournal open(SimDisk disk, long most, Durability durability) throws IOException {
        return new SegmentedJournal(disk, most, durability, clocks(() -> 0), new SplittableRandom(7));
    }

    static JournalClocks clocks(LongSupplier micros) {
        return new JournalClocks(micros, micros, BootClock.UNKNOWN);
    }

    void useJournal(SegmentedJournal opened) {
        journal = opened;
        addCheckpoint();
    }

    /** So many steps, bodies up to so many bytes; about so many messages are held. */
    void run(int steps, int largest, int hold) {
        for (int i = 0; i < steps; i++) {
            step(largest, hold);
            addCheckpoint();
        }
    }

    /** The same without a note of each step's state. */
    void runWithoutCheckpoints(int steps, int largest, int hold) {
        for (int i = 0; i < steps; i++) {
            step(largest, hold);
        }
    }

    private void addCheckpoint() {
        checkpoints.add(new Checkpoint(disk.operations.size(), describe(pending, remembered)));
    }

    private void step(int largest, int hold) {
        nowMicros++;
        String one = pending.isEmpty() ? null : (String) pending.keySet().toArray()[random.applyAsInt(pending.size())];
        if (one == null || random.applyAsInt(100) < (pending.size() < hold ? 50 : 15)) {
            accept(largest);
        } else {
            change(one, pending.get(one));
        }
        if (random.applyAsInt(3) == 0) {
            journal.maintain(nowMicros);
            remembered.values().removeIf(r -> r.untilWallMicros() <= nowMicros);
        }
    }

    private void accept(int largest) {
        byte[] body = new byte[random.applyAsInt(20) == 0 ? largest : random.applyAsInt(80)];
        new java.util.Random(nextNumber).nextBytes(body);
        Submission h = new Submission(
                "m" + nextNumber,
                nextNumber % 3 == 0 ? "identity-" + nextNumber : null,
                nextNumber % 3,
                7,
                nextNumber % 2 == 0 ? "key\u00e9" : null,
                body,
                false,
                true,
                BUDGET_MICROS);
        if (journal.recordAccepted("http", h, nextNumber + BUDGET_MICROS, nowMicros)) {
            pending.put(h.id(), new PendingMessage("http", h, nextNumber + BUDGET_MICROS));
        } else {
            rejectedMessages++;
        }
        nextNumber++;
    }

    private void change(String id, PendingMessage o) {
        switch (random.applyAsInt(4)) {
            case 0 -> {
                if (!o.isInFlight() && o.finalStatus() == null) {
                    if (journal.recordAttempt(id, "host-" + nextNumber % 5, 2, nowMicros)) {
                        o.attemptStarted("host-" + nextNumber % 5, 2, nowMicros);
                    } else {
                        rejectedAttempts++;
                    }
                }
            }
            case 1 -> {
                if (!o.isInFlight()) {
                    PendingMessage.Submitter claim = new PendingMessage.Submitter("other", "claim-" + nowMicros);
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
                            random.applyAsInt(2) == 0 ? null : new Fingerprint(nowMicros, nextNumber),
                            nowMicros + 20 + random.applyAsInt(40)); // windows differ
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
                    pending.remove(id);
                }
            }
        }
    }

    /** What the model holds, by id. */
    Map<String, PendingMessage> pendingMessages() {
        return pending;
    }

    /** What the model says now, without ends that may be forgotten at any time. */
    String describeModel() {
        return describe(pending, Map.of());
    }

    static String describe(SegmentedJournal j, long now) {
        TreeMap<String, PendingMessage> owed = new TreeMap<>();
        j.pendingMessages().forEach(o -> owed.put(o.submission().id(), o));
        TreeMap<String, CompletedMessage<FinalStatus>> kept = new TreeMap<>();
        for (int i = 0; i < 10_000; i += 3) {
            CompletedMessage<FinalStatus> r = j.remembered("identity-" + i);
            if (r != null) {
                kept.put("identity-" + i, r);
            }
        }
        return describe(owed, kept);
    }

    static String describe(Map<String, PendingMessage> owed, Map<String, CompletedMessage<FinalStatus>> remembered) {
        StringBuilder all = new StringBuilder();
        owed.values().forEach(o -> all.append(describe(o)).append('\n'));
        return all.append(remembered).toString();
    }

    static String describe(PendingMessage o) {
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
