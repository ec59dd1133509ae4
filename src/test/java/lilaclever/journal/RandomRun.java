package lilaclever.journal;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.IntUnaryOperator;
import java.util.function.LongSupplier;
import lilaclever.DecisionModule.KeyScope;
import lilaclever.DecisionModule.MessageClass;
import lilaclever.DecisionModule.RepeatSafety;
import lilaclever.identity.CompletedMessage;
import lilaclever.identity.Fingerprint;
import lilaclever.routing.ClassVersion;
import lilaclever.routing.FinalStatus;
import lilaclever.routing.PendingMessage;
import lilaclever.routing.Submission;

/** A random run of a journal, compared with a simple model of its state. */
final class RandomRun {
    private static final long BUDGET_MICROS = 1000;

    /** The model's state after a step, and the number of disk operations by then. */
    record Checkpoint(int operations, String state) {}

    final List<Checkpoint> checkpoints = new ArrayList<>();
    private final SimDisk disk;
    /** Returns a number from 0 up to, but not including, its argument. */
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

    static SegmentedJournal open(SimDisk disk, long quotaBytes, Durability durability) throws IOException {
        return new SegmentedJournal(disk, quotaBytes, durability, clocks(() -> 0), new SplittableRandom(7));
    }

    static JournalClocks clocks(LongSupplier micros) {
        return new JournalClocks(micros, micros, BootClock.UNKNOWN);
    }

    void useJournal(SegmentedJournal opened) {
        journal = opened;
        addCheckpoint();
    }

    /**
     * Runs {@code steps} steps with bodies of up to {@code maxBodyBytes} bytes; about {@code targetPending} messages
     * are kept pending.
     */
    void run(int steps, int maxBodyBytes, int targetPending) {
        for (int i = 0; i < steps; i++) {
            step(maxBodyBytes, targetPending);
            addCheckpoint();
        }
    }

    /** Like {@link #run}, but does not record the state of each step. */
    void runWithoutCheckpoints(int steps, int maxBodyBytes, int targetPending) {
        for (int i = 0; i < steps; i++) {
            step(maxBodyBytes, targetPending);
        }
    }

    private void addCheckpoint() {
        checkpoints.add(new Checkpoint(disk.operations.size(), describe(pending, remembered)));
    }

    private void step(int maxBodyBytes, int targetPending) {
        nowMicros++;
        String id = pending.isEmpty() ? null : (String) pending.keySet().toArray()[random.applyAsInt(pending.size())];
        if (id == null || random.applyAsInt(100) < (pending.size() < targetPending ? 50 : 15)) {
            accept(maxBodyBytes);
        } else {
            change(id, pending.get(id));
        }
        if (random.applyAsInt(3) == 0) {
            journal.maintain(nowMicros);
            remembered.values().removeIf(r -> r.untilWallMicros() <= nowMicros);
        }
    }

    /** A class as records hold it; of class 0 only the number is known, as in earlier formats. */
    private static ClassVersion messageClass(int number) {
        if (number == 0) {
            return ClassVersion.ofNumber(number);
        }
        RepeatSafety repeat = number == 1 ? RepeatSafety.SAFE : RepeatSafety.UNSAFE;
        return new ClassVersion(
                ClassVersion.UNRESOLVED,
                "class-\u00e9" + number,
                new MessageClass(number, 20, 0.5, repeat, KeyScope.ZONE, 3, true, 0.25, true));
    }

    private void accept(int maxBodyBytes) {
        byte[] body = new byte[random.applyAsInt(20) == 0 ? maxBodyBytes : random.applyAsInt(80)];
        new java.util.Random(nextNumber).nextBytes(body);
        Submission submission = new Submission(
                "m" + nextNumber,
                nextNumber % 3 == 0 ? "identity-" + nextNumber : null,
                messageClass(nextNumber % 3),
                7,
                nextNumber % 2 == 0 ? "key\u00e9" : null,
                body,
                false,
                true,
                BUDGET_MICROS);
        if (journal.recordAccepted("http", submission, nextNumber + BUDGET_MICROS, nowMicros)) {
            pending.put(submission.id(), new PendingMessage("http", submission, nextNumber + BUDGET_MICROS));
        } else {
            rejectedMessages++;
        }
        nextNumber++;
    }

    private void change(String id, PendingMessage message) {
        switch (random.applyAsInt(4)) {
            case 0 -> {
                if (!message.isInFlight() && message.finalStatus() == null) {
                    if (journal.recordAttempt(id, "host-" + nextNumber % 5, 2, nowMicros)) {
                        message.attemptStarted("host-" + nextNumber % 5, "2", nowMicros);
                    } else {
                        rejectedAttempts++;
                    }
                }
            }
            case 1 -> {
                if (!message.isInFlight()) {
                    PendingMessage.Submitter submitter = new PendingMessage.Submitter("other", "claim-" + nowMicros);
                    if (message.attachedSubmitters().size() < 3
                            && journal.recordAttached(id, submitter.front(), submitter.id())) {
                        message.attach(submitter);
                    }
                } else {
                    boolean neverRan = random.applyAsInt(2) == 0;
                    journal.recordOutcome(id, neverRan);
                    message.attemptEnded(neverRan);
                }
            }
            case 2 -> {
                FinalStatus status = new FinalStatus(FinalStatus.Kind.REFUSED, 5, "busy");
                if (message.submission().identity() != null && random.applyAsInt(2) == 0) {
                    CompletedMessage<FinalStatus> result = new CompletedMessage<>(
                            status,
                            random.applyAsInt(2) == 0 ? null : new Fingerprint(nowMicros, nextNumber),
                            nowMicros + 20 + random.applyAsInt(40)); // windows differ
                    journal.remember(message.submission().identity(), result);
                    remembered.put(message.submission().identity(), result);
                } else {
                    journal.recordFinalStatus(id, status);
                    message.setFinalStatus(status);
                }
            }
            default -> {
                // The others stay pending and must be copied forward again and again.
                if (message.deadlineWallMicros() % 5 > 0) {
                    journal.recordSettled(id);
                    pending.remove(id);
                }
            }
        }
    }

    /** The pending messages of the model, by id. */
    Map<String, PendingMessage> pendingMessages() {
        return pending;
    }

    /** The state of the model, without remembered results, which may expire at any time. */
    String describeModel() {
        return describe(pending, Map.of());
    }

    static String describe(SegmentedJournal journal, long now) {
        TreeMap<String, PendingMessage> pending = new TreeMap<>();
        journal.pendingMessages()
                .forEach(message -> pending.put(message.submission().id(), message));
        TreeMap<String, CompletedMessage<FinalStatus>> rememberedResults = new TreeMap<>();
        for (int i = 0; i < 10_000; i += 3) {
            CompletedMessage<FinalStatus> result = journal.remembered("identity-" + i);
            if (result != null) {
                rememberedResults.put("identity-" + i, result);
            }
        }
        return describe(pending, rememberedResults);
    }

    static String describe(Map<String, PendingMessage> pending, Map<String, CompletedMessage<FinalStatus>> remembered) {
        StringBuilder description = new StringBuilder();
        pending.values()
                .forEach(message -> description.append(describe(message)).append('\n'));
        return description.append(remembered).toString();
    }

    static String describe(PendingMessage message) {
        Submission submission = message.submission();
        return String.join(
                " ",
                message.front(),
                submission.id(),
                submission.identity(),
                submission.key(),
                submission.messageClass() + "/" + submission.destination(),
                "" + java.util.Arrays.hashCode(submission.body()),
                "" + submission.budgetMicros(),
                "" + message.deadlineWallMicros(),
                message.attempts()
                        + (message.isInFlight() ? " in flight" : "")
                        + (message.attempts() > 0 ? " " + message.lastHost() + message.lastAttemptWallMicros() : ""),
                message.mayHaveRun()
                        ? "may have run at " + message.uncertainHost() + message.uncertainZone() + "@"
                                + message.uncertainSentWallMicros()
                        : "",
                String.valueOf(message.finalStatus()),
                message.attachedSubmitters().toString());
    }
}
