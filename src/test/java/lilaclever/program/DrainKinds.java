package lilaclever.program;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.LongSummaryStatistics;
import java.util.Map;
import lilaclever.log.Logs;
import lilaclever.program.DrainAgent.Manner;
import lilaclever.program.DrainAuditor.Violation;
import lilaclever.program.DrainChange.Status;

/**
 * Plays one kind of fault at a time against a forwarder under load, and prints what the auditor finds:
 * {@code DrainKinds [PART OF A NAME...]}, with {@code -Ddrain.debug=true} also what happens to each message. Outside
 * the suite, since each takes up to 20 s. Two endpoints of one group are active at first; the second one is drained.
 */
final class DrainKinds {
    private static final int GROUP = 7, OTHER_GROUP = 8;
    private static final int STAYS = 0, DRAINS = 1;
    private static final long AGENT_INDEX = 100, HIGHER_INDEX = 900, LOWER_INDEX = 1;
    private static final int MANY_CHANGES = 200;
    /** Longer than after which any change counts as told, and its grace. */
    private static final long SETTLE_MS = 8_000;

    private static final long WARM_UP_MS = 300, OUTAGE_MS = 3_000;

    private DrainKinds() {}

    /** What is played in a trial. */
    private interface Kind {
        void play(DrainTrial trial) throws Exception;
    }

    /** The same from when a forwarder has been watching an agent for a while, under load. */
    private interface Served {
        void play(DrainTrial trial, DrainAgent agent) throws Exception;
    }

    private static Kind served(Served then) {
        return trial -> {
            DrainAgent agent = trial.agent(AGENT_INDEX);
            trial.start(agent, "null");
            trial.load();
            pause(WARM_UP_MS);
            then.play(trial, agent);
        };
    }

    private static void pause(long millis) throws InterruptedException {
        Thread.sleep(millis); // the trial's own time, in which clients hand in
    }

    private static String known(DrainTrial trial, long index) {
        return trial.listOf(index, trial.version());
    }

    private static String known(DrainTrial trial) {
        return known(trial, AGENT_INDEX + trial.version());
    }

    /** The endpoint that stays is listed again and again, so that indices grow. */
    private static void changeOften(DrainTrial trial) {
        for (int i = 0; i < MANY_CHANGES; i++) {
            trial.set(STAYS, Status.ACTIVE);
        }
    }

    // ---- discovery -----------------------------------------------------------------------------------------
    /** A drain once the agent has answered in this manner for so long. */
    private static Kind drainAfter(Manner manner, int delayMs, long millis) {
        return served((trial, agent) -> {
            agent.answers(manner, delayMs);
            pause(millis);
            trial.set(DRAINS, Status.LEAVING);
            pause(SETTLE_MS);
        });
    }

    /** A drain while the agent answers in this manner for some seconds. */
    private static Kind drainDuring(Manner manner) {
        return served((trial, agent) -> {
            agent.answers(manner);
            pause(WARM_UP_MS);
            trial.set(DRAINS, Status.LEAVING);
            pause(OUTAGE_MS);
            agent.answers(Manner.AT_ONCE);
            pause(SETTLE_MS);
        });
    }

    private static void addDiscovery(Map<String, Kind> all) {
        all.put("plain drain", drainAfter(Manner.AT_ONCE, 0, 0));
        for (int delay : List.of(250, 400, 1_000)) {
            all.put("slow discovery, " + delay + " ms, drain at once", drainAfter(Manner.SLOW, delay, 0));
            all.put("slow discovery, " + delay + " ms, drain later", drainAfter(Manner.SLOW, delay, 5_000));
        }
        for (Manner manner : List.of(
                Manner.SILENT,
                Manner.REFUSING,
                Manner.RESETTING,
                Manner.CUT,
                Manner.STALLING,
                Manner.TRICKLING,
                Manner.BUSY)) {
            all.put("discovery " + manner + " for 3 s", drainDuring(manner));
        }
        for (Manner manner : List.of(
                Manner.CLOSING,
                Manner.WHOLE_LISTS,
                Manner.INDENTED,
                Manner.TWICE,
                Manner.CONTRADICTING,
                Manner.UNREADABLE_ENTRY,
                Manner.UNKNOWN_STATUS)) {
            all.put("discovery " + manner, drainAfter(manner, 0, WARM_UP_MS));
        }
        all.put("watch falls silent", served((trial, agent) -> {
            agent.silenceWatches();
            pause(100);
            trial.set(DRAINS, Status.LEAVING);
            pause(SETTLE_MS);
        }));
        all.put("oversize whole list in answer to a watch", served((trial, agent) -> {
            agent.answers(Manner.OVERSIZE_WHOLE);
            agent.restart(3 * AGENT_INDEX);
            trial.set(DRAINS, Status.LEAVING);
            pause(SETTLE_MS);
        }));
        all.put("discovery restarted with a lower index", served((trial, agent) -> {
            agent.restart(LOWER_INDEX);
            pause(WARM_UP_MS);
            trial.set(DRAINS, Status.LEAVING);
            pause(SETTLE_MS);
        }));
        all.put("discovery restarted, and has passed the old index", served((trial, agent) -> {
            agent.answers(Manner.REFUSING);
            agent.restart(LOWER_INDEX);
            trial.set(DRAINS, Status.LEFT);
            changeOften(trial);
            agent.answers(Manner.AT_ONCE);
            pause(SETTLE_MS);
        }));
        all.put("discovery restarted, refusing meanwhile", served((trial, agent) -> {
            agent.answers(Manner.REFUSING);
            pause(500);
            trial.set(DRAINS, Status.LEAVING);
            agent.restart(LOWER_INDEX);
            agent.answers(Manner.AT_ONCE);
            pause(SETTLE_MS);
        }));
    }

    // ---- SIGHUP --------------------------------------------------------------------------------------------
    private static void addReloads(Map<String, Kind> all) {
        all.put("SIGHUP to an agent that is behind", served((trial, agent) -> {
            DrainAgent behind = trial.agentBehind(HIGHER_INDEX, trial.version());
            trial.set(DRAINS, Status.LEAVING);
            pause(1_000);
            trial.reload(behind);
            pause(OUTAGE_MS);
            behind.catchUp();
            pause(1_500);
        }));
        all.put("SIGHUP to an agent that counts lower", served((trial, agent) -> {
            trial.reload(trial.agent(LOWER_INDEX));
            pause(1_000);
            trial.set(DRAINS, Status.LEAVING);
            pause(SETTLE_MS);
        }));
        all.put("SIGHUP to an agent that is silent, drain before", served((trial, agent) -> {
            DrainAgent other = trial.agent(HIGHER_INDEX);
            other.answers(Manner.SILENT);
            trial.set(DRAINS, Status.LEAVING);
            pause(100);
            trial.reload(other);
            pause(OUTAGE_MS);
        }));
        all.put("SIGHUP to an agent that answers 0.4 s late", served((trial, agent) -> {
            DrainAgent other = trial.agent(HIGHER_INDEX);
            other.answers(Manner.SLOW, 400);
            trial.reload(other);
            pause(200);
            trial.set(DRAINS, Status.LEAVING);
            pause(SETTLE_MS);
        }));
        all.put("SIGHUP several, back and forth, drain between", served((trial, agent) -> {
            DrainAgent other = trial.agent(LOWER_INDEX);
            for (int i = 0; i < 6; i++) {
                trial.reload(i % 2 == 0 ? other : agent);
                pause(i * 40L);
                if (i == 2) {
                    trial.set(DRAINS, Status.LEAVING);
                }
            }
            pause(SETTLE_MS);
        }));
    }

    // ---- starts --------------------------------------------------------------------------------------------
    /** A start with a list from before the endpoint was removed, while the agent answers in this manner. */
    private static Kind startWithOutdatedList(Manner manner, int delayMs) {
        return trial -> {
            String known = known(trial);
            DrainAgent agent = trial.agent(AGENT_INDEX);
            trial.set(DRAINS, Status.LEFT);
            agent.answers(manner, delayMs);
            trial.start(agent, known);
            trial.load();
            pause(manner == Manner.SILENT ? OUTAGE_MS : SETTLE_MS);
            agent.answers(Manner.AT_ONCE);
            pause(2_000);
        };
    }

    /** A drain is told to one process; the next one finds messages that were not tried and an out-of-date list. */
    private static Kind killAndStart(Manner manner, String options) {
        return trial -> {
            DrainAgent agent = trial.agent(AGENT_INDEX);
            String known = known(trial);
            trial.classes("payment");
            trial.startProcess(agent, known, "-Xshare:auto");
            trial.endpoint(STAYS).answers(DrainEndpoint.Manner.DELIVERS, 4_000);
            trial.endpoint(DRAINS).answers(DrainEndpoint.Manner.DELIVERS, 4_000);
            trial.load();
            pause(1_000);
            trial.set(DRAINS, Status.LEAVING);
            pause(600);
            trial.kill();
            agent.answers(manner);
            long from = System.nanoTime();
            trial.startProcess(agent, known, options);
            System.out.println("    serves after " + (System.nanoTime() - from) / DrainAuditor.MS + " ms");
            pause(2_000);
            trial.auditor
                    .firstCallsSince(from)
                    .forEach((target, at) -> System.out.println(
                            "    " + target + " first called after " + (at - from) / DrainAuditor.MS + " ms"));
            agent.answers(Manner.AT_ONCE);
        };
    }

    private static void addStarts(Map<String, Kind> all) {
        all.put("known list out of date, agent answers", startWithOutdatedList(Manner.AT_ONCE, 0));
        all.put("known list out of date, agent 0.4 s late", startWithOutdatedList(Manner.SLOW, 400));
        all.put("known list out of date, agent 1 s late", startWithOutdatedList(Manner.SLOW, 1_000));
        all.put("known list out of date, agent silent for 3 s", startWithOutdatedList(Manner.SILENT, 0));
        all.put("known list of a higher index", trial -> {
            DrainAgent agent = trial.agent(LOWER_INDEX);
            trial.start(agent, known(trial, HIGHER_INDEX));
            trial.load();
            pause(WARM_UP_MS);
            trial.set(DRAINS, Status.LEAVING);
            pause(SETTLE_MS);
        });
        all.put("known list of a higher index, drained before", trial -> {
            String known = known(trial, HIGHER_INDEX);
            DrainAgent agent = trial.agent(LOWER_INDEX);
            trial.set(DRAINS, Status.LEFT);
            trial.start(agent, known);
            trial.load();
            pause(SETTLE_MS);
        });
        all.put("known list of another agent's count, which this one has passed", trial -> {
            DrainAgent agent = trial.agent(LOWER_INDEX);
            String known = known(trial, LOWER_INDEX + MANY_CHANGES / 2);
            trial.set(DRAINS, Status.LEFT);
            changeOften(trial);
            trial.start(agent, known);
            trial.load();
            pause(SETTLE_MS);
        });
        all.put("oversize whole list at the start", trial -> {
            DrainAgent agent = trial.agent(AGENT_INDEX);
            agent.answers(Manner.OVERSIZE_WHOLE);
            trial.start(agent, known(trial));
            trial.load();
            pause(WARM_UP_MS);
            trial.set(DRAINS, Status.LEAVING);
            pause(SETTLE_MS);
        });
        all.put("drain told in an earlier life, then discovery silent", trial -> {
            String known = known(trial);
            DrainAgent agent = trial.agent(AGENT_INDEX);
            trial.start(agent, known);
            trial.load();
            trial.set(DRAINS, Status.LEAVING);
            pause(1_500);
            trial.stop();
            agent.answers(Manner.SILENT);
            trial.start(agent, known);
            pause(2_000);
            agent.answers(Manner.AT_ONCE);
            pause(1_000);
        });
        all.put("drain while the process ends", served((trial, agent) -> {
            Thread ending = DrainThreads.start("end", trial::stop);
            pause(200);
            trial.set(DRAINS, Status.LEAVING);
            ending.join();
            trial.start(agent, known(trial));
            pause(1_500);
        }));
        for (String options : List.of("-Xshare:auto", "-Xint")) {
            for (Manner manner : List.of(Manner.AT_ONCE, Manner.SILENT)) {
                all.put(
                        "process killed, started with " + options + ", known list out of date, agent then " + manner,
                        killAndStart(manner, options));
            }
        }
    }

    // ---- connections and entries ---------------------------------------------------------------------------
    private interface Change {
        void make(DrainTrial trial) throws Exception;
    }

    /** No connection to the endpoint comes up until the change has been made; then those that wait do, late. */
    private static Kind lateConnection(Change change) {
        return trial -> {
            DrainAgent agent = trial.agent(AGENT_INDEX);
            trial.add(OTHER_GROUP);
            trial.start(agent, "null");
            trial.classes("payment");
            trial.endpoint(DRAINS).stopAccepting();
            trial.load();
            pause(200);
            change.make(trial);
            trial.endpoint(DRAINS).acceptAgain();
            pause(2_500);
        };
    }

    private static void moveAddress(DrainTrial trial) throws Exception {
        int other = trial.add(GROUP);
        trial.set(other, Status.LEFT);
        trial.relist(DRAINS, trial.endpoint(other).address(), GROUP);
    }

    private static void exchangeAddresses(DrainTrial trial) throws Exception {
        int other = trial.add(OTHER_GROUP);
        pause(WARM_UP_MS);
        trial.relist(DRAINS, trial.endpoint(other).address(), GROUP);
        trial.relist(other, trial.endpoint(DRAINS).address(), OTHER_GROUP);
    }

    private static Kind drainWhere(DrainEndpoint.Manner manner) {
        return served((trial, agent) -> {
            trial.endpoint(DRAINS).answers(manner, 5);
            pause(500);
            trial.set(DRAINS, Status.LEAVING);
            pause(OUTAGE_MS);
        });
    }

    private static void addConnections(Map<String, Kind> all) {
        all.put("late connection, leaving", lateConnection(trial -> trial.set(DRAINS, Status.LEAVING)));
        all.put("late connection, left", lateConnection(trial -> trial.set(DRAINS, Status.LEFT)));
        all.put("late connection, several in a call", lateConnection(trial -> trial.set(DRAINS, Status.LEAVING)));
        all.put("late connection, drained, back and removed", lateConnection(trial -> {
            trial.set(DRAINS, Status.LEAVING);
            trial.set(DRAINS, Status.ACTIVE);
            trial.set(DRAINS, Status.LEFT);
        }));
        all.put("late connection, its id gets another address", lateConnection(DrainKinds::moveAddress));
        all.put("late connection, its address becomes another's", lateConnection(trial -> {
            trial.set(DRAINS, Status.LEFT);
            trial.relist(2, trial.endpoint(DRAINS).address(), OTHER_GROUP);
        }));
        all.put("late connection, second try after a stale one", served((trial, agent) -> {
            trial.classes("payment");
            trial.endpoint(DRAINS).stopAccepting();
            trial.endpoint(DRAINS).closeConnections();
            pause(250);
            trial.set(DRAINS, Status.LEAVING);
            trial.endpoint(DRAINS).acceptAgain();
            pause(2_500);
        }));
        all.put("stale connections", drainWhere(DrainEndpoint.Manner.CLOSES_IDLE));
        all.put("endpoint turns away", drainWhere(DrainEndpoint.Manner.TURNS_AWAY));
        all.put("endpoint fails", drainWhere(DrainEndpoint.Manner.FAILS));
        all.put("an id gets another group", served((trial, agent) -> {
            trial.add(OTHER_GROUP);
            trial.relist(DRAINS, trial.endpoint(DRAINS).address(), OTHER_GROUP);
            pause(OUTAGE_MS);
        }));
        all.put("an id gets another address", served((trial, agent) -> {
            moveAddress(trial);
            pause(OUTAGE_MS);
        }));
        all.put("two ids exchange their addresses", served((trial, agent) -> {
            exchangeAddresses(trial);
            pause(OUTAGE_MS);
        }));
    }

    // ---- the run -------------------------------------------------------------------------------------------
    private static void play(String name, Kind kind) throws Exception {
        Path state = Files.createTempDirectory("drain");
        try (DrainTrial trial = new DrainTrial(state, name.contains("several in a call") ? 20 : 1)) {
            trial.add(GROUP);
            trial.add(GROUP);
            kind.play(trial);
            List<Violation> found = trial.auditor.violations();
            System.out.println(name + ": " + found.size() + " too late"
                    + (found.isEmpty() ? "" : " by " + span(found) + " ms")
                    + ", " + trial.auditor.misdirected().size() + " misdirected, of "
                    + trial.auditor.calls() + " calls");
        }
    }

    private static String span(List<Violation> found) {
        LongSummaryStatistics late =
                found.stream().mapToLong(x -> x.lateNanos() / DrainAuditor.MS).summaryStatistics();
        return late.getMin() + " to " + late.getMax();
    }

    public static void main(String[] arguments) throws Exception {
        if (Boolean.getBoolean("drain.debug")) {
            Logs.configure(new Logs.Settings(Logs.Format.TEXT, Logs.Level.DEBUG, true));
        }
        Map<String, Kind> all = new LinkedHashMap<>();
        addStarts(all);
        addReloads(all);
        addDiscovery(all);
        addConnections(all);
        for (Map.Entry<String, Kind> each : all.entrySet()) {
            if (arguments.length == 0 || List.of(arguments).stream().anyMatch(each.getKey()::contains)) {
                play(each.getKey(), each.getValue());
            }
        }
        System.exit(0);
    }
}
