package lilaclever.protocol.mllp;

import ca.uhn.hl7v2.parser.DefaultEscaping;
import ca.uhn.hl7v2.parser.EncodingCharacters;
import ca.uhn.hl7v2.parser.Escaping;
import java.time.ZoneId;
import java.time.ZonedDateTime;
import java.time.format.DateTimeFormatter;
import lilaclever.routing.FinalStatus;

/**
 * Writes acknowledgements: the sender's header with sender and receiver swapped, in its delimiters, version and
 * character set, then MSA, and ERR if there is an error. Up to version 2.4 ERR-1 holds both location and code. From 2.5
 * on they have fields of their own, and ERR-5 and ERR-6 hold an application code and the seconds to wait for a retry.
 */
final class Acknowledgements {
    /** Acknowledgement codes of HL7 table 0008; the names are written to MSA-1. */
    enum Code {
        AA,
        AE,
        AR,
        CA,
        CE,
        CR
    }

    static final Escaping ESCAPING = new DefaultEscaping();
    private static final DateTimeFormatter TIMESTAMP_FORMAT = DateTimeFormatter.ofPattern("yyyyMMddHHmmssZ");

    private final String controlIdPrefix;
    private long nextControlIdNumber;

    /** {@code controlIdPrefix} makes control ids differ from those of earlier process runs. */
    Acknowledgements(String controlIdPrefix) {
        this.controlIdPrefix = controlIdPrefix;
    }

    /** A positive acknowledgement. */
    byte[] positive(Code code, Header requestHeader) {
        return build(code, requestHeader, "", "");
    }

    /** Rejects a message that can't be accepted as it is. */
    byte[] fault(Code code, Header requestHeader, Hl7Fault fault) {
        String text = escapeText(requestHeader, fault.getMessage());
        return build(
                code,
                requestHeader,
                text,
                errSegment(requestHeader, fault.segment(), fault.field(), fault.code(), "", "", text));
    }

    /** The message was refused without any effect; the client may retry after the delay in the final status. */
    byte[] retryLater(Code code, Header requestHeader, FinalStatus finalStatus) {
        String seconds = formatSeconds(finalStatus.retryAfterMicros());
        String text = escapeText(
                requestHeader,
                (finalStatus.detail().isEmpty() ? "not done" : finalStatus.detail())
                        + (seconds.isEmpty() ? "; come again" : "; come again in " + seconds + " s"));
        return build(
                code,
                requestHeader,
                text,
                errSegment(requestHeader, "", 0, Hl7Fault.Code.INTERNAL_ERROR, "come-again", seconds, text));
    }

    /** The message was accepted, but its delivery is not confirmed; it may have happened. */
    byte[] notConfirmed(Code code, Header requestHeader, FinalStatus finalStatus) {
        String text = escapeText(
                requestHeader,
                "not confirmed, so perhaps done" + (finalStatus.detail().isEmpty() ? "" : ": " + finalStatus.detail()));
        return build(
                code,
                requestHeader,
                text,
                errSegment(requestHeader, "", 0, Hl7Fault.Code.INTERNAL_ERROR, "not-confirmed", "", text));
    }

    private static String formatSeconds(long micros) {
        return micros <= 0
                ? ""
                : java.math.BigDecimal.valueOf((micros + 999) / 1000, 3)
                        .stripTrailingZeros()
                        .toPlainString();
    }

    private static String escapeText(Header requestHeader, String message) {
        return ESCAPING.escape(message.replaceAll("[\\p{Cntrl}]", " "), delimiters(requestHeader));
    }

    static EncodingCharacters delimiters(Header header) {
        return new EncodingCharacters(
                header.separator(), header.encodingCharacters().substring(0, 4));
    }

    private static boolean isVersionAtLeast25(Header requestHeader) {
        return requestHeader.firstComponent(12).compareTo("2.5") >= 0;
    }

    private byte[] build(Code code, Header requestHeader, String text, String err) {
        char separator = requestHeader.separator();
        char componentSeparator = requestHeader.encodingCharacters().charAt(0);
        String version = requestHeader.field(12);
        String type = "ACK"
                + (requestHeader.secondComponent(9).isEmpty()
                        ? ""
                        : componentSeparator + requestHeader.secondComponent(9))
                + (requestHeader.secondComponent(9).isEmpty()
                                || requestHeader.firstComponent(12).equals("2.3")
                        ? ""
                        : componentSeparator + "ACK");
        String[] msh = {
            "MSH",
            requestHeader.encodingCharacters(),
            requestHeader.field(5),
            requestHeader.field(6),
            requestHeader.field(3),
            requestHeader.field(4),
            TIMESTAMP_FORMAT.format(ZonedDateTime.now(ZoneId.systemDefault())),
            "",
            type,
            controlIdPrefix + nextControlIdNumber++,
            requestHeader.field(11),
            version,
            "",
            "",
            Request.isOriginalMode(requestHeader) ? "" : "NE",
            Request.isOriginalMode(requestHeader) ? "" : "NE",
            requestHeader.field(17),
            requestHeader.field(18)
        };
        StringBuilder acknowledgement =
                new StringBuilder(256).append(joinFields(separator, msh)).append('\r');
        acknowledgement
                .append(joinFields(separator, "MSA", code.name(), requestHeader.field(10), text))
                .append('\r')
                .append(err);
        return replaceControlCharacters(acknowledgement).getBytes(requestHeader.charset());
    }

    /** Replaces control characters copied from the sender's header, which could be taken for the end of the frame. */
    private static String replaceControlCharacters(StringBuilder text) {
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (c < ' ' && c != '\r' || c == 0x7f) {
                text.setCharAt(i, '?');
            }
        }
        return text.toString();
    }

    private static String errSegment(
            Header requestHeader,
            String segment,
            int field,
            Hl7Fault.Code code,
            String application,
            String parameter,
            String text) {
        char separator = requestHeader.separator();
        String componentSeparator =
                String.valueOf(requestHeader.encodingCharacters().charAt(0));
        String location = segment.isEmpty()
                ? ""
                : segment
                        + componentSeparator
                        + (segment.equals("MSH") ? "1" : "")
                        + (field > 0 ? componentSeparator + field : "");
        String error = code.number + componentSeparator + code.text + componentSeparator + "HL70357";
        if (isVersionAtLeast25(requestHeader)) {
            return joinFields(separator, "ERR", "", location, error, "E", application, parameter, "", text) + '\r';
        }
        String subcomponentSeparator = requestHeader.encodingCharacters().substring(3, 4);
        String[] parts = {
            segment,
            segment.equals("MSH") ? "1" : "",
            field > 0 ? Integer.toString(field) : "",
            code.number + subcomponentSeparator + code.text + subcomponentSeparator + "HL70357"
        };
        return joinFields(separator, "ERR", String.join(componentSeparator, parts)) + '\r';
    }

    /** Joins the fields with the separator, leaving out empty fields at the end. */
    private static String joinFields(char separator, String... fields) {
        int last = fields.length;
        while (last > 0 && fields[last - 1].isEmpty()) {
            last--;
        }
        StringBuilder joined = new StringBuilder();
        for (int i = 0; i < last; i++) {
            if (i > 0) {
                joined.append(separator);
            }
            joined.append(fields[i]);
        }
        return joined.toString();
    }
}
