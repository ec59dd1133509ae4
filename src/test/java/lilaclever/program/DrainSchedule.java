package lilaclever.program;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.Collectors;
import lilaclever.program.DrainAgent.AgentBehaviour;
import lilaclever.program.DrainAuditor.Violation;
import lilaclever.program.DrainChange.Status;

/**
 * A random schedule of list changes, discovery faults, late connections, reloads and restarts against a forwarder under
 * load. The same seed gives the same schedule. One endpoint of each group stays active throughout.
 */
final class DrainSchedule {
    private static final int[] GROUPS = {7, 8};
    private static final int ENDPOINTS_PER_GROUP = 4;
    private static final long FIRST_INDEX = 1_000;
    private static final int MIN_STEP_INTERVAL_MILLIS = 50, MAX_STEP_INTERVAL_MILLIS = 400;
    private static final long RUN_MILLIS = 4_000;
    /**
     * Any change counts as notified 6 s after discovery had it and could be reached; then follow its grace and some
     * calls.
     */
    private static final long SETTLE_MILLIS = 7_000;

    private static final long AGENT_LAG_MILLIS = 1_000;
    /** The start of a JVM takes this long on half a core, before the program's own first step. */
    private static final long JVM_START_MILLIS = 1_000;

    private static final long FIRST_CALL_TIMEOUT_MILLIS = 3_000;

    /** The fault of discovery in a schedule, besides the events of every schedule. */
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

    /** The result of a schedule; {@code unserved} endpoints were active and got no calls at the end. */
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

        /** One line for the schedule, and one for each change after which calls came too late. */
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
                            .append(all.get(all.size() - 1).lateNanos() / DrainAuditor.NANOS_PER_MILLI)
                            .append(" ms"));
            return text.toString();
        }
    }

    private interface Step {
        void run() throws Exception;
    }

    private final Fault fault;
    private final long seed;
    private final SplittableRandom random;
    private final DrainTestBed testBed;
    private final List<String> log = new ArrayList<>();
    private final List<Integer> changingEndpoints = new ArrayList<>();
    private final List<Integer> stayingEndpoints = new ArrayList<>();
    private DrainAgent firstAgent;
    private DrainAgent secondAgent;

    DrainSchedule(Fault fault, long seed, Path state) {
        this.fault = fault;
        this.seed = seed;
        this.random = new SplittableRandom(seed);
        this.testBed = new DrainTestBed(state, random.nextInt(3) == 0 ? 20 : 1);
    }

    Result run() throws Exception {
        try (testBed) {
            startForwarder();
            long end = System.nanoTime() + RUN_MILLIS * DrainAuditor.NANOS_PER_MILLI;
            startFault(fault);
            while (System.nanoTime() < end) {
                pause();
                nextStep().run();
            }
            endFault(fault);
            settle();
            return new Result(
                    fault,
                    seed,
                    testBed.auditor.callCount(),
                    testBed.auditor.violations(),
                    testBed.auditor.misdirected(),
                    unservedEndpoints());
        }
    }

    /** The steps taken, for the analysis of a failure. */
    List<String> log() {
        return log;
    }

    private void startForwarder() throws Exception {
        for (int group : GROUPS) {
            stayingEndpoints.add(testBed.add(group));
            for (int i = 1; i < ENDPOINTS_PER_GROUP; i++) {
                changingEndpoints.add(testBed.add(group));
            }
        }
        firstAgent = testBed.agent(FIRST_INDEX);
        secondAgent = testBed.agent(random.nextInt(2) == 0 ? 1 : 2 * FIRST_INDEX);
        if (fault == Fault.SLOW || fault == Fault.VERY_SLOW) { // slow from the start
            firstAgent.setBehaviour(AgentBehaviour.SLOW, fault == Fault.SLOW ? 400 : 1_000);
        }
        long knownIndex = fault == Fault.KNOWN_OF_HIGHER_INDEX ? 9 * FIRST_INDEX : firstAgent.index();
        String knownList = testBed.listAfter(knownIndex, testBed.version());
        testBed.start(firstAgent, fault == Fault.KNOWN_OF_HIGHER_INDEX || random.nextBoolean() ? knownList : "null");
        testBed.startClients();
        for (int each : stayingEndpoints) {
            testBed.awaitCall(each, 0, FIRST_CALL_TIMEOUT_MILLIS);
        }
    }

    private void pause() throws InterruptedException {
        Thread.sleep(random.nextInt(MIN_STEP_INTERVAL_MILLIS, MAX_STEP_INTERVAL_MILLIS)); // random time between steps
    }

    private void logStep(String what) {
        log.add(what + " (list " + testBed.version() + ")");
    }

    // Events of every schedule
    private Step nextStep() {
        return switch (random.nextInt(8)) {
            case 0, 1 -> this::drain;
            case 2 -> this::remove;
            case 3 -> this::relist;
            case 4, 5 -> this::drainWithLateConnections;
            case 6 -> this::closeIdleConnections;
            default -> this::changeEndpointBehaviour;
        };
    }

    private int randomEndpoint() {
        return changingEndpoints.get(random.nextInt(changingEndpoints.size()));
    }

    private void drain() {
        int endpoint = randomEndpoint();
        logStep("drain e" + endpoint);
        if (testBed.current(endpoint).isActive()) {
            testBed.setStatus(endpoint, Status.LEAVING);
        }
    }

    private void remove() {
        int endpoint = randomEndpoint();
        logStep("remove e" + endpoint);
        if (testBed.current(endpoint).status() != Status.LEFT) {
            testBed.setStatus(endpoint, Status.LEFT);
        }
    }

    private void relist() {
        int endpoint = randomEndpoint();
        logStep("relist e" + endpoint);
        if (!testBed.current(endpoint).isActive()) {
            testBed.setStatus(endpoint, Status.ACTIVE);
        }
    }

    private void drainWithLateConnections() throws Exception {
        DrainEndpoint endpoint = testBed.endpoint(randomEndpoint());
        logStep("late connections at " + endpoint.address());
        endpoint.stopAccepting();
        endpoint.closeConnections();
        pause();
        int number = changingEndpoints.stream()
                .filter(x -> testBed.endpoint(x) == endpoint)
                .findFirst()
                .orElseThrow();
        if (testBed.current(number).isActive()) {
            testBed.setStatus(number, random.nextBoolean() ? Status.LEAVING : Status.LEFT);
        }
        endpoint.resumeAccepting();
    }

    private void closeIdleConnections() {
        int endpoint = randomEndpoint();
        logStep("close connections of e" + endpoint);
        testBed.endpoint(endpoint).closeConnections();
    }

    private void changeEndpointBehaviour() {
        int endpoint = randomEndpoint();
        DrainEndpoint.EndpointBehaviour[] all = DrainEndpoint.EndpointBehaviour.values();
        DrainEndpoint.EndpointBehaviour behaviour = all[random.nextInt(all.length)];
        logStep("e" + endpoint + " " + behaviour);
        testBed.endpoint(endpoint).setBehaviour(behaviour, random.nextInt(5, 120));
    }

    // The fault of discovery
    private void startFault(Fault which) throws Exception {
        logStep(which.name());
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
                    WHOLE_LISTS -> firstAgent.setBehaviour(AgentBehaviour.valueOf(which.name()));
            case SILENT_WATCH -> firstAgent.silenceWatches();
            case RESTARTED_LOWER -> firstAgent.restart(random.nextInt(100));
            case RELOAD_TO_ONE_BEHIND -> secondAgent.fallBehind();
            case OTHER_GROUP -> moveToOtherGroup();
            default -> {}
        }
    }

    /** Lists one endpoint of each group for the other group, under the same name and address. */
    private void moveToOtherGroup() {
        for (int endpoint : List.of(changingEndpoints.get(0), changingEndpoints.get(changingEndpoints.size() - 1))) {
            DrainChange now = testBed.current(endpoint);
            testBed.relist(endpoint, now.address(), now.group() == GROUPS[0] ? GROUPS[1] : GROUPS[0]);
        }
    }

    /** Ends the fault of discovery; reloads and restarts happen now, when the list has changed. */
    private void endFault(Fault which) throws Exception {
        logStep("end of " + which);
        switch (which) {
            case SILENT, REFUSING, RESETTING, TRICKLING, STALLING, CUT, BUSY ->
                firstAgent.setBehaviour(AgentBehaviour.AT_ONCE);
            case RELOAD_TO_ONE_BEHIND -> {
                testBed.reload(secondAgent);
                Thread.sleep(AGENT_LAG_MILLIS); // changes that the new agent does not have yet count all the same
                secondAgent.catchUp();
            }
            case RELOADS -> {
                for (int i = random.nextInt(3, 8); i > 0; i--) {
                    drain();
                    testBed.reload(testBed.watchedAgent() == firstAgent ? secondAgent : firstAgent);
                    Thread.sleep(random.nextInt(100)); // reloads follow at any interval
                }
            }
            case RESTART -> restart();
            case RESTART_WHILE_SLOW -> {
                firstAgent.setBehaviour(AgentBehaviour.SLOW, 1_000);
                restart();
            }
            case RESTART_WHILE_SILENT -> {
                firstAgent.setBehaviour(AgentBehaviour.SILENT);
                restart();
                pause();
                firstAgent.setBehaviour(AgentBehaviour.AT_ONCE);
            }
            default -> {}
        }
    }

    /** Restarts the forwarder with a configuration that still contains the list from before the first start. */
    private void restart() throws Exception {
        int outdatedVersion = GROUPS.length * ENDPOINTS_PER_GROUP;
        String knownList = testBed.listAfter(FIRST_INDEX + outdatedVersion, outdatedVersion);
        testBed.stop();
        logStep("restart with list " + outdatedVersion);
        testBed.start(testBed.watchedAgent(), knownList, fault == Fault.RESTART ? JVM_START_MILLIS : 0);
    }

    // End of the schedule
    private void settle() throws InterruptedException {
        for (int endpoint : changingEndpoints) {
            testBed.endpoint(endpoint).setBehaviour(DrainEndpoint.EndpointBehaviour.DELIVERS, 80);
        }
        Thread.sleep(SETTLE_MILLIS); // until all changes count as notified and late calls would have arrived
    }

    private List<String> unservedEndpoints() throws InterruptedException {
        List<String> unserved = new ArrayList<>();
        for (int each : stayingEndpoints) {
            if (!testBed.awaitCall(each, System.nanoTime(), FIRST_CALL_TIMEOUT_MILLIS)) {
                unserved.add(testBed.current(each).name());
            }
        }
        return unserved;
    }
}
