package lilaclever.simulation.fleet;

import lilaclever.placement.MemberId;

/** A forwarder without sockets: its location, its clock, its current process if it runs, and its control traffic. */
final class SimulatedForwarder {
    private static final long WINDOW_MICROS = 10_000_000;

    final MemberId id;
    final int region;
    final int zoneWithinRegion;
    final int zone;
    final int machine;
    final int rack;
    final SimulatedClock clock;
    /** Null while it is down. */
    ForwarderProcess process;

    long incarnation;
    /** Virtual time until which it is cut off: nothing reaches it or leaves it. */
    long cutOffUntilMicros;

    private long bytes;
    private long windowIndex;
    private long windowBytes;
    private long busiestWindowBytes;

    SimulatedForwarder(
            MemberId id, int region, int zone, int zoneWithinRegion, int machine, int rack, SimulatedClock clock) {
        this.id = id;
        this.region = region;
        this.zone = zone;
        this.zoneWithinRegion = zoneWithinRegion;
        this.machine = machine;
        this.rack = rack;
        this.clock = clock;
    }

    boolean isRunning() {
        return process != null;
    }

    /** Whether it is cut off at this time. */
    boolean isCutOff(long nowMicros) {
        return nowMicros < cutOffUntilMicros;
    }

    /** Counts bytes sent or received. */
    void countBytes(int count, long nowMicros) {
        long currentIndex = nowMicros / WINDOW_MICROS;
        if (currentIndex != windowIndex) {
            windowIndex = currentIndex;
            windowBytes = 0;
        }
        bytes += count;
        windowBytes += count;
        busiestWindowBytes = Math.max(busiestWindowBytes, windowBytes);
    }

    long bytes() {
        return bytes;
    }

    /** Bytes a second in the busiest ten seconds. */
    double busiestBytesPerSecond() {
        return busiestWindowBytes * 1e6 / WINDOW_MICROS;
    }

    void resetTraffic() {
        bytes = 0;
        windowBytes = 0;
        busiestWindowBytes = 0;
    }
}
