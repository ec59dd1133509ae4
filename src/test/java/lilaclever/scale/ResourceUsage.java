package lilaclever.scale;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;

/** Resource usage of this process. */
final class ResourceUsage {
    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();
    private static final int GC_RUNS = 2;

    private ResourceUsage() {}

    /** Heap in use after full garbage collections. */
    static long liveHeapBytes() {
        for (int i = 0; i < GC_RUNS; i++) {
            System.gc();
        }
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }

    /** CPU time of the task on this thread; garbage collection runs on others. */
    static double cpuSeconds(Runnable task) {
        long beforeNanos = THREADS.getCurrentThreadCpuTime();
        task.run();
        return (THREADS.getCurrentThreadCpuTime() - beforeNanos) / 1e9;
    }
}
