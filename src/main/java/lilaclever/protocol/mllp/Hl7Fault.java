package lilaclever.protocol.mllp;

/** The reason for rejecting a message: an error code of HL7 table 0357, and the segment and field with the error. */
final class Hl7Fault extends Exception {
    private static final long serialVersionUID = 1L;

    /** Error codes of HL7 table 0357 and their texts. */
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

    /** {@code field} 0 refers to the whole segment, an empty {@code segment} to the whole message. */
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
