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
 * Plays one kind of fault at a time against a forwarder under load, and prints what the auditor finds:
 * {@code DrainFaultRun [PART OF A NAME...]}, with {@code -Ddrain.debug=true} also what happens to each message. Outside
 * the suite, since each takes up to 20 s. Two endpoints of one group are active at first; the second one is drained.
 */
final class DrainFaultRun {
    private static final int GROUP = 7, OTHER_GROUP = 8;
    private static final int STAYING_ENDPOINT = 0, DRAINED_ENDPOINT = 1;
    private static final long AGENT_INDEX = 100, HIGHER_INDEX = 900, LOWER_INDEX = 1;
    private static final int CHANGE_COUNT = 200;
    /** Longer than after which any change counts as told, and its grace. */
    private static final long SETTLE_MILLIS = 8_000;

    private static final long WARM_UP_MILLIS = 300, OUTAGE_MILLIS = 3_000;

    private DrainFaultRun() {}

    /** What is played in a trial. */
    private interface FaultScenario {
        void run(DrainTestBed trial) throws Exception;
    }

    /** The same from when a forwarder has been watching an agent for a while, under load. */
    private interface LoadedScenario {
        void run(DrainTestBed trial, DrainAgent agent) throws Exception;
    }

    private static FaultScenario underLoad(LoadedScenario then) {
        return trial -> {
            DrainAgent agent = trial.agent(AGENT_INDEX);
            trial.start(agent, "null");
            trial.startClients();
            pause(WARM_UP_MILLIS);
            then.run(trial, agent);
        };
    }

    private static void pause(long millis) throws InterruptedException {
        Thread.sleep(millis); // the trial's own time, in which clients hand in
    }

    private static String knownList(DrainTestBed trial, long index) {
        return trial.listAfter(index, trial.version());
    }

    private static String knownList(DrainTestBed trial) {
        return knownList(trial, AGENT_INDEX + trial.version());
    }

    /** The endpoint that stays is listed again and again, so that indices grow. */
    private static void publishManyChanges(DrainTestBed trial) {
        for (int i = 0; i < CHANGE_COUNT; i++) {
            trial.setStatus(STAYING_ENDPOINT, Status.ACTIVE);
        }
    }

    // ---- discovery -----------------------------------------------------------------------------------------
    /** A drain once the agent has answered in this manner for so long. */
    private static FaultScenario drainAfter(AgentBehaviour manner, int delayMs, long millis) {
        return underLoad((trial, agent) -> {
            agent.setBehaviour(manner, delayMs);
            pause(millis);
            trial.setStatus(DRAINED_ENDPOINT, Status.LEAVING);
            pause(SETTLE_MILLIS);
        });
    }

    /** A drain while the agent answers in this manner for some seconds. */
    private static FaultScenario drainDuring(AgentBehaviour manner) {
        return underLoad((trial, agent) -> {
            agent.setBehaviour(manner);
            pause(WARM_UP_MILLIS);
            trial.setStatus(DRAINED_ENDPOINT, Status.LEAVING);
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
        for (AgentBehaviour manner : List.of(
                AgentBehaviour.SILENT,
                AgentBehaviour.REFUSING,
                AgentBehaviour.RESETTING,
                AgentBehaviour.CUT,
                AgentBehaviour.STALLING,
                AgentBehaviour.TRICKLING,
                AgentBehaviour.BUSY)) {
            all.put("discovery " + manner + " for 3 s", drainDuring(manner));
        }
        for (AgentBehaviour manner : List.of(
                AgentBehaviour.CLOSING,
                AgentBehaviour.WHOLE_LISTS,
                AgentBehaviour.INDENTED,
                AgentBehaviour.TWICE,
                AgentBehaviour.CONTRADICTING,
                AgentBehaviour.UNREADABLE_ENTRY,
                AgentBehaviour.UNKNOWN_STATUS)) {
            all.put("discovery " + manner, drainAfter(manner, 0, WARM_UP_MILLIS));
        }
        all.put("watch falls silent", underLoad((trial, agent) -> {
            agent.silenceWatches();
            pause(100);
            trial.setStatus(DRAINED_ENDPOINT, Status.LEAVING);
            pause(SETTLE_MILLIS);
        }));
        all.put("oversize whole list in answer to a watch", underLoad((trial, agent) -> {
            agent.setBehaviour(AgentBehaviour.OVERSIZE_WHOLE);
            agent.restart(3 * AGENT_INDEX);
            trial.setStatus(DRAINED_ENDPOINT, Status.LEAVING);
            pause(SETTLE_MILLIS);
        }));
        all.put("discovery restarted with a lower index", underLoad((trial, agent) -> {
            agent.restart(LOWER_INDEX);
            pause(WARM_UP_MILLIS);
            trial.setStatus(DRAINED_ENDPOINT, Status.LEAVING);
            pause(SETTLE_MILLIS);
        }));
        all.put("discovery restarted, and has passed the old index", underLoad((trial, agent) -> {
            agent.setBehaviour(AgentBehaviour.REFUSING);
            agent.restart(LOWER_INDEX);
            trial.setStatus(DRAINED_ENDPOINT, Status.LEFT);
            publishManyChanges(trial);
            agent.setBehaviour(AgentBehaviour.AT_ONCE);
            pause(SETTLE_MILLIS);
        }));
        all.put("discovery restarted, refusing meanwhile", underLoad((trial, agent) -> {
            agent.setBehaviour(AgentBehaviour.REFUSING);
            pause(500);
            trial.setStatus(DRAINED_ENDPOINT, Status.LEAVING);
            agent.restart(LOWER_INDEX);
            agent.setBehaviour(AgentBehaviour.AT_ONCE);
            pause(SETTLE_MILLIS);
        }));
    }

    // ---- SIGHUP --------------------------------------------------------------------------------------------
    private static void addReloads(Map<String, FaultScenario> all) {
        all.put("SIGHUP to an agent that is behind", underLoad((trial, agent) -> {
            DrainAgent behind = trial.agentBehind(HIGHER_INDEX, trial.version());
            trial.setStatus(DRAINED_ENDPOINT, Status.LEAVING);
            pause(1_000);
            trial.reload(behind);
            pause(OUTAGE_MILLIS);
            behind.catchUp();
            pause(1_500);
        }));
        all.put("SIGHUP to an agent that counts lower", underLoad((trial, agent) -> {
            trial.reload(trial.agent(LOWER_INDEX));
            pause(1_000);
            trial.setStatus(DRAINED_ENDPOINT, Status.LEAVING);
            pause(SETTLE_MILLIS);
        }));
        all.put("SIGHUP to an agent that is silent, drain before", underLoad((trial, agent) -> {
            DrainAgent other = trial.agent(HIGHER_INDEX);
            other.setBehaviour(AgentBehaviour.SILENT);
            trial.setStatus(DRAINED_ENDPOINT, Status.LEAVING);
            pause(100);
            trial.reload(other);
            pause(OUTAGE_MILLIS);
        }));
        all.put("SIGHUP to an agent that answers 0.4 s late", underLoad((trial, agent) -> {
            DrainAgent other = trial.agent(HIGHER_INDEX);
            other.setBehaviour(AgentBehaviour.SLOW, 400);
            trial.reload(other);
            pause(200);
            trial.setStatus(DRAINED_ENDPOINT, Status.LEAVING);
            pause(SETTLE_MILLIS);
        }));
        all.put("SIGHUP several, back and forth, drain between", underLoad((trial, agent) -> {
            DrainAgent other = trial.agent(LOWER_INDEX);
            for (int i = 0; i < 6; i++) {
                trial.reload(i % 2 == 0 ? other : agent);
                pause(i * 40L);
                if (i == 2) {
                    trial.setStatus(DRAINED_ENDPOINT, Status.LEAVING);
                }
            }
            pause(SETTLE_MILLIS);
        }));
    }

    // ---- starts --------------------------------------------------------------------------------------------
    /** A start with a list from before the endpoint was removed, while the agent answers in this manner. */
    private static FaultScenario startWithOutdatedList(AgentBehaviour manner, int delayMs) {
        return trial -> {
            String known = knownList(trial);
            DrainAgent agent = trial.agent(AGENT_INDEX);
            trial.setStatus(DRAINED_ENDPOINT, Status.LEFT);
            agent.setBehaviour(manner, delayMs);
            trial.start(agent, known);
            trial.startClients();
            pause(manner == AgentBehaviour.SILENT ? OUTAGE_MILLIS : SETTLE_MILLIS);
            agent.setBehaviour(AgentBehaviour.AT_ONCE);
            pause(2_000);
        };
    }

    /** A drain is told to one process; the next one finds messages that were not tried and an out-of-date list. */
    private static FaultScenario killAndStart(AgentBehaviour manner, String options) {
        return trial -> {
            DrainAgent agent = trial.agent(AGENT_INDEX);
            String known = knownList(trial);
            trial.setClasses("payment");
            trial.startProcess(agent, known, "-Xshare:auto");
            trial.endpoint(STAYING_ENDPOINT).setBehaviour(DrainEndpoint.EndpointBehaviour.DELIVERS, 4_000);
            trial.endpoint(DRAINED_ENDPOINT).setBehaviour(DrainEndpoint.EndpointBehaviour.DELIVERS, 4_000);
            trial.startClients();
            pause(1_000);
            trial.setStatus(DRAINED_ENDPOINT, Status.LEAVING);
            pause(600);
            trial.kill();
            agent.setBehaviour(manner);
            long from = System.nanoTime();
            trial.startProcess(agent, known, options);
            System.out.println("    serves after " + (System.nanoTime() - from) / DrainAuditor.NANOS_PER_MILLI + " ms");
            pause(2_000);
            trial.auditor
                    .firstCallsSince(from)
                    .forEach((target, at) -> System.out.println(
                            "    " + target + " first called after " + (at - from) / DrainAuditor.NANOS_PER_MILLI + " ms"));
            agent.setBehaviour(AgentBehaviour.AT_ONCE);
        };
    }

    private static void addStarts(Map<String, FaultScenario> all) {
        all.put("known list out of date, agent answers", startWithOutdatedList(AgentBehaviour.AT_ONCE, 0));
        all.put("known list out of date, agent 0.4 s late", startWithOutdatedList(AgentBehaviour.SLOW, 400));
        all.put("known list out of date, agent 1 s late", startWithOutdatedList(AgentBehaviour.SLOW, 1_000));
        all.put("known list out of date, agent silent for 3 s", startWithOutdatedList(AgentBehaviour.SILENT, 0));
        all.put("known list of a higher index", trial -> {
            DrainAgent agent = trial.agent(LOWER_INDEX);
            trial.start(agent, knownList(trial, HIGHER_INDEX));
            trial.startClients();
            pause(WARM_UP_MILLIS);
            trial.setStatus(DRAINED_ENDPOINT, Status.LEAVING);
            pause(SETTLE_MILLIS);
        });
        all.put("known list of a higher index, drained before", trial -> {
            String known = knownList(trial, HIGHER_INDEX);
            DrainAgent agent = trial.agent(LOWER_INDEX);
            trial.setStatus(DRAINED_ENDPOINT, Status.LEFT);
            trial.start(agent, known);
            trial.startClients();
            pause(SETTLE_MILLIS);
        });
        all.put("known list of another agent's count, which this one has passed", trial -> {
            DrainAgent agent = trial.agent(LOWER_INDEX);
            String known = knownList(trial, LOWER_INDEX + CHANGE_COUNT / 2);
            trial.setStatus(DRAINED_ENDPOINT, Status.LEFT);
            publishManyChanges(trial);
            trial.start(agent, known);
            trial.startClients();
            pause(SETTLE_MILLIS);
        });
        all.put("oversize whole list at the start", trial -> {
            DrainAgent agent = trial.agent(AGENT_INDEX);
            agent.setBehaviour(AgentBehaviour.OVERSIZE_WHOLE);
            trial.start(agent, knownList(trial));
            trial.startClients();
            pause(WARM_UP_MILLIS);
            trial.setStatus(DRAINED_ENDPOINT, Status.LEAVING);
            pause(SETTLE_MILLIS);
        });
        all.put("drain told in an earlier life, then discovery silent", trial -> {
            String known = knownList(trial);
            DrainAgent agent = trial.agent(AGENT_INDEX);
            trial.start(agent, known);
            trial.startClients();
            trial.setStatus(DRAINED_ENDPOINT, Status.LEAVING);
            pause(1_500);
            trial.stop();
            agent.setBehaviour(AgentBehaviour.SILENT);
            trial.start(agent, known);
            pause(2_000);
            agent.setBehaviour(AgentBehaviour.AT_ONCE);
            pause(1_000);
        });
        all.put("drain while the process ends", underLoad((trial, agent) -> {
            Thread ending = StandInThreads.start("end", trial::stop);
            pause(200);
            trial.setStatus(DRAINED_ENDPOINT, Status.LEAVING);
            ending.join();
            trial.start(agent, knownList(trial));
            pause(1_500);
        }));
        for (String options : List.of("-Xshare:auto", "-Xint")) {
            for (AgentBehaviour manner : List.of(AgentBehaviour.AT_ONCE, AgentBehaviour.SILENT)) {
                all.put(
                        "process killed, started with " + options + ", known list out of date, agent then " + manner,
                        killAndStart(manner, options));
            }
        }
    }

    // ---- connections and entries ---------------------------------------------------------------------------
    private interface MembershipStep {
        void apply(DrainTestBed trial) throws Exception;
    }

    /** No connection to the endpoint comes up until the change has been made; then those that wait do, late. */
    private static FaultScenario lateConnection(MembershipStep change) {
        return trial -> {
            DrainAgent agent = trial.agent(AGENT_INDEX);
            trial.add(OTHER_GROUP);
            trial.start(agent, "null");
            trial.setClasses("payment");
            trial.endpoint(DRAINED_ENDPOINT).stopAccepting();
            trial.startClients();
            pause(200);
            change.apply(trial);
            trial.endpoint(DRAINED_ENDPOINT).resumeAccepting();
            pause(2_500);
        };
    }

    private static void moveAddress(DrainTestBed trial) throws Exception {
        int other = trial.add(GROUP);
        trial.setStatus(other, Status.LEFT);
        trial.relist(DRAINED_ENDPOINT, trial.endpoint(other).address(), GROUP);
    }

    private static void exchangeAddresses(DrainTestBed trial) throws Exception {
        int other = trial.add(OTHER_GROUP);
        pause(WARM_UP_MILLIS);
        trial.relist(DRAINED_ENDPOINT, trial.endpoint(other).address(), GROUP);
        trial.relist(other, trial.endpoint(DRAINED_ENDPOINT).address(), OTHER_GROUP);
    }

    private static FaultScenario drainWithEndpointBehaviour(DrainEndpoint.EndpointBehaviour manner) {
        return underLoad((trial, agent) -> {
            trial.endpoint(DRAINED_ENDPOINT).setBehaviour(manner, 5);
            pause(500);
            trial.setStatus(DRAINED_ENDPOINT, Status.LEAVING);
            pause(OUTAGE_MILLIS);
        });
    }

    private static void addConnections(Map<String, FaultScenario> all) {
        all.put("late connection, leaving", lateConnection(trial -> trial.setStatus(DRAINED_ENDPOINT, Status.LEAVING)));
        all.put("late connection, left", lateConnection(trial -> trial.setStatus(DRAINED_ENDPOINT, Status.LEFT)));
        all.put("late connection, several in a call", lateConnection(trial -> trial.setStatus(DRAINED_ENDPOINT, Status.LEAVING)));
        all.put("late connection, drained, back and removed", lateConnection(trial -> {
            trial.setStatus(DRAINED_ENDPOINT, Status.LEAVING);
            trial.setStatus(DRAINED_ENDPOINT, Status.ACTIVE);
            trial.setStatus(DRAINED_ENDPOINT, Status.LEFT);
        }));
        all.put("late connection, its id gets another address", lateConnection(DrainFaultRun::moveAddress));
        all.put("late connection, its address becomes another's", lateConnection(trial -> {
            trial.setStatus(DRAINED_ENDPOINT, Status.LEFT);
            trial.relist(2, trial.endpoint(DRAINED_ENDPOINT).address(), OTHER_GROUP);
        }));
        all.put("late connection, second try after a stale one", underLoad((trial, agent) -> {
            trial.setClasses("payment");
            trial.endpoint(DRAINED_ENDPOINT).stopAccepting();
            trial.endpoint(DRAINED_ENDPOINT).closeConnections();
            pause(250);
            trial.setStatus(DRAINED_ENDPOINT, Status.LEAVING);
            trial.endpoint(DRAINED_ENDPOINT).resumeAccepting();
            pause(2_500);
        }));
        all.put("stale connections", drainWithEndpointBehaviour(DrainEndpoint.EndpointBehaviour.CLOSES_IDLE));
        all.put("endpoint turns away", drainWithEndpointBehaviour(DrainEndpoint.EndpointBehaviour.TURNS_AWAY));
        all.put("endpoint fails", drainWithEndpointBehaviour(DrainEndpoint.EndpointBehaviour.FAILS));
        all.put("an id gets another group", underLoad((trial, agent) -> {
            trial.add(OTHER_GROUP);
            trial.relist(DRAINED_ENDPOINT, trial.endpoint(DRAINED_ENDPOINT).address(), OTHER_GROUP);
            pause(OUTAGE_MILLIS);
        }));
        all.put("an id gets another address", underLoad((trial, agent) -> {
            moveAddress(trial);
            pause(OUTAGE_MILLIS);
        }));
        all.put("two ids exchange their addresses", underLoad((trial, agent) -> {
            exchangeAddresses(trial);
            pause(OUTAGE_MILLIS);
        }));
    }

    // ---- the run -------------------------------------------------------------------------------------------
    private static void run(String name, FaultScenario kind) throws Exception {
        Path state = Files.createTempDirectory("drain");
        try (DrainTestBed trial = new DrainTestBed(state, name.contains("several in a call") ? 20 : 1)) {
            trial.add(GROUP);
            trial.add(GROUP);
            kind.run(trial);
            List<Violation> found = trial.auditor.violations();
            System.out.println(name + ": " + found.size() + " too late"
                    + (found.isEmpty() ? "" : " by " + lateRange(found) + " ms")
                    + ", " + trial.auditor.misdirected().size() + " misdirected, of "
                    + trial.auditor.callCount() + " calls");
        }
    }

    private static String lateRange(List<Violation> found) {
        LongSummaryStatistics late =
                found.stream().mapToLong(x -> x.lateNanos() / DrainAuditor.NANOS_PER_MILLI).summaryStatistics();
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
