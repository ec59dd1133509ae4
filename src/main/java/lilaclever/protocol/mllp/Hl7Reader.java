package lilaclever.protocol.mllp;

import ca.uhn.hl7v2.HL7Exception;
import ca.uhn.hl7v2.preparser.PreParser;
import java.math.BigDecimal;
import java.time.DateTimeException;
import java.time.LocalDateTime;
import java.time.ZoneId;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.util.Base64;
import java.util.function.LongSupplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import lilaclever.identity.Fingerprint;
import lilaclever.protocol.mllp.Hl7Fault.Code;
import lilaclever.protocol.mllp.MllpSettings.Field;
import lilaclever.routing.ClassVersion;
import lilaclever.routing.MessageClasses;

/**
 * Reads the parts of HL7 messages that forwarding needs: the header and the fields named in the settings. The rest is
 * checked for content that must not be forwarded but is not parsed, so a message of 64 KiB costs little more than a
 * small one.
 */
final class Hl7Reader {
    private static final Pattern SECONDS = Pattern.compile("[0-9]{1,7}(\\.[0-9]{1,6})?");
    private static final Pattern TIMESTAMP = Pattern.compile("([0-9]{14})(?:\\.([0-9]{1,4}))?([+-][0-9]{4})?");
    private static final DateTimeFormatter TIMESTAMP_FORMAT = DateTimeFormatter.ofPattern("yyyyMMddHHmmss");
    private static final long MAX_BUDGET_MICROS = 3_600_000_000L;
    private static final int MAX_KEY_LENGTH = 200;

    private final MllpSettings settings;
    private final MessageClasses classes;
    private final LongSupplier monotonicMicros, wallMicros;

    /** The clocks, monotonic and wall, are those of the event loop, in microseconds. */
    Hl7Reader(MllpSettings settings, MessageClasses classes, LongSupplier monotonicMicros, LongSupplier wallMicros) {
        this.settings = settings;
        this.classes = classes;
        this.monotonicMicros = monotonicMicros;
        this.wallMicros = wallMicros;
    }

    /** Maps a message to a request; throws if it can't be accepted. */
    Request read(Header header, byte[] message) throws Hl7Fault {
        header.validate();
        checkVersionAndProcessingId(header);
        checkSegments(header, message);
        String practice = practice(header);
        String event = header.firstComponent(9) + '^' + header.secondComponent(9);
        ClassVersion messageClass = messageClass(event, header.firstComponent(9));
        Integer destination =
                MllpSettings.find(settings.destinations(), header.firstComponent(5), '|', header.firstComponent(6));
        if (destination == null) {
            throw new Hl7Fault(Code.UNKNOWN_KEY, "MSH", 5, "no such receiver");
        }
        return new Request(
                header,
                message,
                practice,
                key(header, message),
                messageClass,
                destination,
                budgetMicros(header, message, messageClass.definition().deadlineMicros()),
                monotonicMicros.getAsLong());
    }

    /** The class that the event's messages have now; a class that was removed makes its events unknown ones. */
    private ClassVersion messageClass(String event, String messageCode) throws Hl7Fault {
        String className =
                settings.events().getOrDefault(event, settings.events().get(messageCode));
        ClassVersion version = classes.current(className);
        if (version == null && settings.acceptsUnknownEvents()) {
            version = classes.unsafe();
        }
        if (version == null) {
            throw new Hl7Fault(Code.UNSUPPORTED_EVENT, "MSH", 9, "no class for " + event);
        }
        return version;
    }

    private void checkVersionAndProcessingId(Header header) throws Hl7Fault {
        if (!settings.versions().contains(header.firstComponent(12))) {
            throw new Hl7Fault(
                    Code.UNSUPPORTED_VERSION,
                    "MSH",
                    12,
                    "versions read here are " + String.join(", ", settings.versions()));
        }
        if (!settings.processingIds().contains(header.firstComponent(11))) {
            throw new Hl7Fault(
                    Code.UNSUPPORTED_PROCESSING_ID,
                    "MSH",
                    11,
                    "processing ids taken here are " + String.join(", ", settings.processingIds()));
        }
    }

    /**
     * Checks that segments end in CR, have names and contain no control characters: anything that a partner could
     * interpret in two ways is not forwarded.
     */
    private static void checkSegments(Header header, byte[] message) throws Hl7Fault {
        int start = 0;
        for (int i = 0; i <= message.length; i++) {
            byte b = i < message.length ? message[i] : (byte) '\r';
            if (b == '\r') {
                checkSegment(header, message, start, i);
                start = i + 1;
            } else if (b >= 0 && b < ' ' && b != '\n' && b != '\t') {
                throw new Hl7Fault(Code.DATA_TYPE, segmentName(message, start, i), 0, "a control character");
            }
        }
    }

    private static void checkSegment(Header header, byte[] message, int from, int to) throws Hl7Fault {
        int start = from;
        if (start < to && message[start] == '\n') {
            start++; // some senders end segments in CR LF
        }
        if (start == to) {
            return;
        }
        boolean validName = to - start >= 3
                && isLetter(message[start])
                && isLetterOrDigit(message[start + 1])
                && isLetterOrDigit(message[start + 2])
                && (to - start == 3 || message[start + 3] == (byte) header.separator());
        if (!validName
                || start > 0 && message[start] == 'M' && message[start + 1] == 'S' && message[start + 2] == 'H') {
            throw new Hl7Fault(
                    Code.SEGMENT_SEQUENCE,
                    segmentName(message, start, to),
                    0,
                    validName ? "a second header" : "a segment without a name");
        }
        for (int i = start; i < to; i++) {
            if (message[i] == '\n') {
                throw new Hl7Fault(
                        Code.SEGMENT_SEQUENCE, segmentName(message, start, to), 0, "segments end in CR, not in LF");
            }
        }
    }

    private static String segmentName(byte[] message, int from, int to) {
        StringBuilder name = new StringBuilder();
        for (int i = from; i < Math.min(to, from + 3); i++) {
            name.append(isLetterOrDigit(message[i]) ? (char) message[i] : '?');
        }
        return name.length() == 3 ? name.toString() : "";
    }

    private static boolean isLetter(byte b) {
        return b >= 'A' && b <= 'Z';
    }

    private static boolean isLetterOrDigit(byte b) {
        return isLetter(b) || b >= '0' && b <= '9';
    }

    private String practice(Header header) throws Hl7Fault {
        String configured =
                MllpSettings.find(settings.practices(), header.firstComponent(3), '|', header.firstComponent(4));
        if (configured != null) {
            return configured;
        }
        if (!settings.anySender()) {
            throw new Hl7Fault(Code.UNKNOWN_KEY, "MSH", 3, "no such sender");
        }
        String sender = header.firstComponent(3) + '|' + header.firstComponent(4);
        if (sender.length() == 1) {
            throw new Hl7Fault(Code.REQUIRED_FIELD_MISSING, "MSH", 3, "no sender");
        }
        return toToken(sender.replace('/', '%'), 64); // names of practices contain no '/'
    }

    private String key(Header header, byte[] message) throws Hl7Fault {
        Field field = settings.keyField();
        String value = field.path().equals("MSH-10") ? header.field(10) : fieldValue(header, message, field);
        if (value.isEmpty()) {
            throw missingField(field);
        }
        if (value.length() > MAX_KEY_LENGTH) {
            throw new Hl7Fault(Code.DATA_TYPE, field.segment(), field.number(), "longer than " + MAX_KEY_LENGTH);
        }
        return toToken(value, MAX_KEY_LENGTH);
    }

    /**
     * Turns a value into a token that is valid in the journal and in an HTTP header. Equal values give equal tokens; a
     * value that is already valid is returned unchanged, any other is replaced by its hash.
     */
    static String toToken(String value, int maxLength) {
        if (value.length() <= maxLength && value.chars().allMatch(c -> c > ' ' && c < 0x7f && c != '%')) {
            return value;
        }
        Fingerprint fingerprint = Fingerprint.ofToken(value);
        return "%"
                + Base64.getUrlEncoder()
                        .withoutPadding()
                        .encodeToString(java.nio.ByteBuffer.allocate(16)
                                .putLong(fingerprint.high())
                                .putLong(fingerprint.low())
                                .array());
    }

    private static Hl7Fault missingField(Field field) {
        return new Hl7Fault(Code.REQUIRED_FIELD_MISSING, field.segment(), field.number(), "a field that is needed");
    }

    /**
     * The unescaped value of a field, or an empty string if it is missing. The HL7 library parses only the header and
     * the segment with the field.
     */
    private static String fieldValue(Header header, byte[] message, Field field) throws Hl7Fault {
        String segment = findSegment(header, message, field.segment());
        if (segment == null) {
            return "";
        }
        try {
            String value = PreParser.getFields(
                    "MSH" + header.separator() + header.encodingCharacters() + header.separator()
                            + "A" + header.separator() + "B" + header.separator() + "C" + header.separator() + "D"
                            + String.valueOf(header.separator()).repeat(6) + header.firstComponent(12) + '\r' + segment,
                    field.path())[0];
            return value == null ? "" : Acknowledgements.ESCAPING.unescape(value, Acknowledgements.delimiters(header));
        } catch (HL7Exception e) {
            throw new Hl7Fault(Code.DATA_TYPE, field.segment(), field.number(), "can't be read");
        }
    }

    /** The first segment with this name, or null. */
    private static String findSegment(Header header, byte[] message, String name) {
        for (int start = 0; start < message.length; ) {
            int end = start;
            while (end < message.length && message[end] != '\r') {
                end++;
            }
            int from = start < end && message[start] == '\n' ? start + 1 : start;
            if (end - from >= 3
                    && message[from] == name.charAt(0)
                    && message[from + 1] == name.charAt(1)
                    && message[from + 2] == name.charAt(2)) {
                return new String(message, from, end - from, header.charset());
            }
            start = end + 1;
        }
        return null;
    }

    private long budgetMicros(Header header, byte[] message, long defaultMicros) throws Hl7Fault {
        Field field = settings.deadlineField();
        String value = field == null ? "" : fieldValue(header, message, field);
        if (value.isEmpty()) {
            return defaultMicros;
        }
        if (SECONDS.matcher(value).matches()) {
            return Math.min(
                    MAX_BUDGET_MICROS, new BigDecimal(value).movePointRight(6).longValue());
        }
        Matcher matcher = TIMESTAMP.matcher(value);
        try {
            if (matcher.matches()) {
                LocalDateTime time = LocalDateTime.parse(matcher.group(1), TIMESTAMP_FORMAT);
                ZoneId zone = matcher.group(3) == null ? ZoneId.systemDefault() : ZoneOffset.of(matcher.group(3));
                long deadlineMicros = time.atZone(zone).toInstant().toEpochMilli() * 1000;
                return Math.max(0, Math.min(MAX_BUDGET_MICROS, deadlineMicros - wallMicros.getAsLong()));
            }
        } catch (DateTimeException e) {
            // reported below
        }
        throw new Hl7Fault(Code.DATA_TYPE, field.segment(), field.number(), "neither seconds nor a time");
    }
}
