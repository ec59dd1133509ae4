package lilaclever.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.SplittableRandom;
import lilaclever.DecisionModule;
import lilaclever.DecisionModule.Presence;
import lilaclever.identity.IdempotencyWindows;
import lilaclever.journal.BootClock;
import lilaclever.journal.Durability;
import lilaclever.journal.FolderDisk;
import lilaclever.journal.JournalClocks;
import lilaclever.journal.SegmentedJournal;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Calls that are not written yet when their endpoint drains or their message ends. */
class UnsentCallsTest {
    private static final long SECOND_MICROS = 1_000_000, ROUND_MICROS = 5_000;
    private static final int DESTINATION = 7;

    @TempDir
    private Path folder;

    private final Queue<Runnable> awaitingSync = new ArrayDeque<>();
    private final List<String> started = new ArrayList<>();
    private final List<String> canceled = new ArrayList<>();
    private final ManualClock clock = new ManualClock(SECOND_MICROS);

    /** Records the calls that are started; none of them completes. */
    private final class RecordingDeliverer implements Deliverer {
        @Override
        public void start(Call call) {
            call.messages.forEach(m -> started.add(m.id() + " to " + call.endpoint.host()));
        }

        @Override
        public void abort(Call call) {}

        @Override
        public void cancelUnsent(Call call) {
            call.messages.forEach(m -> canceled.add(m.id()));
        }

        @Override
        public void closeIdle(Call.Endpoint endpoint) {}

        @Override
        public void probe(Call.Endpoint endpoint) {}
    }

    /** A front without clients to notify. */
    private static final class FrontWithoutClients implements Front {
        @Override
        public String name() {
            return "http";
        }

        @Override
        public void onAccepted(Message message) {}

        @Override
        public void onRejected(Message message, FinalStatus status) {
            throw new IllegalStateException(message.id() + " was rejected: " + status);
        }

        @Override
        public void onFinalStatus(Message message, String id, FinalStatus status, Runnable settled) {
            settled.run();
        }
    }

    private final RecordingDeliverer deliverer = new RecordingDeliverer();

    private Core.ListedEndpoint listed(String name, Presence presence) {
        return new Core.ListedEndpoint(
                new DecisionModule.EndpointEntry(name, DESTINATION, 0, 0, presence, 1, 0),
                new Call.Endpoint(name, "127.0.0.1:9", DESTINATION, 0, 1, false, deliverer));
    }

    private static DecisionModule.Settings settings() {
        DecisionModule.MessageClass payment = new DecisionModule.MessageClass(
                SECOND_MICROS,
                20 * SECOND_MICROS,
                1,
                DecisionModule.RepeatSafety.UNSAFE,
                DecisionModule.KeyScope.ALL,
                0,
                false);
        return new DecisionModule.Settings(
                0,
                1,
                0,
                1,
                ROUND_MICROS,
                false,
                DecisionModule.WeightMeaning.NONE,
                false,
                0.1,
                List.of(payment),
                List.of(new DecisionModule.EndpointKind(false, 1)),
                List.of(),
                new DecisionModule.Limits(
                        8, 200, 20, true, false, false, 1, SECOND_MICROS, 5 * SECOND_MICROS, true, 2 * SECOND_MICROS),
                new DecisionModule.Rules(
                        20_000,
                        10 * SECOND_MICROS,
                        SECOND_MICROS / 2,
                        0.24,
                        9_500_000,
                        1.5,
                        3 * SECOND_MICROS,
                        100_000));
    }

    /** The real journal, but its records become durable only when the test says so. */
    private Journal journal() throws Exception {
        Journal real = new SegmentedJournal(
                FolderDisk.lock(folder),
                3 << 20,
                Durability.NONE,
                new JournalClocks(clock::monotonicMicros, clock::wallMicros, BootClock.UNKNOWN),
                new SplittableRandom(7));
        return (Journal) Proxy.newProxyInstance(
                Journal.class.getClassLoader(), new Class<?>[] {Journal.class}, (proxy, method, arguments) -> {
                    if (method.getName().equals("whenDurable")) {
                        awaitingSync.add((Runnable) arguments[0]);
                        return null;
                    }
                    try {
                        return method.invoke(real, arguments);
                    } catch (InvocationTargetException e) {
                        throw e.getCause();
                    }
                });
    }

    private void runTurn(Core core) {
        clock.nowMicros += ROUND_MICROS;
        core.runTurn();
    }

    private void sync() {
        while (!awaitingSync.isEmpty()) {
            awaitingSync.poll().run();
        }
    }

    private final FrontWithoutClients front = new FrontWithoutClients();

    private Core core(Journal journal, Counters counters) {
        IdempotencyWindows windows = new IdempotencyWindows(Map.of(), SECOND_MICROS, 1);
        Core core = new Core(settings(), 7, journal, counters, windows, clock);
        core.add(front);
        core.runFirstTurn(List.of(listed("e1", Presence.ACTIVE)), 1);
        return core;
    }

    private Message submit(Core core) {
        byte[] body = new byte[0];
        Message message = core.submit(
                front, new Submission("m", null, 0, DESTINATION, null, body, false, false, 20 * SECOND_MICROS));
        runTurn(core);
        return message;
    }

    /** A message's last client left while its call waited for the journal; the call was written all the same. */
    @Test
    void callAwaitingTheJournalIsNotStartedOnceItsMessageIsWithdrawn() throws Exception {
        try (Journal journal = journal()) {
            Core core = core(journal, new Counters());
            core.withdrawSubmitter(submit(core), front, "m");
            runTurn(core);
            sync();
            assertEquals(List.of(), started);
            assertEquals(0, journal.pendingMessages().size());
        }
    }

    /** A message's last client left while its call waited for a connection; the call was written all the same. */
    @Test
    void callAwaitingAConnectionIsTakenBackOnceItsMessageIsWithdrawn() throws Exception {
        try (Journal journal = journal()) {
            Core core = core(journal, new Counters());
            Message message = submit(core);
            sync();
            core.withdrawSubmitter(message, front, "m");
            runTurn(core);
            assertEquals(List.of("m"), canceled);
        }
    }

    @Test
    void callAwaitingTheJournalIsNotStartedOnceItsEndpointDrains() throws Exception {
        try (Journal journal = journal()) {
            Counters counters = new Counters();
            Core core = core(journal, counters);
            submit(core);
            assertEquals(1, counters.get(Counters.Name.CALLS), "decided, and its attempt recorded");

            core.updateEndpoints(
                    DecisionModule.ListingKind.CHANGES,
                    2,
                    List.of(listed("e1", Presence.LEAVING), listed("e2", Presence.ACTIVE)));
            runTurn(core);
            sync();

            assertEquals(List.of("m to e2"), started);
            assertEquals(1, journal.pendingMessages().size());
        }
    }
}
