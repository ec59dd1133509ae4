package lilaclever.lab.fleet;

/** A monotonic clock that runs a little fast or slow against the virtual time. */
final class SimulatedClock {
    private final EventQueue queue;
    private final double rate;
    private final long offsetMicros;

    /** Clock with that rate (1 is exact) and that reading at the virtual time 0. */
    SimulatedClock(EventQueue queue, double rate, long offsetMicros) {
        this.queue = queue;
        this.rate = rate;
        this.offsetMicros = offsetMicros;
    }

    /** The present reading, microseconds. */
    long now() {
        return offsetMicros + (long) (queue.now() * rate);
    }

    /** Virtual time that passes while the clock advances by so much, microseconds. */
    long delayOf(long clockMicros) {
        return (long) Math.ceil(clockMicros / rate);
    }

    /** The virtual time of a reading, microseconds. */
    long virtualTimeOf(long readingMicros) {
        return (long) ((readingMicros - offsetMicros) / rate);
    }
}
