package lilaclever.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Turns of the event loop, on a clock that advances only within tasks. */
class CoreTurnTest {
    private static final long MILLISECOND_MICROS = 1000;
    /** A received response has to take effect within this time. */
    private static final long MAX_DELAY_MICROS = 100 * MILLISECOND_MICROS;

    @TempDir
    private Path state;

    private final ManualClock clock = new ManualClock(0);

    private Core core() throws Exception {
        Core core = TestCore.create(state, clock);
        core.runFirstTurn(List.of(), 0);
        return core;
    }

    /** Guards against a queue of tasks, such as input of clients, that postpones deadlines until it has been run. */
    @Test
    void queuedTasksDoNotPostponeDeadlines() throws Exception {
        Core core = core();
        List<Integer> done = new ArrayList<>();
        for (int i = 0; i < 1000; i++) {
            int number = i;
            core.post(() -> {
                clock.nowMicros += MILLISECOND_MICROS;
                done.add(number);
            });
        }
        long dueMicros = clock.nowMicros + MILLISECOND_MICROS;
        long[] ranAtMicros = {-1};
        core.deadlines().schedule(dueMicros, () -> ranAtMicros[0] = clock.nowMicros);
        core.runTurn();
        core.runTurn();
        assertTrue(ranAtMicros[0] >= 0 && ranAtMicros[0] - dueMicros <= MAX_DELAY_MICROS, "ran at " + ranAtMicros[0]);
        while (core.nextTurnMicros() - clock.nowMicros <= 2 * MILLISECOND_MICROS) {
            core.runTurn();
        }
        assertEquals(1000, done.size());
        assertEquals(done.stream().sorted().toList(), done, "the order of the tasks");
    }
}
