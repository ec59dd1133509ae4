package lilaclever.scale;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;

/** What this process uses. */
final class ResourceUsage {
    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();
    private static final int GC_RUNS = 2;

    private ResourceUsage() {}

    /** Bytes of the heap that are in use after full collections. */
    static long liveHeapBytes() {
        for (int i = 0; i < GC_RUNS; i++) {
            System.gc();
        }
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }

    /** Seconds of the processor that the task uses on this thread; collections of the heap run on others. */
    static double cpuSeconds(Runnable task) {
        long before = THREADS.getCurrentThreadCpuTime();
        task.run();
        return (THREADS.getCurrentThreadCpuTime() - before) / 1e9;
    }
}
