package lilaclever.protocol.mail;

import java.nio.charset.StandardCharsets;
import java.util.Locale;

/**
 * One mail for one recipient; encoded, it is the body of a core message. Its lines end in CRLF and are not dot-stuffed.
 */
record Mail(String reversePath, String recipient, String content) {
    byte[] encode() {
        return (reversePath + '\n' + recipient + '\n' + content).getBytes(StandardCharsets.ISO_8859_1);
    }

    static Mail decode(byte[] body) {
        String text = new String(body, StandardCharsets.ISO_8859_1);
        int firstNewline = text.indexOf('\n');
        int secondNewline = text.indexOf('\n', firstNewline + 1);
        if (firstNewline < 0 || secondNewline < 0) {
            throw new IllegalArgumentException("the body has no mail envelope");
        }
        return new Mail(
                text.substring(0, firstNewline),
                text.substring(firstNewline + 1, secondNewline),
                text.substring(secondNewline + 1));
    }

    /** The content as sent after DATA, dot-stuffed and terminated, so that none of its own lines can end it. */
    String dotStuffed() {
        String escaped = content.replace("\r\n.", "\r\n..");
        boolean endsWithNewline = escaped.isEmpty() || escaped.endsWith("\r\n");
        return (escaped.startsWith(".") ? "." : "") + escaped + (endsWithNewline ? "" : "\r\n") + ".\r\n";
    }

    /** The value of the first header field with this name, unfolded, or null. */
    static String header(String content, String name) {
        StringBuilder value = null;
        for (String line : content.split("\r\n", -1)) {
            if (line.isEmpty()) {
                break;
            }
            if (value != null) {
                if (line.charAt(0) != ' ' && line.charAt(0) != '\t') {
                    break;
                }
                value.append(' ').append(line.strip());
            } else if (line.toLowerCase(Locale.ROOT).startsWith(name.toLowerCase(Locale.ROOT) + ':')) {
                value = new StringBuilder(line.substring(name.length() + 1).strip());
            }
        }
        return value == null ? null : value.toString();
    }

    static boolean containsEightBit(String content) {
        return content.chars().anyMatch(c -> c > 127);
    }
}
