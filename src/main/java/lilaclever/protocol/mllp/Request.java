package lilaclever.protocol.mllp;

import java.util.Locale;
import lilaclever.identity.Identity;
import lilaclever.routing.ClassVersion;

/**
 * One message as submitted by a client.
 *
 * @param practice the practice that the sender belongs to
 * @param key identifies the message within its practice
 * @param arrivedMicros when the last byte of the message was read
 */
record Request(
        Header header,
        byte[] body,
        String practice,
        String key,
        ClassVersion messageClass,
        int destination,
        long budgetMicros,
        long arrivedMicros) {
    /** When a sender wants an acknowledgement (HL7 table 0155). */
    private enum AcknowledgementCondition {
        ALWAYS,
        NEVER,
        ON_ERROR,
        ON_SUCCESS;

        static AcknowledgementCondition of(String field) {
            return switch (field.toUpperCase(Locale.ROOT)) {
                case "AL" -> ALWAYS;
                case "ER" -> ON_ERROR;
                case "SU" -> ON_SUCCESS;
                default -> NEVER;
            };
        }

        boolean appliesTo(boolean success) {
            return this == ALWAYS || this == (success ? ON_SUCCESS : ON_ERROR);
        }
    }

    /** The identity of the message, the same in all fronts. */
    String identity() {
        return new Identity(practice, key).text();
    }

    /**
     * The idempotency key sent to the partner. It includes the practice, as control ids of different practices may be
     * equal and a partner drops what it takes for a repeat.
     */
    String deliveryKey() {
        return Hl7Reader.toToken(practice + '.' + key, 128);
    }

    /** True in original mode, with only a final acknowledgement: MSH-15 and MSH-16 are both absent. */
    static boolean isOriginalMode(Header header) {
        return isAbsent(header.field(15)) && isAbsent(header.field(16));
    }

    private static boolean isAbsent(String field) {
        return field.isEmpty() || field.equals("\"\"");
    }

    /** True if the sender wants an accept acknowledgement for this outcome. */
    static boolean wantsAcceptAcknowledgement(Header header, boolean success) {
        return !isOriginalMode(header)
                && AcknowledgementCondition.of(header.field(15)).appliesTo(success);
    }

    /** True if the sender wants an application acknowledgement for this outcome. */
    static boolean wantsApplicationAcknowledgement(Header header, boolean success) {
        return isOriginalMode(header)
                || AcknowledgementCondition.of(header.field(16)).appliesTo(success);
    }

    /** True if application acknowledgements may be sent on any connection, to be matched by control id. */
    static boolean wantsLaterAcknowledgements(Header header) {
        return !isOriginalMode(header)
                && AcknowledgementCondition.of(header.field(16)) != AcknowledgementCondition.NEVER;
    }
}
