package lilaclever.lab.world;

/** A run's time and the order of what happens in it. All actions run on one thread, one after the other. */
public interface Timeline {
    /** Microseconds since the run began. */
    long nowMicros();

    /** Runs the action at the time, or now if that is past. */
    void at(long micros, Runnable action);

    /** Runs the action after so long. */
    default void after(long micros, Runnable action) {
        at(nowMicros() + micros, action);
    }
}
