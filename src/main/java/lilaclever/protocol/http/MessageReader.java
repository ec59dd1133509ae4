package lilaclever.protocol.http;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/**
 * Reads consecutive HTTP/1.1 messages from the bytes of one connection. It is strict, since a message that two readers
 * can interpret differently may smuggle another, and its memory use is limited whatever arrives: a general codec
 * buffers what a peer announces, skips what it can't interpret, and does not report the status of a malformed response.
 * Used from one thread at a time.
 */
final class MessageReader {
    private static final int MOST_HEAD = 8 * 1024, MOST_HEADERS = 64, MOST_LENGTH_DIGITS = 10, MOST_SIZE_DIGITS = 7;
    private static final String TOKEN_MARKS = "!#$%&'*+-.^_`|~";
    private static final byte[] NOTHING = {};

    /** Thrown for a message that is malformed or too large; the status is for the response to a client. */
    static final class Spoilt extends Exception {
        private static final long serialVersionUID = 1L;
        final int status;

        Spoilt(int status, String problem) {
            super(problem, null, false, false); // malformed input may come fast: no stack trace for each
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
    /** Whether a body over the limit is read up to it before the message is rejected. */
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

    /** Creates a reader of responses or of requests with bodies up to the given size. */
    MessageReader(boolean answers, int mostBody) {
        this(answers, mostBody, false);
    }

    /**
     * Creates a reader. {@code readsUpToBound}: a body over the limit is read up to it and rejected there, even if the
     * head announces its length; otherwise it is rejected at the head.
     */
    MessageReader(boolean answers, int mostBody, boolean readsUpToBound) {
        this.answers = answers;
        this.mostBody = mostBody;
        this.readsUpToBound = readsUpToBound;
    }

    /** Reads up to the end of the message; returns the offset of the next one. */
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
            throw new Spoilt(413, "body of more than " + mostBody + " bytes");
        }
        append(in, from, size);
    }

    private void append(byte[] in, int from, int size) {
        if (bodyLength + size > body.length) {
            // It grows with the data received, not with the announced length.
            body = Arrays.copyOf(body, Math.min(mostBody, Math.max(2 * body.length, bodyLength + size)));
        }
        System.arraycopy(in, from, body, bodyLength, size);
        bodyLength += size;
    }

    /** Reads a line or a part of one; a line ends in CRLF, and neither CR nor LF may stand alone. */
    private int readLine(byte[] in, int from, int to) throws Spoilt {
        int at = from;
        while (at < to) {
            byte b = in[at++];
            boolean returned = lineLength > 0 && line[lineLength - 1] == '\r';
            if (++headLength > MOST_HEAD) {
                throw new Spoilt(431, "head of more than " + MOST_HEAD + " bytes");
            }
            if (b == '\n' && returned) {
                String text = new String(line, 0, lineLength - 1, StandardCharsets.ISO_8859_1);
                lineLength = 0;
                line(text);
                return at;
            }
            if (b == '\n' || returned || b >= 0 && b < ' ' && b != '\r' && b != '\t' || b == 0x7f) {
                throw new Spoilt(400, "control character in a line");
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
                } else if (!text.isEmpty()) { // an empty line before a request is ignored (RFC 9112, section 2.2)
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
                    throw new Spoilt(400, "missing line break after a chunk");
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
            throw new Spoilt(400, "invalid request line");
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
            throw new Spoilt(502, "invalid status line");
        }
        version = text.substring(0, 8);
        status = Integer.parseInt(text.substring(9, 12));
    }

    private void header(String text) throws Spoilt {
        int colon = text.indexOf(':');
        if (colon <= 0 || !isToken(text.substring(0, colon))) {
            throw new Spoilt(400, "invalid header");
        }
        if (headers.size() >= MOST_HEADERS) {
            throw new Spoilt(431, "more than " + MOST_HEADERS + " headers");
        }
        // Repeated headers are joined to a list, which is then invalid as a single number or id.
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

    /** Determines the length of the body from the head. If that is ambiguous, nothing after the head can be trusted. */
    private void headEnds() throws Spoilt {
        if (answers && status / 100 == 1) {
            if (status == 101) {
                throw new Spoilt(502, "unsupported switch of protocols");
            }
            status = 0; // an interim response: the final one follows, within the same size limit
            headers = new LinkedHashMap<>();
            part = Part.FIRST;
            return;
        }
        String encoding = headers.get("transfer-encoding");
        String length = headers.get("content-length");
        if (encoding != null
                && (length != null || !encoding.equalsIgnoreCase("chunked") || version.equals("HTTP/1.0"))) {
            throw new Spoilt(length != null ? 400 : 501, "ambiguous body length");
        }
        if (answers && (status == 204 || status == 304)) {
            part = Part.COMPLETE;
        } else if (encoding != null) {
            part = Part.SIZE;
            headLength = 0;
        } else if (length != null) {
            left = number(length);
            if (left > mostBody && !readsUpToBound) {
                throw new Spoilt(413, "body of more than " + mostBody + " bytes");
            }
            part = left == 0 ? Part.COMPLETE : Part.FIXED;
        } else if (answers) {
            part = Part.REST;
        } else if (method.equals("POST") || method.equals("PUT")) {
            throw new Spoilt(411, "Content-Length is missing");
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
            throw new Spoilt(400, "invalid chunk size");
        }
        if (size.length() > MOST_SIZE_DIGITS) {
            throw new Spoilt(413, "chunk size is too large");
        }
        left = Long.parseLong(size, 16);
        if (bodyLength + left > mostBody && !readsUpToBound) {
            throw new Spoilt(413, "body of more than " + mostBody + " bytes");
        }
        part = left == 0 ? Part.TRAILER : Part.CHUNK;
    }

    /** Handles the end of the connection; returns whether the message is complete. */
    boolean ends() {
        if (part == Part.REST) {
            part = Part.COMPLETE;
        }
        return part == Part.COMPLETE;
    }

    /** Discards the message and prepares for the next one. */
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

    /** Whether the whole head has arrived. */
    boolean hasHead() {
        return part != Part.FIRST && part != Part.HEADER;
    }

    boolean isComplete() {
        return part == Part.COMPLETE;
    }

    /** Whether nothing of a message has arrived. */
    boolean isFresh() {
        return part == Part.FIRST && headLength == 0;
    }

    /** Whether the client waits for an interim response before it sends the body. */
    boolean awaitsContinue() {
        return !answers
                && (part == Part.FIXED || part == Part.SIZE)
                && bodyLength == 0
                && "100-continue".equalsIgnoreCase(headers.get("expect"));
    }

    /** Whether the peer uses HTTP/1.1, and so ignores interim responses. */
    boolean takesInterimAnswers() {
        return version.equals("HTTP/1.1");
    }

    /** Whether the peer keeps the connection open. */
    boolean keeps() {
        String connection = headers.getOrDefault("connection", "").toLowerCase(Locale.ROOT);
        return version.equals("HTTP/1.0") ? connection.contains("keep-alive") : !connection.contains("close");
    }

    /** The number of bytes buffered for the message. */
    int size() {
        return line.length + body.length;
    }

    /** The status from the status line; 0 before that. */
    int status() {
        return status;
    }

    String method() {
        return method;
    }

    /** The path without its query. */
    String path() {
        int query = target.indexOf('?');
        return query < 0 ? target : target.substring(0, query);
    }

    /** The headers by lower-case name. */
    Map<String, String> headers() {
        return headers;
    }

    byte[] body() {
        return bodyLength == body.length ? body : Arrays.copyOf(body, bodyLength);
    }
}
