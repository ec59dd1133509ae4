package lilaclever.protocol.http;

import java.math.BigDecimal;
import java.math.RoundingMode;
import java.util.regex.Pattern;

/** Parsers for numbers and identifiers in untrusted text. */
final class Figures {
    /** Limited before it is evaluated: a short text such as 1e999999999 is a number with a billion digits. */
    private static final Pattern DECIMAL = Pattern.compile("[0-9]{1,9}(\\.[0-9]{0,12})?");
    /** Of any length: without an exponent, the reader's limit on the size of a head is sufficient. */
    private static final Pattern LONG_DECIMAL = Pattern.compile("[0-9]+(\\.[0-9]*)?");

    private static final Pattern WHOLE = Pattern.compile("[0-9]{1,9}");
    /** Ids and keys are written to heads, to space-separated lines and to the journal. */
    private static final Pattern WORD = Pattern.compile("[!-~]{1,128}");

    private Figures() {}

    /** Parses a non-negative decimal and shifts its point to the right; returns null if the text is not one. */
    static Long decimal(String text, int places) {
        return DECIMAL.matcher(text).matches()
                ? new BigDecimal(text).movePointRight(places).longValue()
                : null;
    }

    /** The same, rounded up and limited to {@code max}, for text of any length; 0 if the text is not such a number. */
    static long atLeast(String text, int places, long most) {
        return LONG_DECIMAL.matcher(text).matches()
                ? new BigDecimal(text)
                        .movePointRight(places)
                        .setScale(0, RoundingMode.CEILING)
                        .min(BigDecimal.valueOf(most))
                        .longValue()
                : 0;
    }

    /** Parses a non-negative whole number; returns null if the text is not one. */
    static Integer whole(String text) {
        return WHOLE.matcher(text).matches() ? Integer.valueOf(text) : null;
    }

    /** Whether the text is usable as an id or a key. */
    static boolean isWord(String text) {
        return WORD.matcher(text).matches();
    }
}
