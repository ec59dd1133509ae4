package lilaclever.protocol.mllp;

import java.util.List;
import java.util.Map;
import java.util.Set;
import lilaclever.transport.AddressSet;

/**
 * What the operator's file says of the HL7 ports, checked.
 *
 * @param listeners where clients connect
 * @param practices the practice's name for each sender: MSH-3, or MSH-3|MSH-4
 * @param anySender whether a sender of no practice is its own practice; else it is refused
 * @param events the class for each event: MSH-9.1, or MSH-9.1^MSH-9.2
 * @param unknownEventClass the class of a message that no event names: one that must not be repeated; -1: it is refused
 * @param destinations the destination for each receiver: MSH-5, or MSH-5|MSH-6
 * @param budgetsMicros how long a message of each class may be delivered, microseconds
 * @param keyField the field that tells a message from others of its practice
 * @param deadlineField the field that tells until when it is wanted, or null
 * @param processingIds the processing ids (MSH-11) that are taken
 * @param versions the versions (MSH-12) that are taken
 * @param maxPendingPerPractice messages of one practice that may be held
 * @param answerRetentionMicros how long an end is owed to a client that is away
 * @param maxPendingAnswers ends owed to clients that are away, in all
 */
public record MllpSettings(
        List<Listener> listeners,
        Map<String, String> practices,
        boolean anySender,
        Map<String, Integer> events,
        int unknownEventClass,
        Map<String, Integer> destinations,
        List<Long> budgetsMicros,
        Field keyField,
        Field deadlineField,
        Set<String> processingIds,
        Set<String> versions,
        int maxPendingPerPractice,
        long answerRetentionMicros,
        int maxPendingAnswers) {
    /**
     * Where clients connect.
     *
     * @param maxConnections of all clients at most, and of one address at most
     * @param maxInFlight messages of one connection that wait for their first answer
     * @param maxMessageBytes bytes of a message
     * @param idleTimeoutMicros a connection is closed after so long without a message
     * @param frameTimeoutMicros a frame that has begun must end within so long
     */
    public record Listener(
            String name,
            String address,
            AddressSet networks,
            int maxConnections,
            int maxConnectionsPerAddress,
            int maxInFlight,
            int maxMessageBytes,
            long idleTimeoutMicros,
            long frameTimeoutMicros) {}

    /** A field such as MSH-10 or ORC-2-1. */
    public record Field(String segment, String path) {
        /** The field's number in its segment. */
        int number() {
            return Integer.parseInt(path.split("-")[1]);
        }

        /** Reads one; null if the text is none. */
        public static Field parse(String text) {
            return text.matches("[A-Z][A-Z0-9]{2}-[1-9][0-9]?(-[1-9][0-9]?)?")
                    ? new Field(text.substring(0, 3), text)
                    : null;
        }
    }

    /** The value for what is named in full, else for its first part; null if neither is known. */
    static <V> V find(Map<String, V> map, String first, char separator, String second) {
        V exact = map.get(first + separator + second);
        return exact != null ? exact : map.get(first);
    }
}
