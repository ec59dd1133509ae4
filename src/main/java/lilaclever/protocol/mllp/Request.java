package lilaclever.protocol.mllp;

import java.util.Locale;
import lilaclever.identity.Identity;

/**
 * One message as a client handed it in, in our terms.
 *
 * @param practice whose it is
 * @param key what tells it from others of its practice
 * @param arrivedMicros when its last byte was read
 */
record Request(
        Header header,
        byte[] body,
        String practice,
        String key,
        int messageClass,
        int destination,
        long budgetMicros,
        long arrivedMicros) {
    /** When a sender wants an acknowledgement; HL7's table 0155. */
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

    /** The identity that it has on all ports. */
    String identity() {
        return new Identity(practice, key).text();
    }

    /**
     * The key for the partner: control ids are not each practice's own, and a partner drops what it takes for a repeat.
     */
    String deliveryKey() {
        return Hl7Reader.toToken(practice + '.' + key, 128);
    }

    /** True if the sender expects one acknowledgement, the final one: neither MSH-15 nor MSH-16 is there. */
    static boolean isOriginalMode(Header header) {
        return isAbsent(header.field(15)) && isAbsent(header.field(16));
    }

    private static boolean isAbsent(String field) {
        return field.isEmpty() || field.equals("\"\"");
    }

    /** True if an accept acknowledgement is wanted where the taking-on goes so. */
    static boolean wantsAcceptAcknowledgement(Header header, boolean success) {
        return !isOriginalMode(header)
                && AcknowledgementCondition.of(header.field(15)).appliesTo(success);
    }

    /** True if an application acknowledgement is wanted for an end of that sort. */
    static boolean wantsApplicationAcknowledgement(Header header, boolean success) {
        return isOriginalMode(header)
                || AcknowledgementCondition.of(header.field(16)).appliesTo(success);
    }

    /** True if application acknowledgements may come on whichever connection: the sender knows them by their id. */
    static boolean wantsLaterAcknowledgements(Header header) {
        return !isOriginalMode(header)
                && AcknowledgementCondition.of(header.field(16)) != AcknowledgementCondition.NEVER;
    }
}
