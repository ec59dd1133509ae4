package lilaclever.protocol.mllp;

import java.util.List;
import java.util.Map;
import java.util.Set;
import lilaclever.transport.AddressSet;

/**
 * The validated settings of the HL7 ports in the operator's file.
 *
 * @param listeners the addresses where clients connect
 * @param practices the practice of each sender, by MSH-3 or MSH-3|MSH-4
 * @param anySender whether an unknown sender counts as a practice of its own; otherwise it is rejected
 * @param events the name of the message class of each event, by MSH-9.1 or MSH-9.1^MSH-9.2
 * @param acceptsUnknownEvents whether messages with other events are accepted, in a class without repeats
 * @param destinations the destination of each receiver, by MSH-5 or MSH-5|MSH-6
 * @param keyField the field that identifies a message within its practice
 * @param deadlineField the field with the delivery deadline, or null
 * @param processingIds the accepted processing ids (MSH-11)
 * @param versions the accepted versions (MSH-12)
 * @param maxPendingPerPractice limit of pending messages per practice
 * @param answerRetentionMicros how long a final answer is retained for a disconnected client
 * @param maxPendingAnswers limit of final answers retained for all disconnected clients
 */
public record MllpSettings(
        List<Listener> listeners,
        Map<String, String> practices,
        boolean anySender,
        Map<String, String> events,
        boolean acceptsUnknownEvents,
        Map<String, Integer> destinations,
        Field keyField,
        Field deadlineField,
        Set<String> processingIds,
        Set<String> versions,
        int maxPendingPerPractice,
        long answerRetentionMicros,
        int maxPendingAnswers) {
    /**
     * An address where clients connect.
     *
     * @param networks the networks that may connect
     * @param maxConnections limit of connections to this listener
     * @param maxConnectionsPerAddress limit of connections from one client address
     * @param maxInFlight limit of messages of one connection without a first answer
     * @param maxMessageBytes limit of the size of a message
     * @param idleTimeoutMicros idle time after which a connection is closed
     * @param frameTimeoutMicros time within which a started frame must be complete
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

        /** Parses a field reference; returns null if the text is not one. */
        public static Field parse(String text) {
            return text.matches("[A-Z][A-Z0-9]{2}-[1-9][0-9]?(-[1-9][0-9]?)?")
                    ? new Field(text.substring(0, 3), text)
                    : null;
        }
    }

    /** The value for both parts of the name, else for the first part alone, or null. */
    static <V> V find(Map<String, V> map, String first, char separator, String second) {
        V exact = map.get(first + separator + second);
        return exact != null ? exact : map.get(first);
    }
}
