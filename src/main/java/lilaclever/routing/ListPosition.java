package lilaclever.routing;

/**
 * The position of a list in the sequence of lists, to decide whether another list is later.
 *
 * @param agent address of the discovery agent; indexes of different agents are not comparable
 * @param index version of the list
 * @param isExact false if the list has no index, and the newest index of its agent is used instead
 * @param receivedMicros when the list was received, on the event loop's clock, microseconds
 */
record ListPosition(String agent, long index, boolean isExact, long receivedMicros) {
    /** Used as agent of the list that the process starts with; its index is comparable with any agent's. */
    static final String INITIAL_LIST = "known";

    /** Used as agent of a position merged from several agents; its index is comparable with no list's. */
    private static final String SEVERAL_LISTS = "several";

    /** How long a position holds back lists that are not later; after that, the indexes may have restarted. */
    static final long RETENTION_MICROS = 60_000_000;

    /** Whether a list at the given position may contradict the list at this position. */
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

    boolean hasSameAgentAndIndex(ListPosition other) {
        return index == other.index && agent.equals(other.agent);
    }

    /** The position that permits only lists permitted by both; both are of the same agent. */
    ListPosition strictest(ListPosition other) {
        return new ListPosition(
                agent, Math.max(index, other.index), isExact, Math.max(receivedMicros, other.receivedMicros));
    }

    /** A position received at the same time, than which no list is later until it expires. */
    ListPosition laterThanAny() {
        return new ListPosition(SEVERAL_LISTS, index, isExact, receivedMicros);
    }

    /** The position one index lower, so that a list of the same index is later. */
    ListPosition before() {
        return new ListPosition(agent, index - 1, isExact, receivedMicros);
    }

    ListPosition receivedAt(long nowMicros) {
        return new ListPosition(agent, index, isExact, nowMicros);
    }
}
