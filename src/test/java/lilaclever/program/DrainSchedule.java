package lilaclever.program;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.Collectors;
import lilaclever.program.DrainAgent.Manner;
import lilaclever.program.DrainAuditor.Violation;
import lilaclever.program.DrainChange.Status;

/**
 * A random schedule of list changes, faults of discovery, late connections, reloads and restarts against a forwarder
 * under load. The same seed draws the same schedule. Of each group one endpoint is active all the time.
 */
final class DrainSchedule {
    private static final int[] GROUPS = {7, 8};
    private static final int ENDPOINTS_PER_GROUP = 4;
    private static final long FIRST_INDEX = 1_000;
    private static final int LEAST_PAUSE_MS = 50, MOST_PAUSE_MS = 400;
    private static final long PLAY_MS = 4_000;
    /** Any change counts as told 6 s after discovery had it and could be reached; then its grace, and some calls. */
    private static final long SETTLE_MS = 7_000;

    private static final long BEHIND_MS = 1_000;
    /** What the start of a process takes on half a core, before the program's own first step. */
    private static final long VIRTUAL_MACHINE_MS = 1_000;

    private static final long SERVED_WITHIN_MS = 3_000;

    /** What goes wrong with discovery in a schedule, besides all that goes wrong in every one. */
    enum Fault {
        NONE,
        SLOW,
        VERY_SLOW,
        SILENT,
        REFUSING,
        RESETTING,
        TRICKLING,
        STALLING,
        CLOSING,
        CUT,
        BUSY,
        SILENT_WATCH,
        RESTARTED_LOWER,
        TWICE,
        CONTRADICTING,
        UNREADABLE_ENTRY,
        UNKNOWN_STATUS,
        INDENTED,
        WHOLE_LISTS,
        KNOWN_OF_HIGHER_INDEX,
        OTHER_GROUP,
        RELOAD_TO_ONE_BEHIND,
        RELOADS,
        RESTART,
        RESTART_WHILE_SLOW,
        RESTART_WHILE_SILENT
    }

    /** What came of a schedule; {@code unserved} endpoints were active and got no calls at the end. */
    record Result(
            Fault fault,
            long seed,
            int calls,
            List<Violation> violations,
            List<String> misdirected,
            List<String> unserved) {
        boolean isClean() {
            return violations.isEmpty() && misdirected.isEmpty() && unserved.isEmpty();
        }

        /** A line for the schedule, and one for each change after which calls came too late. */
        @Override
        public String toString() {
            StringBuilder text = new StringBuilder(fault + " seed " + seed + ": " + calls + " calls, "
                    + violations.size() + " too late, " + misdirected.size() + " misdirected, unserved " + unserved);
            violations.stream()
                    .collect(Collectors.groupingBy(Violation::change, LinkedHashMap::new, Collectors.toList()))
                    .forEach((change, all) -> text.append("\n    ")
                            .append(all.size())
                            .append(" after ")
                            .append(change)
                            .append(", the last one by ")
                            .append(all.get(all.size() - 1).lateNanos() / DrainAuditor.MS)
                            .append(" ms"));
            return text.toString();
        }
    }

    private interface Step {
        void play() throws Exception;
    }

    private final Fault fault;
    private final long seed;
    private final SplittableRandom random;
    private final DrainTrial trial;
    private final List<String> log = new ArrayList<>();
    private final List<Integer> changing = new ArrayList<>();
    private final List<Integer> staying = new ArrayList<>();
    private DrainAgent first;
    private DrainAgent second;

    DrainSchedule(Fault fault, long seed, Path state) {
        this.fault = fault;
        this.seed = seed;
        this.random = new SplittableRandom(seed);
        this.trial = new DrainTrial(state, random.nextInt(3) == 0 ? 20 : 1);
    }

    Result play() throws Exception {
        try (trial) {
            begin();
            long end = System.nanoTime() + PLAY_MS * DrainAuditor.MS;
            begin(fault);
            while (System.nanoTime() < end) {
                pause();
                next().play();
            }
            end(fault);
            settle();
            return new Result(
                    fault,
                    seed,
                    trial.auditor.calls(),
                    trial.auditor.violations(),
                    trial.auditor.misdirected(),
                    unserved());
        }
    }

    /** What was played, for a look at a failure. */
    List<String> log() {
        return log;
    }

    private void begin() throws Exception {
        for (int group : GROUPS) {
            staying.add(trial.add(group));
            for (int i = 1; i < ENDPOINTS_PER_GROUP; i++) {
                changing.add(trial.add(group));
            }
        }
        first = trial.agent(FIRST_INDEX);
        second = trial.agent(random.nextInt(2) == 0 ? 1 : 2 * FIRST_INDEX);
        if (fault == Fault.SLOW || fault == Fault.VERY_SLOW) { // from the start on
            first.answers(Manner.SLOW, fault == Fault.SLOW ? 400 : 1_000);
        }
        long knownIndex = fault == Fault.KNOWN_OF_HIGHER_INDEX ? 9 * FIRST_INDEX : first.index();
        String known = trial.listOf(knownIndex, trial.version());
        trial.start(first, fault == Fault.KNOWN_OF_HIGHER_INDEX || random.nextBoolean() ? known : "null");
        trial.load();
        for (int each : staying) {
            trial.gets(each, 0, SERVED_WITHIN_MS);
        }
    }

    private void pause() throws InterruptedException {
        Thread.sleep(random.nextInt(LEAST_PAUSE_MS, MOST_PAUSE_MS)); // the schedule's own time
    }

    private void note(String what) {
        log.add(what + " (list " + trial.version() + ")");
    }

    // ---- what goes wrong in every schedule -----------------------------------------------------------------
    private Step next() {
        return switch (random.nextInt(8)) {
            case 0, 1 -> this::drain;
            case 2 -> this::remove;
            case 3 -> this::bringBack;
            case 4, 5 -> this::drainWithLateConnections;
            case 6 -> this::closeIdleConnections;
            default -> this::changeManner;
        };
    }

    private int any() {
        return changing.get(random.nextInt(changing.size()));
    }

    private void drain() {
        int endpoint = any();
        note("drain e" + endpoint);
        if (trial.now(endpoint).isActive()) {
            trial.set(endpoint, Status.LEAVING);
        }
    }

    private void remove() {
        int endpoint = any();
        note("remove e" + endpoint);
        if (trial.now(endpoint).status() != Status.LEFT) {
            trial.set(endpoint, Status.LEFT);
        }
    }

    private void bringBack() {
        int endpoint = any();
        note("bring back e" + endpoint);
        if (!trial.now(endpoint).isActive()) {
            trial.set(endpoint, Status.ACTIVE);
        }
    }

    private void drainWithLateConnections() throws Exception {
        DrainEndpoint endpoint = trial.endpoint(any());
        note("late connections at " + endpoint.address());
        endpoint.stopAccepting();
        endpoint.closeConnections();
        pause();
        int number = changing.stream()
                .filter(x -> trial.endpoint(x) == endpoint)
                .findFirst()
                .orElseThrow();
        if (trial.now(number).isActive()) {
            trial.set(number, random.nextBoolean() ? Status.LEAVING : Status.LEFT);
        }
        endpoint.acceptAgain();
    }

    private void closeIdleConnections() {
        int endpoint = any();
        note("close connections of e" + endpoint);
        trial.endpoint(endpoint).closeConnections();
    }

    private void changeManner() {
        int endpoint = any();
        DrainEndpoint.Manner[] all = DrainEndpoint.Manner.values();
        DrainEndpoint.Manner manner = all[random.nextInt(all.length)];
        note("e" + endpoint + " " + manner);
        trial.endpoint(endpoint).answers(manner, random.nextInt(5, 120));
    }

    // ---- the one fault of discovery -------------------------------------------------------------------------
    private void begin(Fault which) throws Exception {
        note(which.name());
        switch (which) {
            case SILENT,
                    REFUSING,
                    RESETTING,
                    TRICKLING,
                    STALLING,
                    CLOSING,
                    CUT,
                    BUSY,
                    TWICE,
                    CONTRADICTING,
                    UNREADABLE_ENTRY,
                    UNKNOWN_STATUS,
                    INDENTED,
                    WHOLE_LISTS -> first.answers(Manner.valueOf(which.name()));
            case SILENT_WATCH -> first.silenceWatches();
            case RESTARTED_LOWER -> first.restart(random.nextInt(100));
            case RELOAD_TO_ONE_BEHIND -> second.fallBehind();
            case OTHER_GROUP -> moveToOtherGroup();
            default -> {}
        }
    }

    /** One endpoint of each group is listed for the other one, under the same name and address. */
    private void moveToOtherGroup() {
        for (int endpoint : List.of(changing.get(0), changing.get(changing.size() - 1))) {
            DrainChange now = trial.now(endpoint);
            trial.relist(endpoint, now.address(), now.group() == GROUPS[0] ? GROUPS[1] : GROUPS[0]);
        }
    }

    /** Discovery is well again; reloads and restarts come now, when the list has changed. */
    private void end(Fault which) throws Exception {
        note("end of " + which);
        switch (which) {
            case SILENT, REFUSING, RESETTING, TRICKLING, STALLING, CUT, BUSY -> first.answers(Manner.AT_ONCE);
            case RELOAD_TO_ONE_BEHIND -> {
                trial.reload(second);
                Thread.sleep(BEHIND_MS); // what the new agent does not know yet counts all the same
                second.catchUp();
            }
            case RELOADS -> {
                for (int i = random.nextInt(3, 8); i > 0; i--) {
                    drain();
                    trial.reload(trial.watched() == first ? second : first);
                    Thread.sleep(random.nextInt(100)); // reloads come at any distance
                }
            }
            case RESTART -> restart();
            case RESTART_WHILE_SLOW -> {
                first.answers(Manner.SLOW, 1_000);
                restart();
            }
            case RESTART_WHILE_SILENT -> {
                first.answers(Manner.SILENT);
                restart();
                pause();
                first.answers(Manner.AT_ONCE);
            }
            default -> {}
        }
    }

    /** The configuration still names the list from before the first start. */
    private void restart() throws Exception {
        int outdated = GROUPS.length * ENDPOINTS_PER_GROUP;
        String known = trial.listOf(FIRST_INDEX + outdated, outdated);
        trial.stop();
        note("restart with list " + outdated);
        trial.start(trial.watched(), known, fault == Fault.RESTART ? VIRTUAL_MACHINE_MS : 0);
    }

    // ---- the end ------------------------------------------------------------------------------------------
    private void settle() throws InterruptedException {
        for (int endpoint : changing) {
            trial.endpoint(endpoint).answers(DrainEndpoint.Manner.DELIVERS, 80);
        }
        Thread.sleep(SETTLE_MS); // until all counts as told, and calls that would be too late have come
    }

    private List<String> unserved() throws InterruptedException {
        List<String> unserved = new ArrayList<>();
        for (int each : staying) {
            if (!trial.gets(each, System.nanoTime(), SERVED_WITHIN_MS)) {
                unserved.add(trial.now(each).name());
            }
        }
        return unserved;
    }
}
