package lilaclever.program;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.LongSummaryStatistics;
import java.util.Map;
import lilaclever.log.Logs;
import lilaclever.program.DrainAgent.AgentBehaviour;
import lilaclever.program.DrainAuditor.Violation;
import lilaclever.program.DrainChange.Status;

/**
 * Runs one fault scenario at a time against a forwarder under load, and prints what the auditor finds:
 * {@code DrainFaultRun [PART OF A NAME...]}; {@code -Ddrain.debug=true} also logs the events of each message. Not part
 * of the test suite, since each scenario takes up to 20 s. Two endpoints of one group are active at first; the second
 * one is drained.
 */
final class DrainFaultRun {
    private static final int GROUP = 7, OTHER_GROUP = 8;
    private static final int STAYING_ENDPOINT = 0, DRAINED_ENDPOINT = 1;
    private static final long AGENT_INDEX = 100, HIGHER_INDEX = 900, LOWER_INDEX = 1;
    private static final int CHANGE_COUNT = 200;
    /** Longer than the time after which any change counts as notified, plus its grace. */
    private static final long SETTLE_MILLIS = 8_000;

    private static final long WARM_UP_MILLIS = 300, OUTAGE_MILLIS = 3_000;

    private DrainFaultRun() {}

    /** A scenario that starts its own forwarder. */
    private interface FaultScenario {
        void run(DrainTestBed testBed) throws Exception;
    }

    /** A scenario that begins once a forwarder under load has been watching an agent for a while. */
    private interface LoadedScenario {
        void run(DrainTestBed testBed, DrainAgent agent) throws Exception;
    }

    private static FaultScenario underLoad(LoadedScenario loadedScenario) {
        return testBed -> {
            DrainAgent agent = testBed.agent(AGENT_INDEX);
            testBed.start(agent, "null");
            testBed.startClients();
            pause(WARM_UP_MILLIS);
            loadedScenario.run(testBed, agent);
        };
    }

    private static void pause(long millis) throws InterruptedException {
        Thread.sleep(millis); // clients submit meanwhile
    }

    private static String knownList(DrainTestBed testBed, long index) {
        return testBed.listAfter(index, testBed.version());
    }

    private static String knownList(DrainTestBed testBed) {
        return knownList(testBed, AGENT_INDEX + testBed.version());
    }

    /** Publishes the unchanged entry of the staying endpoint many times, so that the index grows. */
    private static void publishManyChanges(DrainTestBed testBed) {
        for (int i = 0; i < CHANGE_COUNT; i++) {
            testBed.setStatus(STAYING_ENDPOINT, Status.ACTIVE);
        }
    }

    // Discovery
    /** Drains the endpoint once the agent has behaved like this for the given time. */
    private static FaultScenario drainAfter(AgentBehaviour behaviour, int delayMs, long millis) {
        return underLoad((testBed, agent) -> {
            agent.setBehaviour(behaviour, delayMs);
            pause(millis);
            testBed.setStatus(DRAINED_ENDPOINT, Status.LEAVING);
            pause(SETTLE_MILLIS);
        });
    }

    /** Drains the endpoint while the agent behaves like this for some seconds. */
    private static FaultScenario drainDuring(AgentBehaviour behaviour) {
        return underLoad((testBed, agent) -> {
            agent.setBehaviour(behaviour);
            pause(WARM_UP_MILLIS);
            testBed.setStatus(DRAINED_ENDPOINT, Status.LEAVING);
            pause(OUTAGE_MILLIS);
            agent.setBehaviour(AgentBehaviour.AT_ONCE);
            pause(SETTLE_MILLIS);
        });
    }

    private static void addDiscovery(Map<String, FaultScenario> all) {
        all.put("plain drain", drainAfter(AgentBehaviour.AT_ONCE, 0, 0));
        for (int delay : List.of(250, 400, 1_000)) {
            all.put("slow discovery, " + delay + " ms, drain at once", drainAfter(AgentBehaviour.SLOW, delay, 0));
            all.put("slow discovery, " + delay + " ms, drain later", drainAfter(AgentBehaviour.SLOW, delay, 5_000));
        }
        for (AgentBehaviour behaviour : List.of(
                AgentBehaviour.SILENT,
                AgentBehaviour.REFUSING,
                AgentBehaviour.RESETTING,
                AgentBehaviour.CUT,
                AgentBehaviour.STALLING,
                AgentBehaviour.TRICKLING,
                AgentBehaviour.BUSY)) {
            all.put("discovery " + behaviour + " for 3 s", drainDuring(behaviour));
        }
        for (AgentBehaviour behaviour : List.of(
                AgentBehaviour.CLOSING,
                AgentBehaviour.WHOLE_LISTS,
                AgentBehaviour.INDENTED,
                AgentBehaviour.TWICE,
                AgentBehaviour.CONTRADICTING,
                AgentBehaviour.UNREADABLE_ENTRY,
                AgentBehaviour.UNKNOWN_STATUS)) {
            all.put("discovery " + behaviour, drainAfter(behaviour, 0, WARM_UP_MILLIS));
        }
        all.put("watch falls silent", underLoad((testBed, agent) -> {
            agent.silenceWatches();
            pause(100);
            testBed.setStatus(DRAINED_ENDPOINT, Status.LEAVING);
            pause(SETTLE_MILLIS);
        }));
        all.put("oversize whole list in answer to a watch", underLoad((testBed, agent) -> {
            agent.setBehaviour(AgentBehaviour.OVERSIZE_WHOLE);
            agent.restart(3 * AGENT_INDEX);
            testBed.setStatus(DRAINED_ENDPOINT, Status.LEAVING);
            pause(SETTLE_MILLIS);
        }));
        all.put("discovery restarted with a lower index", underLoad((testBed, agent) -> {
            agent.restart(LOWER_INDEX);
            pause(WARM_UP_MILLIS);
            testBed.setStatus(DRAINED_ENDPOINT, Status.LEAVING);
            pause(SETTLE_MILLIS);
        }));
        all.put("discovery restarted, and has passed the old index", underLoad((testBed, agent) -> {
            agent.setBehaviour(AgentBehaviour.REFUSING);
            agent.restart(LOWER_INDEX);
            testBed.setStatus(DRAINED_ENDPOINT, Status.LEFT);
            publishManyChanges(testBed);
            agent.setBehaviour(AgentBehaviour.AT_ONCE);
            pause(SETTLE_MILLIS);
        }));
        all.put("discovery restarted, refusing meanwhile", underLoad((testBed, agent) -> {
            agent.setBehaviour(AgentBehaviour.REFUSING);
            pause(500);
            testBed.setStatus(DRAINED_ENDPOINT, Status.LEAVING);
            agent.restart(LOWER_INDEX);
            agent.setBehaviour(AgentBehaviour.AT_ONCE);
            pause(SETTLE_MILLIS);
        }));
    }

    // SIGHUP
    private static void addReloads(Map<String, FaultScenario> all) {
        all.put("SIGHUP to an agent that is behind", underLoad((testBed, agent) -> {
            DrainAgent behind = testBed.agentBehind(HIGHER_INDEX, testBed.version());
            testBed.setStatus(DRAINED_ENDPOINT, Status.LEAVING);
            pause(1_000);
            testBed.reload(behind);
            pause(OUTAGE_MILLIS);
            behind.catchUp();
            pause(1_500);
        }));
        all.put("SIGHUP to an agent that counts lower", underLoad((testBed, agent) -> {
            testBed.reload(testBed.agent(LOWER_INDEX));
            pause(1_000);
            testBed.setStatus(DRAINED_ENDPOINT, Status.LEAVING);
            pause(SETTLE_MILLIS);
        }));
        all.put("SIGHUP to an agent that is silent, drain before", underLoad((testBed, agent) -> {
            DrainAgent other = testBed.agent(HIGHER_INDEX);
            other.setBehaviour(AgentBehaviour.SILENT);
            testBed.setStatus(DRAINED_ENDPOINT, Status.LEAVING);
            pause(100);
            testBed.reload(other);
            pause(OUTAGE_MILLIS);
        }));
        all.put("SIGHUP to an agent that answers 0.4 s late", underLoad((testBed, agent) -> {
            DrainAgent other = testBed.agent(HIGHER_INDEX);
            other.setBehaviour(AgentBehaviour.SLOW, 400);
            testBed.reload(other);
            pause(200);
            testBed.setStatus(DRAINED_ENDPOINT, Status.LEAVING);
            pause(SETTLE_MILLIS);
        }));
        all.put("SIGHUP several, back and forth, drain between", underLoad((testBed, agent) -> {
            DrainAgent other = testBed.agent(LOWER_INDEX);
            for (int i = 0; i < 6; i++) {
                testBed.reload(i % 2 == 0 ? other : agent);
                pause(i * 40L);
                if (i == 2) {
                    testBed.setStatus(DRAINED_ENDPOINT, Status.LEAVING);
                }
            }
            pause(SETTLE_MILLIS);
        }));
    }

    // Starts
    /** Starts with a list from before the endpoint was removed, while the agent behaves like this. */
    private static FaultScenario startWithOutdatedList(AgentBehaviour behaviour, int delayMs) {
        return testBed -> {
            String knownList = knownList(testBed);
            DrainAgent agent = testBed.agent(AGENT_INDEX);
            testBed.setStatus(DRAINED_ENDPOINT, Status.LEFT);
            agent.setBehaviour(behaviour, delayMs);
            testBed.start(agent, knownList);
            testBed.startClients();
            pause(behaviour == AgentBehaviour.SILENT ? OUTAGE_MILLIS : SETTLE_MILLIS);
            agent.setBehaviour(AgentBehaviour.AT_ONCE);
            pause(2_000);
        };
    }

    /** Drains the endpoint in one process run; the next run finds untried messages and an outdated list. */
    private static FaultScenario killAndStart(AgentBehaviour behaviour, String options) {
        return testBed -> {
            DrainAgent agent = testBed.agent(AGENT_INDEX);
            String knownList = knownList(testBed);
            testBed.setClasses("payment");
            testBed.startProcess(agent, knownList, "-Xshare:auto");
            testBed.endpoint(STAYING_ENDPOINT).setBehaviour(DrainEndpoint.EndpointBehaviour.DELIVERS, 4_000);
            testBed.endpoint(DRAINED_ENDPOINT).setBehaviour(DrainEndpoint.EndpointBehaviour.DELIVERS, 4_000);
            testBed.startClients();
            pause(1_000);
            testBed.setStatus(DRAINED_ENDPOINT, Status.LEAVING);
            pause(600);
            testBed.kill();
            agent.setBehaviour(behaviour);
            long from = System.nanoTime();
            testBed.startProcess(agent, knownList, options);
            System.out.println("    serves after " + (System.nanoTime() - from) / DrainAuditor.NANOS_PER_MILLI + " ms");
            pause(2_000);
            testBed.auditor
                    .firstCallsSince(from)
                    .forEach((target, at) -> System.out.println("    " + target + " first called after "
                            + (at - from) / DrainAuditor.NANOS_PER_MILLI + " ms"));
            agent.setBehaviour(AgentBehaviour.AT_ONCE);
        };
    }

    private static void addStarts(Map<String, FaultScenario> all) {
        all.put("known list out of date, agent answers", startWithOutdatedList(AgentBehaviour.AT_ONCE, 0));
        all.put("known list out of date, agent 0.4 s late", startWithOutdatedList(AgentBehaviour.SLOW, 400));
        all.put("known list out of date, agent 1 s late", startWithOutdatedList(AgentBehaviour.SLOW, 1_000));
        all.put("known list out of date, agent silent for 3 s", startWithOutdatedList(AgentBehaviour.SILENT, 0));
        all.put("known list of a higher index", testBed -> {
            DrainAgent agent = testBed.agent(LOWER_INDEX);
            testBed.start(agent, knownList(testBed, HIGHER_INDEX));
            testBed.startClients();
            pause(WARM_UP_MILLIS);
            testBed.setStatus(DRAINED_ENDPOINT, Status.LEAVING);
            pause(SETTLE_MILLIS);
        });
        all.put("known list of a higher index, drained before", testBed -> {
            String knownList = knownList(testBed, HIGHER_INDEX);
            DrainAgent agent = testBed.agent(LOWER_INDEX);
            testBed.setStatus(DRAINED_ENDPOINT, Status.LEFT);
            testBed.start(agent, knownList);
            testBed.startClients();
            pause(SETTLE_MILLIS);
        });
        all.put("known list of another agent's count, which this one has passed", testBed -> {
            DrainAgent agent = testBed.agent(LOWER_INDEX);
            String knownList = knownList(testBed, LOWER_INDEX + CHANGE_COUNT / 2);
            testBed.setStatus(DRAINED_ENDPOINT, Status.LEFT);
            publishManyChanges(testBed);
            testBed.start(agent, knownList);
            testBed.startClients();
            pause(SETTLE_MILLIS);
        });
        all.put("oversize whole list at the start", testBed -> {
            DrainAgent agent = testBed.agent(AGENT_INDEX);
            agent.setBehaviour(AgentBehaviour.OVERSIZE_WHOLE);
            testBed.start(agent, knownList(testBed));
            testBed.startClients();
            pause(WARM_UP_MILLIS);
            testBed.setStatus(DRAINED_ENDPOINT, Status.LEAVING);
            pause(SETTLE_MILLIS);
        });
        all.put("drain told in an earlier life, then discovery silent", testBed -> {
            String knownList = knownList(testBed);
            DrainAgent agent = testBed.agent(AGENT_INDEX);
            testBed.start(agent, knownList);
            testBed.startClients();
            testBed.setStatus(DRAINED_ENDPOINT, Status.LEAVING);
            pause(1_500);
            testBed.stop();
            agent.setBehaviour(AgentBehaviour.SILENT);
            testBed.start(agent, knownList);
            pause(2_000);
            agent.setBehaviour(AgentBehaviour.AT_ONCE);
            pause(1_000);
        });
        all.put("drain while the process ends", underLoad((testBed, agent) -> {
            Thread stopThread = StandInThreads.start("end", testBed::stop);
            pause(200);
            testBed.setStatus(DRAINED_ENDPOINT, Status.LEAVING);
            stopThread.join();
            testBed.start(agent, knownList(testBed));
            pause(1_500);
        }));
        for (String options : List.of("-Xshare:auto", "-Xint")) {
            for (AgentBehaviour behaviour : List.of(AgentBehaviour.AT_ONCE, AgentBehaviour.SILENT)) {
                all.put(
                        "process killed, started with " + options + ", known list out of date, agent then " + behaviour,
                        killAndStart(behaviour, options));
            }
        }
    }

    // Connections and entries
    private interface MembershipStep {
        void apply(DrainTestBed testBed) throws Exception;
    }

    /**
     * No connection to the endpoint is established until the change has been made; connections pending meanwhile are
     * established afterwards.
     */
    private static FaultScenario lateConnection(MembershipStep change) {
        return testBed -> {
            DrainAgent agent = testBed.agent(AGENT_INDEX);
            testBed.add(OTHER_GROUP);
            testBed.start(agent, "null");
            testBed.setClasses("payment");
            testBed.endpoint(DRAINED_ENDPOINT).stopAccepting();
            testBed.startClients();
            pause(200);
            change.apply(testBed);
            testBed.endpoint(DRAINED_ENDPOINT).resumeAccepting();
            pause(2_500);
        };
    }

    private static void moveAddress(DrainTestBed testBed) throws Exception {
        int other = testBed.add(GROUP);
        testBed.setStatus(other, Status.LEFT);
        testBed.relist(DRAINED_ENDPOINT, testBed.endpoint(other).address(), GROUP);
    }

    private static void exchangeAddresses(DrainTestBed testBed) throws Exception {
        int other = testBed.add(OTHER_GROUP);
        pause(WARM_UP_MILLIS);
        testBed.relist(DRAINED_ENDPOINT, testBed.endpoint(other).address(), GROUP);
        testBed.relist(other, testBed.endpoint(DRAINED_ENDPOINT).address(), OTHER_GROUP);
    }

    private static FaultScenario drainWithEndpointBehaviour(DrainEndpoint.EndpointBehaviour behaviour) {
        return underLoad((testBed, agent) -> {
            testBed.endpoint(DRAINED_ENDPOINT).setBehaviour(behaviour, 5);
            pause(500);
            testBed.setStatus(DRAINED_ENDPOINT, Status.LEAVING);
            pause(OUTAGE_MILLIS);
        });
    }

    private static void addConnections(Map<String, FaultScenario> all) {
        all.put(
                "late connection, leaving",
                lateConnection(testBed -> testBed.setStatus(DRAINED_ENDPOINT, Status.LEAVING)));
        all.put("late connection, left", lateConnection(testBed -> testBed.setStatus(DRAINED_ENDPOINT, Status.LEFT)));
        all.put(
                "late connection, several in a call",
                lateConnection(testBed -> testBed.setStatus(DRAINED_ENDPOINT, Status.LEAVING)));
        all.put("late connection, drained, back and removed", lateConnection(testBed -> {
            testBed.setStatus(DRAINED_ENDPOINT, Status.LEAVING);
            testBed.setStatus(DRAINED_ENDPOINT, Status.ACTIVE);
            testBed.setStatus(DRAINED_ENDPOINT, Status.LEFT);
        }));
        all.put("late connection, its id gets another address", lateConnection(DrainFaultRun::moveAddress));
        all.put("late connection, its address becomes another's", lateConnection(testBed -> {
            testBed.setStatus(DRAINED_ENDPOINT, Status.LEFT);
            testBed.relist(2, testBed.endpoint(DRAINED_ENDPOINT).address(), OTHER_GROUP);
        }));
        all.put("late connection, second try after a stale one", underLoad((testBed, agent) -> {
            testBed.setClasses("payment");
            testBed.endpoint(DRAINED_ENDPOINT).stopAccepting();
            testBed.endpoint(DRAINED_ENDPOINT).closeConnections();
            pause(250);
            testBed.setStatus(DRAINED_ENDPOINT, Status.LEAVING);
            testBed.endpoint(DRAINED_ENDPOINT).resumeAccepting();
            pause(2_500);
        }));
        all.put("stale connections", drainWithEndpointBehaviour(DrainEndpoint.EndpointBehaviour.CLOSES_IDLE));
        all.put("endpoint turns away", drainWithEndpointBehaviour(DrainEndpoint.EndpointBehaviour.REPORTS_FULL));
        all.put("endpoint fails", drainWithEndpointBehaviour(DrainEndpoint.EndpointBehaviour.FAILS));
        all.put("an id gets another group", underLoad((testBed, agent) -> {
            testBed.add(OTHER_GROUP);
            testBed.relist(DRAINED_ENDPOINT, testBed.endpoint(DRAINED_ENDPOINT).address(), OTHER_GROUP);
            pause(OUTAGE_MILLIS);
        }));
        all.put("an id gets another address", underLoad((testBed, agent) -> {
            moveAddress(testBed);
            pause(OUTAGE_MILLIS);
        }));
        all.put("two ids exchange their addresses", underLoad((testBed, agent) -> {
            exchangeAddresses(testBed);
            pause(OUTAGE_MILLIS);
        }));
    }

    // Running and printing
    private static void run(String name, FaultScenario scenario) throws Exception {
        Path state = Files.createTempDirectory("drain");
        try (DrainTestBed testBed = new DrainTestBed(state, name.contains("several in a call") ? 20 : 1)) {
            testBed.add(GROUP);
            testBed.add(GROUP);
            scenario.run(testBed);
            List<Violation> found = testBed.auditor.violations();
            System.out.println(name + ": " + found.size() + " too late"
                    + (found.isEmpty() ? "" : " by " + lateRange(found) + " ms")
                    + ", " + testBed.auditor.misdirected().size() + " misdirected, of "
                    + testBed.auditor.callCount() + " calls");
        }
    }

    private static String lateRange(List<Violation> found) {
        LongSummaryStatistics late = found.stream()
                .mapToLong(x -> x.lateNanos() / DrainAuditor.NANOS_PER_MILLI)
                .summaryStatistics();
        return late.getMin() + " to " + late.getMax();
    }

    public static void main(String[] arguments) throws Exception {
        if (Boolean.getBoolean("drain.debug")) {
            Logs.configure(new Logs.Settings(Logs.Format.TEXT, Logs.Level.DEBUG, true));
        }
        Map<String, FaultScenario> all = new LinkedHashMap<>();
        addStarts(all);
        addReloads(all);
        addDiscovery(all);
        addConnections(all);
        for (Map.Entry<String, FaultScenario> each : all.entrySet()) {
            if (arguments.length == 0 || List.of(arguments).stream().anyMatch(each.getKey()::contains)) {
                run(each.getKey(), each.getValue());
            }
        }
        System.exit(0);
    }
}
