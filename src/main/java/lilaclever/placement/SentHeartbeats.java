package lilaclever.placement;

/** When the last heartbeats were sent, by the holder's clock. Remembers {@value #CAPACITY} of them. */
final class SentHeartbeats {
    static final int CAPACITY = 16;
    /** What {@link #sentAtMicros} gives for a heartbeat that is not remembered. */
    static final long UNKNOWN = Long.MIN_VALUE;

    private final long[] sentMicros = new long[CAPACITY];
    private long lastSequence;
    private long oldestRemembered = 1;

    /** Notes a heartbeat as sent now and gives its sequence number, from 1. */
    long recordSent(long nowMicros) {
        lastSequence++;
        sentMicros[slot(lastSequence)] = nowMicros;
        oldestRemembered = Math.max(oldestRemembered, lastSequence - CAPACITY + 1);
        return lastSequence;
    }

    /** The time at which the heartbeat was sent, or {@link #UNKNOWN}. */
    long sentAtMicros(long sequence) {
        boolean remembered = oldestRemembered <= sequence && sequence <= lastSequence;
        return remembered ? sentMicros[slot(sequence)] : UNKNOWN;
    }

    /** Forgets the times of all heartbeats sent so far; their renewals will be passed over. */
    void forget() {
        oldestRemembered = lastSequence + 1;
    }

    private static int slot(long sequence) {
        return (int) (sequence % CAPACITY);
    }
}
