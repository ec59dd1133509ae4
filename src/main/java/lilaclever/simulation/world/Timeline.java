package lilaclever.simulation.world;

/** The time of a rehearsal and its scheduled actions, which run one after the other on one thread. */
public interface Timeline {
    /** Microseconds since the rehearsal began. */
    long nowMicros();

    /** Runs the action at the time, or as soon as possible if that is past. */
    void at(long atMicros, Runnable action);

    /** Runs the action after the delay. */
    default void after(long delayMicros, Runnable action) {
        at(nowMicros() + delayMicros, action);
    }
}
