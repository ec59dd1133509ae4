package lilaclever.placement;

/** A forwarder's number, unique in the fleet and stable across restarts of its process. */
public record MemberId(int number) implements Comparable<MemberId> {
    /**
     * Checks the number.
     *
     * @throws IllegalArgumentException if the number is negative
     */
    public MemberId {
        if (number < 0) {
            throw new IllegalArgumentException("member number must not be negative: " + number);
        }
    }

    @Override
    public int compareTo(MemberId other) {
        return Integer.compare(number, other.number);
    }
}
