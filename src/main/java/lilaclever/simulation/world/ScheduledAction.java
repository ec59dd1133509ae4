package lilaclever.simulation.world;

/** An action on a timeline, ordered by time, and by the order of scheduling where times are equal. */
public record ScheduledAction(long atMicros, long sequence, Runnable action) implements Comparable<ScheduledAction> {
    @Override
    public int compareTo(ScheduledAction other) {
        int byTime = Long.compare(atMicros, other.atMicros);
        return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
    }
}
