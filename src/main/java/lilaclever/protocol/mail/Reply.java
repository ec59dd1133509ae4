package lilaclever.protocol.mail;

import java.util.regex.Matcher;
import java.util.regex.Pattern;
import lilaclever.routing.FinalStatus;

/** An SMTP or LMTP reply: a code, and a text that may begin with an enhanced status code. */
record Reply(int code, String text) {
    private static final Pattern ENHANCED_STATUS = Pattern.compile("^([245]\\.\\d{1,3}\\.\\d{1,3})\\b.*");
    private static final int MAX_TEXT_LENGTH = 400;

    boolean isPositive() {
        return code >= 200 && code < 400;
    }

    boolean isPermanentFailure() {
        return code >= 500;
    }

    String toLine() {
        return code + " " + text + "\r\n";
    }

    /** Parses one line of a reply; returns null if the line is not a reply. */
    static Reply parse(String line) {
        if (line.length() < 3 || !line.substring(0, 3).chars().allMatch(c -> c >= '0' && c <= '9')) {
            return null;
        }
        // A bare CR or LF must not get into our own replies and reports.
        String text = line.length() > 4 ? line.substring(4).replaceAll("\\p{Cntrl}", " ") : "";
        return new Reply(
                Integer.parseInt(line.substring(0, 3)),
                text.length() > MAX_TEXT_LENGTH ? text.substring(0, MAX_TEXT_LENGTH) : text);
    }

    /** The enhanced status code at the start of the text, or the generic one for the reply code. */
    String enhancedStatus() {
        Matcher matcher = ENHANCED_STATUS.matcher(text);
        return matcher.matches() ? matcher.group(1) : code / 100 + ".0.0";
    }

    /**
     * The final reply for one recipient. Refused: nothing was delivered, or a repeat is harmless, so the client may
     * retry. Failed without a permanent reply of the server: it may have been delivered, so the client must not retry.
     */
    static Reply of(FinalStatus finalStatus) {
        Reply serverReply = parse(finalStatus.detail());
        return switch (finalStatus.kind()) {
            case DELIVERED -> new Reply(250, "2.1.5 delivered");
            case REFUSED, GONE ->
                new Reply(
                        451,
                        "4.4.7 not delivered, come again"
                                + (finalStatus.retryAfterMicros() > 0
                                        ? " in " + (finalStatus.retryAfterMicros() / 1_000_000 + 1) + " s"
                                        : ""));
            case FAILED, CLASH ->
                serverReply != null && serverReply.isPermanentFailure()
                        ? serverReply
                        : new Reply(554, "5.4.0 delivery not confirmed; it may have happened");
        };
    }
}
