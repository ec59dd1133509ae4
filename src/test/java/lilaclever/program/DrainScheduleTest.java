package lilaclever.program;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import lilaclever.program.DrainSchedule.Fault;
import lilaclever.program.DrainSchedule.Result;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Random schedules of list changes, faults and restarts: no call is written to a draining or removed endpoint after its
 * grace, and active endpoints get their calls. {@link DrainSweep} runs more of them.
 */
class DrainScheduleTest {
    /** Each has a forwarder and up to a hundred threads: more of them in a process wait for each other's processor. */
    private static final int RUNS_AT_ONCE = 4;

    private record ScheduleRun(Fault fault, long seed) {}

    private static final List<ScheduleRun> RUNS = List.of(
            new ScheduleRun(Fault.NONE, 1),
            new ScheduleRun(Fault.VERY_SLOW, 2),
            new ScheduleRun(Fault.SILENT, 3),
            new ScheduleRun(Fault.TRICKLING, 4),
            new ScheduleRun(Fault.RESTARTED_LOWER, 5),
            new ScheduleRun(Fault.RELOAD_TO_ONE_BEHIND, 6),
            new ScheduleRun(Fault.OTHER_GROUP, 9),
            new ScheduleRun(Fault.UNREADABLE_ENTRY, 7),
            new ScheduleRun(Fault.RESTART, 8),
            new ScheduleRun(Fault.KNOWN_OF_HIGHER_INDEX, 10),
            new ScheduleRun(Fault.CONTRADICTING, 11),
            new ScheduleRun(Fault.RELOADS, 12));

    @TempDir
    private Path folder;

    @Test
    void noCallReachesDrainingOrRemovedEndpointsAfterTheGrace() throws Exception {
        ExecutorService executor = Executors.newFixedThreadPool(RUNS_AT_ONCE);
        try {
            List<Future<Result>> results = new ArrayList<>();
            for (ScheduleRun run : RUNS) {
                Path state = Files.createDirectory(folder.resolve(run.fault().name() + run.seed()));
                results.add(executor.submit(() -> new DrainSchedule(run.fault(), run.seed(), state).run()));
            }
            List<String> failed = new ArrayList<>();
            for (Future<Result> each : results) {
                Result result = each.get();
                assertTrue(result.calls() > 0, "calls were made: " + result);
                if (!result.isClean()) {
                    failed.add(result.toString());
                }
            }
            assertTrue(failed.isEmpty(), () -> String.join("\n", failed));
        } finally {
            executor.shutdownNow();
        }
    }
}
