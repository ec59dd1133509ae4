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
final class HttpMessageReader {
    private static final int MAX_HEAD_BYTES = 8 * 1024, MAX_HEADERS = 64, MAX_LENGTH_DIGITS = 10, MAX_CHUNK_SIZE_DIGITS = 7;
    private static final String TOKEN_PUNCTUATION = "!#$%&'*+-.^_`|~";
    private static final byte[] EMPTY = {};

    /** What can't be read, or is too much; the status is what a client is told. */
    static final class InvalidMessageException extends Exception {
        private static final long serialVersionUID = 1L;
        final int status;

        InvalidMessageException(int status, String problem) {
            super(problem, null, false, false); // bad clients come fast: no stack trace for each
            this.status = status;
        }
    }

    private enum State {
        START_LINE,
        HEADERS,
        FIXED_LENGTH_BODY,
        CHUNK_SIZE,
        CHUNK_DATA,
        CHUNK_END,
        TRAILER,
        BODY_UNTIL_CLOSE,
        COMPLETE
    }

    private final boolean readsResponses;
    private final int maxBodyBytes;
    /** Whether a body over the bound is taken up to it before the message is refused. */
    private final boolean readsUpToBound;

    private State state = State.START_LINE;
    private byte[] line = EMPTY;
    private int lineLength;
    private int headLength;
    private byte[] body = EMPTY;
    private int bodyLength;
    private long remainingBytes;
    private Map<String, String> headers = new LinkedHashMap<>();
    private String method, target, version;
    private int status;

    /** Reads answers or else requests, with bodies up to so many bytes. */
    HttpMessageReader(boolean answers, int mostBody) {
        this(answers, mostBody, false);
    }

    /**
     * The same. {@code readsUpToBound}: a body that is longer is taken up to the bound and refused there, also where
     * its head announces the length; else it is refused from the head.
     */
    HttpMessageReader(boolean answers, int mostBody, boolean readsUpToBound) {
        this.readsResponses = answers;
        this.maxBodyBytes = mostBody;
        this.readsUpToBound = readsUpToBound;
    }

    /** Takes bytes up to the end of the message; gives where the next one begins. */
    int read(byte[] in, int from, int to) throws InvalidMessageException {
        int at = from;
        while (at < to && state != State.COMPLETE) {
            switch (state) {
                case FIXED_LENGTH_BODY, CHUNK_DATA -> {
                    int size = (int) Math.min(remainingBytes, to - at);
                    addToBody(in, at, size);
                    at += size;
                    remainingBytes -= size;
                    if (remainingBytes == 0) {
                        state = state == State.FIXED_LENGTH_BODY ? State.COMPLETE : State.CHUNK_END;
                    }
                }
                case BODY_UNTIL_CLOSE -> {
                    addToBody(in, at, to - at);
                    at = to;
                }
                default -> at = readLine(in, at, to);
            }
        }
        return at;
    }

    private void addToBody(byte[] in, int from, int size) throws InvalidMessageException {
        if (bodyLength + size > maxBodyBytes) {
            if (readsUpToBound) {
                copyToBody(in, from, maxBodyBytes - bodyLength);
            }
            throw new InvalidMessageException(413, "a body of more than " + maxBodyBytes + " bytes");
        }
        copyToBody(in, from, size);
    }

    private void copyToBody(byte[] in, int from, int size) {
        if (bodyLength + size > body.length) {
            // It grows with what has come, not with what is announced.
            body = Arrays.copyOf(body, Math.min(maxBodyBytes, Math.max(2 * body.length, bodyLength + size)));
        }
        System.arraycopy(in, from, body, bodyLength, size);
        bodyLength += size;
    }

    /** Takes a line or a part of one; a line ends in CRLF, and neither of the two stands alone. */
    private int readLine(byte[] in, int from, int to) throws InvalidMessageException {
        int at = from;
        while (at < to) {
            byte b = in[at++];
            boolean returned = lineLength > 0 && line[lineLength - 1] == '\r';
            if (++headLength > MAX_HEAD_BYTES) {
                throw new InvalidMessageException(431, "a head of more than " + MAX_HEAD_BYTES + " bytes");
            }
            if (b == '\n' && returned) {
                String text = new String(line, 0, lineLength - 1, StandardCharsets.ISO_8859_1);
                lineLength = 0;
                onLine(text);
                return at;
            }
            if (b == '\n' || returned || b >= 0 && b < ' ' && b != '\r' && b != '\t' || b == 0x7f) {
                throw new InvalidMessageException(400, "a control character in a line");
            }
            if (lineLength == line.length) {
                line = Arrays.copyOf(line, Math.max(128, 2 * lineLength));
            }
            line[lineLength++] = b;
        }
        return at;
    }

    private void onLine(String text) throws InvalidMessageException {
        switch (state) {
            case START_LINE -> {
                if (readsResponses) {
                    parseStatusLine(text);
                    state = State.HEADERS;
                } else if (!text.isEmpty()) { // an empty line before a request is passed over, as the standard asks
                    parseRequestLine(text);
                    state = State.HEADERS;
                }
            }
            case HEADERS -> {
                if (text.isEmpty()) {
                    onHeadEnd();
                } else {
                    parseHeader(text);
                }
            }
            case CHUNK_SIZE -> parseChunkSize(text);
            case CHUNK_END -> {
                if (!text.isEmpty()) {
                    throw new InvalidMessageException(400, "a chunk that does not end where it should");
                }
                state = State.CHUNK_SIZE;
                headLength = 0;
            }
            default -> {
                if (text.isEmpty()) {
                    state = State.COMPLETE;
                }
            }
        }
    }

    private void parseRequestLine(String text) throws InvalidMessageException {
        String[] parts = text.split(" ", -1);
        if (parts.length != 3 || !isToken(parts[0]) || parts[1].isEmpty() || text.indexOf('\t') >= 0) {
            throw new InvalidMessageException(400, "not a request line");
        }
        if (!parts[2].equals("HTTP/1.1") && !parts[2].equals("HTTP/1.0")) {
            throw new InvalidMessageException(parts[2].startsWith("HTTP/") ? 505 : 400, "not HTTP/1.1");
        }
        method = parts[0];
        target = parts[1];
        version = parts[2];
    }

    private void parseStatusLine(String text) throws InvalidMessageException {
        boolean good = text.length() >= 12
                && text.startsWith("HTTP/1.")
                && Character.isDigit(text.charAt(7))
                && text.charAt(8) == ' '
                && (text.length() == 12 || text.charAt(12) == ' ');
        for (int i = 9; good && i < 12; i++) {
            good = text.charAt(i) >= '0' && text.charAt(i) <= '9';
        }
        if (!good) {
            throw new InvalidMessageException(502, "not a status line");
        }
        version = text.substring(0, 8);
        status = Integer.parseInt(text.substring(9, 12));
    }

    private void parseHeader(String text) throws InvalidMessageException {
        int colon = text.indexOf(':');
        if (colon <= 0 || !isToken(text.substring(0, colon))) {
            throw new InvalidMessageException(400, "not a header");
        }
        if (headers.size() >= MAX_HEADERS) {
            throw new InvalidMessageException(431, "more than " + MAX_HEADERS + " headers");
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
                    || TOKEN_PUNCTUATION.indexOf(c) >= 0)) {
                return false;
            }
        }
        return !text.isEmpty();
    }

    /** The head is here: how long is the body? Where that is not clear, nothing behind the head can be believed. */
    private void onHeadEnd() throws InvalidMessageException {
        if (readsResponses && status / 100 == 1) {
            if (status == 101) {
                throw new InvalidMessageException(502, "another protocol");
            }
            status = 0; // an answer on the way: the real one follows, within the same bound
            headers = new LinkedHashMap<>();
            state = State.START_LINE;
            return;
        }
        String encoding = headers.get("transfer-encoding");
        String length = headers.get("content-length");
        if (encoding != null
                && (length != null || !encoding.equalsIgnoreCase("chunked") || version.equals("HTTP/1.0"))) {
            throw new InvalidMessageException(length != null ? 400 : 501, "a length that is not clear");
        }
        if (readsResponses && (status == 204 || status == 304)) {
            state = State.COMPLETE;
        } else if (encoding != null) {
            state = State.CHUNK_SIZE;
            headLength = 0;
        } else if (length != null) {
            remainingBytes = parseLength(length);
            if (remainingBytes > maxBodyBytes && !readsUpToBound) {
                throw new InvalidMessageException(413, "a body of more than " + maxBodyBytes + " bytes");
            }
            state = remainingBytes == 0 ? State.COMPLETE : State.FIXED_LENGTH_BODY;
        } else if (readsResponses) {
            state = State.BODY_UNTIL_CLOSE;
        } else if (method.equals("POST") || method.equals("PUT")) {
            throw new InvalidMessageException(411, "a body without a length");
        } else {
            state = State.COMPLETE;
        }
    }

    private static long parseLength(String text) throws InvalidMessageException {
        if (text.isEmpty() || !text.chars().allMatch(c -> c >= '0' && c <= '9')) {
            throw new InvalidMessageException(400, "Content-Length is not a number");
        }
        if (text.length() > MAX_LENGTH_DIGITS) {
            throw new InvalidMessageException(413, "Content-Length is too large");
        }
        return Long.parseLong(text);
    }

    private void parseChunkSize(String text) throws InvalidMessageException {
        int end = text.indexOf(';');
        String size = (end < 0 ? text : text.substring(0, end)).strip();
        if (size.isEmpty() || !size.chars().allMatch(c -> Character.digit(c, 16) >= 0 && c < 128)) {
            throw new InvalidMessageException(400, "not the size of a chunk");
        }
        if (size.length() > MAX_CHUNK_SIZE_DIGITS) {
            throw new InvalidMessageException(413, "a chunk that is too large");
        }
        remainingBytes = Long.parseLong(size, 16);
        if (bodyLength + remainingBytes > maxBodyBytes && !readsUpToBound) {
            throw new InvalidMessageException(413, "a body of more than " + maxBodyBytes + " bytes");
        }
        state = remainingBytes == 0 ? State.TRAILER : State.CHUNK_DATA;
    }

    /** The connection has ended: true if that was the end of the message too. */
    boolean completeAtClose() {
        if (state == State.BODY_UNTIL_CLOSE) {
            state = State.COMPLETE;
        }
        return state == State.COMPLETE;
    }

    /** Makes ready for the next message and lets go of this one. */
    void reset() {
        state = State.START_LINE;
        line = EMPTY;
        lineLength = 0;
        headLength = 0;
        body = EMPTY;
        bodyLength = 0;
        headers = new LinkedHashMap<>();
        status = 0;
    }

    /** True once the whole head has come. */
    boolean hasHead() {
        return state != State.START_LINE && state != State.HEADERS;
    }

    boolean isComplete() {
        return state == State.COMPLETE;
    }

    /** True if nothing of a message has come. */
    boolean isAtStart() {
        return state == State.START_LINE && headLength == 0;
    }

    /** True if the client waits for a word before it sends the body. */
    boolean awaitsContinue() {
        return !readsResponses
                && (state == State.FIXED_LENGTH_BODY || state == State.CHUNK_SIZE)
                && bodyLength == 0
                && "100-continue".equalsIgnoreCase(headers.get("expect"));
    }

    /** True if the other side speaks HTTP/1.1, and so passes over interim answers. */
    boolean acceptsInterimResponses() {
        return version.equals("HTTP/1.1");
    }

    /** True if the other side lets the connection stay. */
    boolean keepsConnection() {
        String connection = headers.getOrDefault("connection", "").toLowerCase(Locale.ROOT);
        return version.equals("HTTP/1.0") ? connection.contains("keep-alive") : !connection.contains("close");
    }

    /** Bytes held for the message. */
    int bufferedBytes() {
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
