package lilaclever.protocol.http;

import java.math.BigDecimal;
import java.math.RoundingMode;
import java.util.regex.Pattern;

/** Parsers for numbers and identifiers in untrusted text. */
final class HeaderValues {
    /** Limited before it is evaluated: a short text such as 1e999999999 is a number with a billion digits. */
    private static final Pattern DECIMAL = Pattern.compile("[0-9]{1,9}(\\.[0-9]{0,12})?");
    /** Of any length: without an exponent, the reader's limit on the size of a head is sufficient. */
    private static final Pattern UNBOUNDED_DECIMAL = Pattern.compile("[0-9]+(\\.[0-9]*)?");

    private static final Pattern WHOLE_NUMBER = Pattern.compile("[0-9]{1,9}");
    /** Ids and keys are written to heads, to space-separated lines and to the journal. */
    private static final Pattern IDENTIFIER = Pattern.compile("[!-~]{1,128}");

    private HeaderValues() {}

    /** Parses a non-negative decimal and shifts its point to the right; returns null if the text is not one. */
    static Long shiftedDecimal(String text, int places) {
        return DECIMAL.matcher(text).matches()
                ? new BigDecimal(text).movePointRight(places).longValue()
                : null;
    }

    /** The same, rounded up and limited to {@code max}, for text of any length; 0 if the text is not such a number. */
    static long shiftedDecimalUpTo(String text, int places, long max) {
        return UNBOUNDED_DECIMAL.matcher(text).matches()
                ? new BigDecimal(text)
                        .movePointRight(places)
                        .setScale(0, RoundingMode.CEILING)
                        .min(BigDecimal.valueOf(max))
                        .longValue()
                : 0;
    }

    /** Parses a non-negative whole number; returns null if the text is not one. */
    static Integer wholeNumber(String text) {
        return WHOLE_NUMBER.matcher(text).matches() ? Integer.valueOf(text) : null;
    }

    /** Whether the text is usable as an id or a key. */
    static boolean isIdentifier(String text) {
        return IDENTIFIER.matcher(text).matches();
    }
}
