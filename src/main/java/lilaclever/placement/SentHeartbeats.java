package lilaclever.placement;

/** Times at which the last {@value #CAPACITY} heartbeats were sent, by the holder's clock. */
final class SentHeartbeats {
    static final int CAPACITY = 16;
    /** Result of {@link #sentAtMicros} for a heartbeat that is not remembered. */
    static final long UNKNOWN = Long.MIN_VALUE;

    private final long[] sentMicros = new long[CAPACITY];
    private long lastSequence;
    private long oldestRemembered = 1;

    /** Records a heartbeat sent now and returns its sequence number, from 1. */
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

    /** Forgets the times of all heartbeats sent so far; renewals for them will be ignored. */
    void forget() {
        oldestRemembered = lastSequence + 1;
    }

    private static int slot(long sequence) {
        return (int) (sequence % CAPACITY);
    }
}
