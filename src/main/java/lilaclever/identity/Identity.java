package lilaclever.identity;

/**
 * Identifies a message across all fronts and restarts: a practice and the key that the practice gave the message. The
 * core and the journal keep its text form. Mails have identities of their own, whose duplicates are never compared by
 * content.
 */
public record Identity(String practice, String key) {
    /** Not a prefix of any mail's identity: those begin with a Message-ID or with "report ". */
    private static final String PREFIX = "id/";

    private static final int MAX_PRACTICE_LENGTH = 64, MAX_KEY_LENGTH = 256;

    /** Validates both parts: no white space or control characters, and no '/' in the practice. */
    public Identity {
        check(practice, MAX_PRACTICE_LENGTH, "practice");
        check(key, MAX_KEY_LENGTH, "key");
        if (practice.indexOf('/') >= 0) {
            throw new IllegalArgumentException("practice: holds a '/'");
        }
    }

    private static void check(String part, int maxLength, String name) {
        if (part.isEmpty() || part.length() > maxLength) {
            throw new IllegalArgumentException(name + ": " + (part.isEmpty() ? "empty" : "longer than " + maxLength));
        }
        for (int i = 0; i < part.length(); i++) {
            if (part.charAt(i) <= ' ' || part.charAt(i) == 0x7f) {
                throw new IllegalArgumentException(name + ": holds white space or a control character");
            }
        }
    }

    /** The text form. */
    public String text() {
        return PREFIX + practice + '/' + key;
    }

    /** Parses the text form. */
    public static Identity parse(String text) {
        int end = isShared(text) ? text.indexOf('/', PREFIX.length()) : -1;
        if (end < 0) {
            throw new IllegalArgumentException("no identity: " + text);
        }
        return new Identity(text.substring(PREFIX.length(), end), text.substring(end + 1));
    }

    /** True for the text form of an identity of this class, which all fronts share and which requires equal content. */
    public static boolean isShared(String text) {
        return text != null && text.startsWith(PREFIX);
    }
}
