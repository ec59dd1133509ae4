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
    private static final DateTimeFormatter TIME = DateTimeFormatter.ofPattern("yyyyMMddHHmmssZ");

    private final String life;
    private long count;

    /** {@code life} makes control ids differ from those of earlier lives. */
    Acknowledgements(String life) {
        this.life = life;
    }

    /** An acknowledgement that all is well. */
    byte[] positive(Code code, Header to) {
        return of(code, to, "", "");
    }

    /** The message can't be taken on as it is. */
    byte[] fault(Code code, Header to, Hl7Fault fault) {
        String text = text(to, fault.getMessage());
        return of(code, to, text, err(to, fault.segment(), fault.field(), fault.code(), "", "", text));
    }

    /** The message was refused, and nothing of it was done: it may come again after so long. */
    byte[] retryLater(Code code, Header to, FinalStatus verdict) {
        String seconds = seconds(verdict.retryAfterMicros());
        String text = text(
                to,
                (verdict.detail().isEmpty() ? "not done" : verdict.detail())
                        + (seconds.isEmpty() ? "; come again" : "; come again in " + seconds + " s"));
        return of(code, to, text, err(to, "", 0, Hl7Fault.Code.INTERNAL, "come-again", seconds, text));
    }

    /** The message was taken on and is not known to be done: it may have been. */
    byte[] notConfirmed(Code code, Header to, FinalStatus verdict) {
        String text = text(
                to, "not confirmed, so perhaps done" + (verdict.detail().isEmpty() ? "" : ": " + verdict.detail()));
        return of(code, to, text, err(to, "", 0, Hl7Fault.Code.INTERNAL, "not-confirmed", "", text));
    }

    private static String seconds(long micros) {
        return micros <= 0
                ? ""
                : java.math.BigDecimal.valueOf((micros + 999) / 1000, 3)
                        .stripTrailingZeros()
                        .toPlainString();
    }

    private static String text(Header to, String plain) {
        return ESCAPING.escape(plain.replaceAll("[\\p{Cntrl}]", " "), delimiters(to));
    }

    static EncodingCharacters delimiters(Header of) {
        return new EncodingCharacters(of.separator(), of.encoding().substring(0, 4));
    }

    private static boolean isAtLeast25(Header to) {
        return to.first(12).compareTo("2.5") >= 0;
    }

    private byte[] of(Code code, Header to, String text, String err) {
        char s = to.separator();
        char c = to.encoding().charAt(0);
        String version = to.field(12);
        String type = "ACK" + (to.second(9).isEmpty() ? "" : c + to.second(9))
                + (to.second(9).isEmpty() || to.first(12).equals("2.3") ? "" : c + "ACK");
        String[] msh = {
            "MSH",
            to.encoding(),
            to.field(5),
            to.field(6),
            to.field(3),
            to.field(4),
            TIME.format(ZonedDateTime.now(ZoneId.systemDefault())),
            "",
            type,
            life + count++,
            to.field(11),
            version,
            "",
            "",
            Request.isOriginal(to) ? "" : "NE",
            Request.isOriginal(to) ? "" : "NE",
            to.field(17),
            to.field(18)
        };
        StringBuilder all = new StringBuilder(256).append(join(s, msh)).append('\r');
        all.append(join(s, "MSA", code.name(), to.field(10), text)).append('\r').append(err);
        return printable(all).getBytes(to.charset());
    }

    /** What a sender wrote into its header comes back to it, but nothing that its reader could take for an end. */
    private static String printable(StringBuilder all) {
        for (int i = 0; i < all.length(); i++) {
            char c = all.charAt(i);
            if (c < ' ' && c != '\r' || c == 0x7f) {
                all.setCharAt(i, '?');
            }
        }
        return all.toString();
    }

    private static String err(
            Header to,
            String segment,
            int field,
            Hl7Fault.Code code,
            String application,
            String parameter,
            String text) {
        char s = to.separator();
        String c = String.valueOf(to.encoding().charAt(0));
        String place = segment.isEmpty()
                ? ""
                : segment + c + (segment.equals("MSH") ? "1" : "") + (field > 0 ? c + field : "");
        String error = code.number + c + code.text + c + "HL70357";
        if (isAtLeast25(to)) {
            return join(s, "ERR", "", place, error, "E", application, parameter, "", text) + '\r';
        }
        String sub = to.encoding().substring(3, 4);
        String[] parts = {
            segment,
            segment.equals("MSH") ? "1" : "",
            field > 0 ? Integer.toString(field) : "",
            code.number + sub + code.text + sub + "HL70357"
        };
        return join(s, "ERR", String.join(c, parts)) + '\r';
    }

    /** The fields with the separator between them, none at the end that is empty. */
    private static String join(char separator, String... fields) {
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
