package lilaclever.protocol.mllp;

import ca.uhn.hl7v2.parser.DefaultEscaping;
import ca.uhn.hl7v2.parser.EncodingCharacters;
import ca.uhn.hl7v2.parser.Escaping;
import java.time.ZoneId;
import java.time.ZonedDateTime;
import java.time.format.DateTimeFormatter;
import lilaclever.routing.FinalStatus;

/**
 * Writes acknowledgements: the sender's own header turned round, in its delimiters, version and characters, MSA, and
 * where something is at fault ERR. Up to 2.4 the place and the code stand together in ERR-1, from 2.5 on in fields of
 * their own, with a code and seconds in ERR-5 and ERR-6 that say when to come back.
 */
final class Acknowledgements {
    /** Codes of HL7's table 0008. */
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

    /** {@code life} makes control ids differ from those of earlier lives. */
    Acknowledgements(String life) {
        this.controlIdPrefix = life;
    }

    /** An acknowledgement that all is well. */
    byte[] positive(Code code, Header to) {
        return build(code, to, "", "");
    }

    /** The message can't be taken on as it is. */
    byte[] fault(Code code, Header to, Hl7Fault fault) {
        String text = escapeText(to, fault.getMessage());
        return build(code, to, text, errSegment(to, fault.segment(), fault.field(), fault.code(), "", "", text));
    }

    /** The message was refused, and nothing of it was done: it may come again after so long. */
    byte[] retryLater(Code code, Header to, FinalStatus verdict) {
        String seconds = formatSeconds(verdict.retryAfterMicros());
        String text = escapeText(
                to,
                (verdict.detail().isEmpty() ? "not done" : verdict.detail())
                        + (seconds.isEmpty() ? "; come again" : "; come again in " + seconds + " s"));
        return build(code, to, text, errSegment(to, "", 0, Hl7Fault.Code.INTERNAL_ERROR, "come-again", seconds, text));
    }

    /** The message was taken on and is not known to be done: it may have been. */
    byte[] notConfirmed(Code code, Header to, FinalStatus verdict) {
        String text = escapeText(
                to, "not confirmed, so perhaps done" + (verdict.detail().isEmpty() ? "" : ": " + verdict.detail()));
        return build(code, to, text, errSegment(to, "", 0, Hl7Fault.Code.INTERNAL_ERROR, "not-confirmed", "", text));
    }

    private static String formatSeconds(long micros) {
        return micros <= 0
                ? ""
                : java.math.BigDecimal.valueOf((micros + 999) / 1000, 3)
                        .stripTrailingZeros()
                        .toPlainString();
    }

    private static String escapeText(Header to, String plain) {
        return ESCAPING.escape(plain.replaceAll("[\\p{Cntrl}]", " "), delimiters(to));
    }

    static EncodingCharacters delimiters(Header of) {
        return new EncodingCharacters(of.separator(), of.encodingCharacters().substring(0, 4));
    }

    private static boolean isVersionAtLeast25(Header to) {
        return to.firstComponent(12).compareTo("2.5") >= 0;
    }

    private byte[] build(Code code, Header to, String text, String err) {
        char s = to.separator();
        char c = to.encodingCharacters().charAt(0);
        String version = to.field(12);
        String type = "ACK" + (to.secondComponent(9).isEmpty() ? "" : c + to.secondComponent(9))
                + (to.secondComponent(9).isEmpty() || to.firstComponent(12).equals("2.3") ? "" : c + "ACK");
        String[] msh = {
            "MSH",
            to.encodingCharacters(),
            to.field(5),
            to.field(6),
            to.field(3),
            to.field(4),
            TIMESTAMP_FORMAT.format(ZonedDateTime.now(ZoneId.systemDefault())),
            "",
            type,
            controlIdPrefix + nextControlIdNumber++,
            to.field(11),
            version,
            "",
            "",
            Request.isOriginalMode(to) ? "" : "NE",
            Request.isOriginalMode(to) ? "" : "NE",
            to.field(17),
            to.field(18)
        };
        StringBuilder all = new StringBuilder(256).append(joinFields(s, msh)).append('\r');
        all.append(joinFields(s, "MSA", code.name(), to.field(10), text)).append('\r').append(err);
        return replaceControlCharacters(all).getBytes(to.charset());
    }

    /** What a sender wrote into its header comes back to it, but nothing that its reader could take for an end. */
    private static String replaceControlCharacters(StringBuilder all) {
        for (int i = 0; i < all.length(); i++) {
            char c = all.charAt(i);
            if (c < ' ' && c != '\r' || c == 0x7f) {
                all.setCharAt(i, '?');
            }
        }
        return all.toString();
    }

    private static String errSegment(
            Header to,
            String segment,
            int field,
            Hl7Fault.Code code,
            String application,
            String parameter,
            String text) {
        char s = to.separator();
        String c = String.valueOf(to.encodingCharacters().charAt(0));
        String place = segment.isEmpty()
                ? ""
                : segment + c + (segment.equals("MSH") ? "1" : "") + (field > 0 ? c + field : "");
        String error = code.number + c + code.text + c + "HL70357";
        if (isVersionAtLeast25(to)) {
            return joinFields(s, "ERR", "", place, error, "E", application, parameter, "", text) + '\r';
        }
        String sub = to.encodingCharacters().substring(3, 4);
        String[] parts = {
            segment,
            segment.equals("MSH") ? "1" : "",
            field > 0 ? Integer.toString(field) : "",
            code.number + sub + code.text + sub + "HL70357"
        };
        return joinFields(s, "ERR", String.join(c, parts)) + '\r';
    }

    /** The fields with the separator between them, none at the end that is empty. */
    private static String joinFields(char separator, String... fields) {
        int last = fields.length;
        while (last > 0 && fields[last - 1].isEmpty()) {
            last--;
        }
        StringBuilder all = new StringBuilder();
        for (int i = 0; i < last; i++) {
            if (i > 0) {
                all.append(separator);
            }
            all.append(fields[i]);
        }
        return all.toString();
    }
}
