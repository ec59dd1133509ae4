package lilaclever.simulation.fleet;

/** A monotonic clock that drifts against the virtual time. */
final class SimulatedClock {
    private final EventQueue queue;
    private final double rate;
    private final long offsetMicros;

    /** Creates a clock with the given rate (1 is exact) and reading at virtual time 0. */
    SimulatedClock(EventQueue queue, double rate, long offsetMicros) {
        this.queue = queue;
        this.rate = rate;
        this.offsetMicros = offsetMicros;
    }

    /** The current reading, microseconds. */
    long now() {
        return offsetMicros + (long) (queue.now() * rate);
    }

    /** Virtual time that passes while the clock advances by the given time, microseconds. */
    long delayOf(long clockMicros) {
        return (long) Math.ceil(clockMicros / rate);
    }

    /** The virtual time of a reading, microseconds. */
    long virtualTimeOf(long readingMicros) {
        return (long) ((readingMicros - offsetMicros) / rate);
    }
}
