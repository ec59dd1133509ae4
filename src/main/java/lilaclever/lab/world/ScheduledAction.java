package lilaclever.lab.world;

/** What is due on a timeline: in the order of times, and of scheduling where these are the same. */
public record ScheduledAction(long atMicros, long sequence, Runnable action) implements Comparable<ScheduledAction> {
    @Override
    public int compareTo(ScheduledAction other) {
        int byTime = Long.compare(atMicros, other.atMicros);
        return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
    }
}
