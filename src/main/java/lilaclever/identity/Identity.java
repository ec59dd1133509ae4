package lilaclever.identity;

/**
 * Who a message is, whichever port it comes on and in whichever life of the program: a practice and the key that the
 * practice gave it. Its text form is what the core and the journal keep. Mail has identities of its own, which are
 * never compared by content.
 */
public record Identity(String practice, String key) {
    /** No identity of a mail begins so: those begin with a Message-ID or with "report ". */
    private static final String PREFIX = "id/";

    private static final int MAX_PRACTICE_LENGTH = 64, MAX_KEY_LENGTH = 256;

    /** Checks both parts: words without white space or control characters, the practice without '/'. */
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

    /** The form that is kept. */
    public String text() {
        return PREFIX + practice + '/' + key;
    }

    /** The identity whose text it is. */
    public static Identity parse(String text) {
        int end = isShared(text) ? text.indexOf('/', PREFIX.length()) : -1;
        if (end < 0) {
            throw new IllegalArgumentException("no identity: " + text);
        }
        return new Identity(text.substring(PREFIX.length(), end), text.substring(end + 1));
    }

    /** True for the text of such an identity: what comes again under it must say the same. */
    public static boolean isShared(String text) {
        return text != null && text.startsWith(PREFIX);
    }
}
