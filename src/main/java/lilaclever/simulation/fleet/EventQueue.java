package lilaclever.simulation.fleet;

import java.util.Arrays;

/** Event queue in virtual time, a binary heap. Events at the same time run in the order in which they were added. */
final class EventQueue {
    private static final int INITIAL_CAPACITY = 1 << 12;
    private long[] timesMicros = new long[INITIAL_CAPACITY];
    private long[] numbers = new long[INITIAL_CAPACITY];
    private Runnable[] actions = new Runnable[INITIAL_CAPACITY];
    private int size;
    private long added;
    private long nowMicros;

    /** The current virtual time, microseconds since the start. */
    long now() {
        return nowMicros;
    }

    /** Number of events added so far. */
    long addedCount() {
        return added;
    }

    /** Schedules an action after a delay in microseconds; a negative delay counts as 0. */
    void schedule(long delayMicros, Runnable action) {
        if (size == timesMicros.length) {
            grow();
        }
        int index = size++;
        long timeMicros = nowMicros + Math.max(0, delayMicros);
        long number = added++;
        while (index > 0) {
            int parent = (index - 1) >>> 1;
            if (before(timesMicros[parent], numbers[parent], timeMicros, number)) {
                break;
            }
            move(parent, index);
            index = parent;
        }
        set(index, timeMicros, number, action);
    }

    /** Runs all actions due up to a time, and then advances to it. */
    void runUntil(long endMicros) {
        while (size > 0 && timesMicros[0] <= endMicros) {
            nowMicros = timesMicros[0];
            Runnable action = actions[0];
            removeFirst();
            action.run();
        }
        nowMicros = endMicros;
    }

    private void removeFirst() {
        size--;
        long timeMicros = timesMicros[size];
        long number = numbers[size];
        Runnable action = actions[size];
        actions[size] = null;
        if (size == 0) {
            return;
        }
        int index = 0;
        int child = 1;
        while (child < size) {
            if (child + 1 < size
                    && before(timesMicros[child + 1], numbers[child + 1], timesMicros[child], numbers[child])) {
                child++;
            }
            if (before(timeMicros, number, timesMicros[child], numbers[child])) {
                break;
            }
            move(child, index);
            index = child;
            child = 2 * index + 1;
        }
        set(index, timeMicros, number, action);
    }

    private void move(int from, int to) {
        set(to, timesMicros[from], numbers[from], actions[from]);
    }

    private void set(int index, long timeMicros, long number, Runnable action) {
        timesMicros[index] = timeMicros;
        numbers[index] = number;
        actions[index] = action;
    }

    private void grow() {
        timesMicros = Arrays.copyOf(timesMicros, 2 * size);
        numbers = Arrays.copyOf(numbers, 2 * size);
        actions = Arrays.copyOf(actions, 2 * size);
    }

    private static boolean before(long timeMicros, long number, long otherTimeMicros, long otherNumber) {
        return timeMicros != otherTimeMicros ? timeMicros < otherTimeMicros : number < otherNumber;
    }
}
