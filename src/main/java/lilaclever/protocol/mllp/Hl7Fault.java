package lilaclever.protocol.mllp;

/** Why a message is not taken on: a code of HL7's table 0357, and the segment and field at fault. */
final class Hl7Fault extends Exception {
    private static final long serialVersionUID = 1L;

    /** Codes of HL7's table 0357, with its texts. */
    enum Code {
        SEGMENT_SEQUENCE(100, "Segment sequence error"),
        REQUIRED_FIELD_MISSING(101, "Required field missing"),
        DATA_TYPE(102, "Data type error"),
        TABLE_VALUE_NOT_FOUND(103, "Table value not found"),
        UNSUPPORTED_EVENT(201, "Unsupported event code"),
        UNSUPPORTED_PROCESSING_ID(202, "Unsupported processing id"),
        UNSUPPORTED_VERSION(203, "Unsupported version id"),
        UNKNOWN_KEY(204, "Unknown key identifier"),
        DUPLICATE_KEY(205, "Duplicate key identifier"),
        INTERNAL_ERROR(207, "Application internal error");

        final int number;
        final String text;

        Code(int number, String text) {
            this.number = number;
            this.text = text;
        }
    }

    private final Code code;
    private final String segment;
    private final int field;

    /** {@code field} 0: the segment as a whole; {@code segment} empty: the message as a whole. */
    Hl7Fault(Code code, String segment, int field, String detail) {
        super(detail);
        this.code = code;
        this.segment = segment;
        this.field = field;
    }

    Code code() {
        return code;
    }

    String segment() {
        return segment;
    }

    int field() {
        return field;
    }
}
