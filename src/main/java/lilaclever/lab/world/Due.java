package lilaclever.lab.world;

/** What is due on a timeline: in the order of times, and of scheduling where these are the same. */
public record Due(long at, long order, Runnable action) implements Comparable<Due> {
    @Override
    public int compareTo(Due other) {
        int byTime = Long.compare(at, other.at);
        return byTime != 0 ? byTime : Long.compare(order, other.order);
    }
}
