package lilaclever.protocol.http;

import java.math.BigDecimal;
import java.math.RoundingMode;
import java.util.regex.Pattern;

/** Texts from outside: what may be a number or an id here. */
final class HeaderValues {
    /** Bounded before it is computed with: a short text such as 1e999999999 is a number of a billion digits. */
    private static final Pattern DECIMAL = Pattern.compile("[0-9]{1,9}(\\.[0-9]{0,12})?");
    /** Of any length: the reader's bound on a head is enough, as there is no exponent. */
    private static final Pattern UNBOUNDED_DECIMAL = Pattern.compile("[0-9]+(\\.[0-9]*)?");

    private static final Pattern WHOLE_NUMBER = Pattern.compile("[0-9]{1,9}");
    /** Ids and keys travel in heads, in lines with spaces between, and in the journal. */
    private static final Pattern IDENTIFIER = Pattern.compile("[!-~]{1,128}");

    private HeaderValues() {}

    /** A decimal, not negative, with the point moved to the right; null if it is none. */
    static Long shiftedDecimal(String text, int places) {
        return DECIMAL.matcher(text).matches()
                ? new BigDecimal(text).movePointRight(places).longValue()
                : null;
    }

    /** The same rounded up, and the given figure at the most, however long the text; 0 if it is no such number. */
    static long shiftedDecimalUpTo(String text, int places, long most) {
        return UNBOUNDED_DECIMAL.matcher(text).matches()
                ? new BigDecimal(text)
                        .movePointRight(places)
                        .setScale(0, RoundingMode.CEILING)
                        .min(BigDecimal.valueOf(most))
                        .longValue()
                : 0;
    }

    /** A whole number, not negative; null if it is none. */
    static Integer wholeNumber(String text) {
        return WHOLE_NUMBER.matcher(text).matches() ? Integer.valueOf(text) : null;
    }

    /** True if the text can be an id or a key. */
    static boolean isIdentifier(String text) {
        return IDENTIFIER.matcher(text).matches();
    }
}
