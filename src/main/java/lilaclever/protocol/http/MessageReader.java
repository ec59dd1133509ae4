package lilaclever.protocol.http;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/**
 * Reads HTTP/1.1 messages from the bytes of one connection, one after the other. It is strict, since what two readers
 * can take in two ways may hide a message in another, and it holds no more than its bounds, whatever comes: a general
 * codec gathers what it is told to expect, passes over what it can't place, and keeps the status of a spoilt answer to
 * itself. Used from one thread at a time.
 */
final class MessageReader {
    private static final int MOST_HEAD = 8 * 1024, MOST_HEADERS = 64, MOST_LENGTH_DIGITS = 10, MOST_SIZE_DIGITS = 7;
    private static final String TOKEN_MARKS = "!#$%&'*+-.^_`|~";
    private static final byte[] NOTHING = {};

    /** What can't be read, or is too much; the status is what a client is told. */
    static final class Spoilt extends Exception {
        private static final long serialVersionUID = 1L;
        final int status;

        Spoilt(int status, String problem) {
            super(problem, null, false, false); // bad clients come fast: no stack trace for each
            this.status = status;
        }
    }

    private enum Part {
        FIRST,
        HEADER,
        FIXED,
        SIZE,
        CHUNK,
        CHUNK_END,
        TRAILER,
        REST,
        COMPLETE
    }

    private final boolean answers;
    private final int mostBody;
    /** Whether a body over the bound is taken up to it before the message is refused. */
    private final boolean readsUpToBound;

    private Part part = Part.FIRST;
    private byte[] line = NOTHING;
    private int lineLength;
    private int headLength;
    private byte[] body = NOTHING;
    private int bodyLength;
    private long left;
    private Map<String, String> headers = new LinkedHashMap<>();
    private String method, target, version;
    private int status;

    /** Reads answers or else requests, with bodies up to so many bytes. */
    MessageReader(boolean answers, int mostBody) {
        this(answers, mostBody, false);
    }

    /**
     * The same. {@code readsUpToBound}: a body that is longer is taken up to the bound and refused there, also where
     * its head announces the length; else it is refused from the head.
     */
    MessageReader(boolean answers, int mostBody, boolean readsUpToBound) {
        this.answers = answers;
        this.mostBody = mostBody;
        this.readsUpToBound = readsUpToBound;
    }

    /** Takes bytes up to the end of the message; gives where the next one begins. */
    int read(byte[] in, int from, int to) throws Spoilt {
        int at = from;
        while (at < to && part != Part.COMPLETE) {
            switch (part) {
                case FIXED, CHUNK -> {
                    int size = (int) Math.min(left, to - at);
                    gather(in, at, size);
                    at += size;
                    left -= size;
                    if (left == 0) {
                        part = part == Part.FIXED ? Part.COMPLETE : Part.CHUNK_END;
                    }
                }
                case REST -> {
                    gather(in, at, to - at);
                    at = to;
                }
                default -> at = readLine(in, at, to);
            }
        }
        return at;
    }

    private void gather(byte[] in, int from, int size) throws Spoilt {
        if (bodyLength + size > mostBody) {
            if (readsUpToBound) {
                append(in, from, mostBody - bodyLength);
            }
            throw new Spoilt(413, "a body of more than " + mostBody + " bytes");
        }
        append(in, from, size);
    }

    private void append(byte[] in, int from, int size) {
        if (bodyLength + size > body.length) {
            // It grows with what has come, not with what is announced.
            body = Arrays.copyOf(body, Math.min(mostBody, Math.max(2 * body.length, bodyLength + size)));
        }
        System.arraycopy(in, from, body, bodyLength, size);
        bodyLength += size;
    }

    /** Takes a line or a part of one; a line ends in CRLF, and neither of the two stands alone. */
    private int readLine(byte[] in, int from, int to) throws Spoilt {
        int at = from;
        while (at < to) {
            byte b = in[at++];
            boolean returned = lineLength > 0 && line[lineLength - 1] == '\r';
            if (++headLength > MOST_HEAD) {
                throw new Spoilt(431, "a head of more than " + MOST_HEAD + " bytes");
            }
            if (b == '\n' && returned) {
                String text = new String(line, 0, lineLength - 1, StandardCharsets.ISO_8859_1);
                lineLength = 0;
                line(text);
                return at;
            }
            if (b == '\n' || returned || b >= 0 && b < ' ' && b != '\r' && b != '\t' || b == 0x7f) {
                throw new Spoilt(400, "a control character in a line");
            }
            if (lineLength == line.length) {
                line = Arrays.copyOf(line, Math.max(128, 2 * lineLength));
            }
            line[lineLength++] = b;
        }
        return at;
    }

    private void line(String text) throws Spoilt {
        switch (part) {
            case FIRST -> {
                if (answers) {
                    statusLine(text);
                    part = Part.HEADER;
                } else if (!text.isEmpty()) { // an empty line before a request is passed over, as the standard asks
                    requestLine(text);
                    part = Part.HEADER;
                }
            }
            case HEADER -> {
                if (text.isEmpty()) {
                    headEnds();
                } else {
                    header(text);
                }
            }
            case SIZE -> chunk(text);
            case CHUNK_END -> {
                if (!text.isEmpty()) {
                    throw new Spoilt(400, "a chunk that does not end where it should");
                }
                part = Part.SIZE;
                headLength = 0;
            }
            default -> {
                if (text.isEmpty()) {
                    part = Part.COMPLETE;
                }
            }
        }
    }

    private void requestLine(String text) throws Spoilt {
        String[] parts = text.split(" ", -1);
        if (parts.length != 3 || !isToken(parts[0]) || parts[1].isEmpty() || text.indexOf('\t') >= 0) {
            throw new Spoilt(400, "not a request line");
        }
        if (!parts[2].equals("HTTP/1.1") && !parts[2].equals("HTTP/1.0")) {
            throw new Spoilt(parts[2].startsWith("HTTP/") ? 505 : 400, "not HTTP/1.1");
        }
        method = parts[0];
        target = parts[1];
        version = parts[2];
    }

    private void statusLine(String text) throws Spoilt {
        boolean good = text.length() >= 12
                && text.startsWith("HTTP/1.")
                && Character.isDigit(text.charAt(7))
                && text.charAt(8) == ' '
                && (text.length() == 12 || text.charAt(12) == ' ');
        for (int i = 9; good && i < 12; i++) {
            good = text.charAt(i) >= '0' && text.charAt(i) <= '9';
        }
        if (!good) {
            throw new Spoilt(502, "not a status line");
        }
        version = text.substring(0, 8);
        status = Integer.parseInt(text.substring(9, 12));
    }

    private void header(String text) throws Spoilt {
        int colon = text.indexOf(':');
        if (colon <= 0 || !isToken(text.substring(0, colon))) {
            throw new Spoilt(400, "not a header");
        }
        if (headers.size() >= MOST_HEADERS) {
            throw new Spoilt(431, "more than " + MOST_HEADERS + " headers");
        }
        // The same name twice gives a list; nothing that is one number or one id survives that.
        headers.merge(
                text.substring(0, colon).toLowerCase(Locale.ROOT),
                text.substring(colon + 1).strip(),
                (a, b) -> a + ", " + b);
    }

    private static boolean isToken(String text) {
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (!(c >= 'a' && c <= 'z'
                    || c >= 'A' && c <= 'Z'
                    || c >= '0' && c <= '9'
                    || TOKEN_MARKS.indexOf(c) >= 0)) {
                return false;
            }
        }
        return !text.isEmpty();
    }

    /** The head is here: how long is the body? Where that is not clear, nothing behind the head can be believed. */
    private void headEnds() throws Spoilt {
        if (answers && status / 100 == 1) {
            if (status == 101) {
                throw new Spoilt(502, "another protocol");
            }
            status = 0; // an answer on the way: the real one follows, within the same bound
            headers = new LinkedHashMap<>();
            part = Part.FIRST;
            return;
        }
        String encoding = headers.get("transfer-encoding");
        String length = headers.get("content-length");
        if (encoding != null
                && (length != null || !encoding.equalsIgnoreCase("chunked") || version.equals("HTTP/1.0"))) {
            throw new Spoilt(length != null ? 400 : 501, "a length that is not clear");
        }
        if (answers && (status == 204 || status == 304)) {
            part = Part.COMPLETE;
        } else if (encoding != null) {
            part = Part.SIZE;
            headLength = 0;
        } else if (length != null) {
            left = number(length);
            if (left > mostBody && !readsUpToBound) {
                throw new Spoilt(413, "a body of more than " + mostBody + " bytes");
            }
            part = left == 0 ? Part.COMPLETE : Part.FIXED;
        } else if (answers) {
            part = Part.REST;
        } else if (method.equals("POST") || method.equals("PUT")) {
            throw new Spoilt(411, "a body without a length");
        } else {
            part = Part.COMPLETE;
        }
    }

    private static long number(String text) throws Spoilt {
        if (text.isEmpty() || !text.chars().allMatch(c -> c >= '0' && c <= '9')) {
            throw new Spoilt(400, "Content-Length is not a number");
        }
        if (text.length() > MOST_LENGTH_DIGITS) {
            throw new Spoilt(413, "Content-Length is too large");
        }
        return Long.parseLong(text);
    }

    private void chunk(String text) throws Spoilt {
        int end = text.indexOf(';');
        String size = (end < 0 ? text : text.substring(0, end)).strip();
        if (size.isEmpty() || !size.chars().allMatch(c -> Character.digit(c, 16) >= 0 && c < 128)) {
            throw new Spoilt(400, "not the size of a chunk");
        }
        if (size.length() > MOST_SIZE_DIGITS) {
            throw new Spoilt(413, "a chunk that is too large");
        }
        left = Long.parseLong(size, 16);
        if (bodyLength + left > mostBody && !readsUpToBound) {
            throw new Spoilt(413, "a body of more than " + mostBody + " bytes");
        }
        part = left == 0 ? Part.TRAILER : Part.CHUNK;
    }

    /** The connection has ended: true if that was the end of the message too. */
    boolean ends() {
        if (part == Part.REST) {
            part = Part.COMPLETE;
        }
        return part == Part.COMPLETE;
    }

    /** Makes ready for the next message and lets go of this one. */
    void next() {
        part = Part.FIRST;
        line = NOTHING;
        lineLength = 0;
        headLength = 0;
        body = NOTHING;
        bodyLength = 0;
        headers = new LinkedHashMap<>();
        status = 0;
    }

    /** True once the whole head has come. */
    boolean hasHead() {
        return part != Part.FIRST && part != Part.HEADER;
    }

    boolean isComplete() {
        return part == Part.COMPLETE;
    }

    /** True if nothing of a message has come. */
    boolean isFresh() {
        return part == Part.FIRST && headLength == 0;
    }

    /** True if the client waits for a word before it sends the body. */
    boolean awaitsContinue() {
        return !answers
                && (part == Part.FIXED || part == Part.SIZE)
                && bodyLength == 0
                && "100-continue".equalsIgnoreCase(headers.get("expect"));
    }

    /** True if the other side speaks HTTP/1.1, and so passes over interim answers. */
    boolean takesInterimAnswers() {
        return version.equals("HTTP/1.1");
    }

    /** True if the other side lets the connection stay. */
    boolean keeps() {
        String connection = headers.getOrDefault("connection", "").toLowerCase(Locale.ROOT);
        return version.equals("HTTP/1.0") ? connection.contains("keep-alive") : !connection.contains("close");
    }

    /** Bytes held for the message. */
    int size() {
        return line.length + body.length;
    }

    /** The status that the first line said; 0 before that. */
    int status() {
        return status;
    }

    String method() {
        return method;
    }

    /** The path, without a query. */
    String path() {
        int query = target.indexOf('?');
        return query < 0 ? target : target.substring(0, query);
    }

    /** By lower-case name. */
    Map<String, String> headers() {
        return headers;
    }

    byte[] body() {
        return bodyLength == body.length ? body : Arrays.copyOf(body, bodyLength);
    }
}
