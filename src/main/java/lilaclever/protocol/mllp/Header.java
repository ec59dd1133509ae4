package lilaclever.protocol.mllp;

import java.nio.charset.Charset;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Map;
import lilaclever.protocol.mllp.Hl7Fault.Code;

/** The MSH segment of a message: the fields as sent, in the sender's character set and delimiters. */
final class Header {
    private static final int MAX_HEADER_BYTES = 4096, MIN_FIELDS = 12, MAX_FIELDS = 40;
    /** The supported character sets of HL7 table 0211: single-byte ones and UTF-8. */
    private static final Map<String, Charset> CHARSETS = Map.of(
            "",
            StandardCharsets.ISO_8859_1,
            "ASCII",
            StandardCharsets.ISO_8859_1,
            "8859/1",
            StandardCharsets.ISO_8859_1,
            "8859/2",
            Charset.forName("ISO-8859-2"),
            "8859/15",
            Charset.forName("ISO-8859-15"),
            "UNICODE",
            StandardCharsets.UTF_8,
            "UNICODE UTF-8",
            StandardCharsets.UTF_8);

    private final char separator;
    private final String[] fields;
    private final Charset charset;

    private Header(char separator, String[] fields, Charset charset) {
        this.separator = separator;
        this.fields = fields;
        this.charset = charset;
    }

    /** A header for the answer to input without a readable header. */
    static Header placeholder() {
        return new Header('|', split("MSH|^~\\&||||||||||2.5", '|'), StandardCharsets.ISO_8859_1);
    }

    /** The bytes of the message up to the end of its header, from which {@link #read} reads the same header. */
    static byte[] segment(byte[] message) {
        int end = 0;
        while (end < message.length && message[end] != '\r') {
            end++;
        }
        return Arrays.copyOf(message, Math.min(message.length, end + 1));
    }

    /** Reads the header of a message, leniently: it checks only what an answer to the sender depends on. */
    static Header read(byte[] message) throws Hl7Fault {
        if (message.length < 8 || message[0] != 'M' || message[1] != 'S' || message[2] != 'H') {
            throw new Hl7Fault(Code.SEGMENT_SEQUENCE, "MSH", 0, "the message does not begin with MSH");
        }
        int end = 0;
        while (end < message.length && message[end] != '\r' && end < MAX_HEADER_BYTES) {
            end++;
        }
        if (end == MAX_HEADER_BYTES) {
            throw new Hl7Fault(Code.DATA_TYPE, "MSH", 0, "a header of more than " + MAX_HEADER_BYTES + " bytes");
        }
        if (end < 8) {
            throw new Hl7Fault(Code.SEGMENT_SEQUENCE, "MSH", 0, "a header without fields");
        }
        String text = new String(message, 0, end, StandardCharsets.ISO_8859_1);
        char separator = text.charAt(3);
        if (Character.isLetterOrDigit(separator) || separator <= ' ' || separator == 0x7f) {
            throw new Hl7Fault(Code.DATA_TYPE, "MSH", 1, "not a field separator");
        }
        String[] rawFields = split(text, separator);
        if (rawFields.length > MAX_FIELDS) {
            throw new Hl7Fault(Code.DATA_TYPE, "MSH", MAX_FIELDS, "more than " + MAX_FIELDS + " fields");
        }
        if (rawFields[1].length() < 4
                || rawFields[1].chars().distinct().count() < rawFields[1].length()
                || rawFields[1].chars().anyMatch(c -> c <= ' ' || c == 0x7f || Character.isLetterOrDigit(c))) {
            throw new Hl7Fault(Code.DATA_TYPE, "MSH", 2, "not four different encoding characters");
        }
        String charsetName = rawFields.length > 17 ? split(rawFields[17], rawFields[1].charAt(1))[0] : "";
        Charset charset = CHARSETS.get(charsetName);
        return charset == null
                ? new Header(separator, rawFields, StandardCharsets.ISO_8859_1)
                : new Header(separator, split(new String(message, 0, end, charset), separator), charset);
    }

    private static String[] split(String text, char separator) {
        return text.split("\\" + separator, -1); // never a letter or digit, so the escape is literal
    }

    /** Checks the header itself; the answer to a fault found here can use the sender's header. */
    void validate() throws Hl7Fault {
        if (fields.length < MIN_FIELDS || field(12).isEmpty()) {
            throw new Hl7Fault(Code.REQUIRED_FIELD_MISSING, "MSH", 12, "no version");
        }
        for (int required : new int[] {9, 10, 11}) {
            if (field(required).isEmpty()) {
                throw new Hl7Fault(Code.REQUIRED_FIELD_MISSING, "MSH", required, "a field that is needed");
            }
        }
        if (!CHARSETS.containsKey(split(field(18), encodingCharacters().charAt(1))[0])) {
            throw new Hl7Fault(Code.TABLE_VALUE_NOT_FOUND, "MSH", 18, "a character set that is not read here");
        }
        if (Arrays.stream(fields).anyMatch(f -> f.chars().anyMatch(c -> c < ' ' || c == 0x7f))) {
            throw new Hl7Fault(Code.DATA_TYPE, "MSH", 0, "a control character");
        }
    }

    /** MSH-n as sent, or an empty string if it is missing. MSH-1 is the field separator itself. */
    String field(int n) {
        return n == 1 ? String.valueOf(separator) : n - 1 < fields.length ? fields[n - 1] : "";
    }

    char separator() {
        return separator;
    }

    /** The encoding characters: component, repetition, escape, subcomponent. */
    String encodingCharacters() {
        return field(2);
    }

    /** The first component of MSH-n. */
    String firstComponent(int n) {
        return split(field(n), encodingCharacters().charAt(0))[0];
    }

    /** The second component of MSH-n, or an empty string if it is missing. */
    String secondComponent(int n) {
        String[] parts = split(field(n), encodingCharacters().charAt(0));
        return parts.length > 1 ? parts[1] : "";
    }

    Charset charset() {
        return charset;
    }
}
