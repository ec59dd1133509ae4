package lilaclever.routing;

/**
 * Where in the sequence of lists something was said: enough to tell whether another list is later.
 *
 * @param agent address of the discovery agent; indexes of different agents are not comparable
 * @param index version of the list
 * @param isExact false where the list's own index is not known, and the newest that its agent has told stands for it
 * @param receivedMicros when it was heard, by the loop's clock, microseconds
 */
record ListPosition(String agent, long index, boolean isExact, long receivedMicros) {
    /** Stands for the agent where the list came with the configuration; its index is comparable with any agent's. */
    static final String INITIAL_LIST = "known";

    /** Stands for the agent where several lists count, whose indexes are comparable with no other list's. */
    private static final String SEVERAL_LISTS = "several";

    /** How long a position holds back lists that are not later, microseconds; discovery may count anew after that. */
    static final long RETENTION_MICROS = 60_000_000;

    /** Whether a list at the given position may contradict what was said here. */
    boolean permits(ListPosition list) {
        return isExpired(list.receivedMicros) || list.isLaterThan(this);
    }

    boolean isExpired(long nowMicros) {
        return nowMicros - receivedMicros >= RETENTION_MICROS;
    }

    private boolean isLaterThan(ListPosition other) {
        return isExact && isComparableWith(other) && index > other.index;
    }

    boolean isComparableWith(ListPosition other) {
        return other.agent.equals(agent) || other.agent.equals(INITIAL_LIST);
    }

    boolean isSamePlace(ListPosition other) {
        return index == other.index && agent.equals(other.agent);
    }

    /** One that permits no list that either does not; both are of one agent. */
    ListPosition strictest(ListPosition other) {
        return new ListPosition(
                agent, Math.max(index, other.index), isExact, Math.max(receivedMicros, other.receivedMicros));
    }

    /** A position heard at the same time that no list is later than. */
    ListPosition laterThanAny() {
        return new ListPosition(SEVERAL_LISTS, index, isExact, receivedMicros);
    }

    /** The position just before, as late as any that the list itself is later than. */
    ListPosition before() {
        return new ListPosition(agent, index - 1, isExact, receivedMicros);
    }

    ListPosition receivedAt(long nowMicros) {
        return new ListPosition(agent, index, isExact, nowMicros);
    }
}
