package lilaclever.protocol.http;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.regex.Pattern;

/**
 * Reads consecutive HTTP/1.1 messages from the bytes of one connection. It is strict, since a message that two readers
 * can interpret differently may smuggle another, and its memory use is limited whatever arrives: a general codec
 * buffers what a peer announces, skips what it can't interpret, and does not report the status of a malformed response.
 * Used from one thread at a time.
 */
final class HttpMessageReader {
    private static final int MAX_HEAD_BYTES = 8 * 1024,
            MAX_HEADERS = 64,
            MAX_LENGTH_DIGITS = 10,
            MAX_CHUNK_SIZE_DIGITS = 7;
    /** What a header takes in memory beside its text: two strings and their place in the map. */
    private static final int HEADER_OVERHEAD_BYTES = 160;

    private static final String TOKEN_PUNCTUATION = "!#$%&'*+-.^_`|~";
    private static final byte[] EMPTY = {};
    private static final Pattern STATUS_LINE_START = Pattern.compile("HTTP/1\\.\\d [2-9]\\d\\d");
    /** Where the status begins and ends in a status line. */
    private static final int STATUS_START = 9, STATUS_END = 12;

    /** Thrown for a message that is malformed or too large; the status is for the response to a client. */
    static final class InvalidMessageException extends Exception {
        private static final long serialVersionUID = 1L;
        final int status;

        InvalidMessageException(int status, String problem) {
            super(problem, null, false, false); // malformed input may come fast: no stack trace for each
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
    /** Whether a body over the limit is read up to it before the message is rejected. */
    private final boolean readsUpToBound;

    private State state = State.START_LINE;
    private byte[] line = EMPTY;
    private int lineLength;
    private int headLength;
    private byte[] body = EMPTY;
    private int bodyLength;
    private long remainingBytes;
    private Map<String, String> headers = new LinkedHashMap<>();
    /** Headers read, also those of the same name, and what they take in memory. */
    private int headerCount, headerBytes;

    private String method, target, version;
    private int status;

    /** Creates a reader of responses or of requests with bodies up to the given size. */
    HttpMessageReader(boolean readsResponses, int maxBodyBytes) {
        this(readsResponses, maxBodyBytes, false);
    }

    /**
     * Creates a reader. {@code readsUpToBound}: a body over the limit is read up to it and rejected there, even if the
     * head announces its length; otherwise it is rejected at the head.
     */
    HttpMessageReader(boolean readsResponses, int maxBodyBytes, boolean readsUpToBound) {
        this.readsResponses = readsResponses;
        this.maxBodyBytes = maxBodyBytes;
        this.readsUpToBound = readsUpToBound;
    }

    /** Reads up to the end of the message; returns the offset of the next one. */
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
            throw new InvalidMessageException(413, "body of more than " + maxBodyBytes + " bytes");
        }
        copyToBody(in, from, size);
    }

    private void copyToBody(byte[] in, int from, int size) {
        if (bodyLength + size > body.length) {
            // It grows with the data received, not with the announced length.
            body = Arrays.copyOf(body, Math.min(maxBodyBytes, Math.max(2 * body.length, bodyLength + size)));
        }
        System.arraycopy(in, from, body, bodyLength, size);
        bodyLength += size;
    }

    /** Reads a line or a part of one; a line ends in CRLF, and neither CR nor LF may stand alone. */
    private int readLine(byte[] in, int from, int to) throws InvalidMessageException {
        int at = from;
        while (at < to) {
            byte b = in[at++];
            boolean isAfterCarriageReturn = lineLength > 0 && line[lineLength - 1] == '\r';
            if (++headLength > MAX_HEAD_BYTES + bodyLength) { // a body in small chunks costs as much as many heads
                throw new InvalidMessageException(431, "head or chunk sizes of more than " + MAX_HEAD_BYTES + " bytes");
            }
            if (b == '\n' && isAfterCarriageReturn) {
                String text = new String(line, 0, lineLength - 1, StandardCharsets.ISO_8859_1);
                lineLength = 0;
                onLine(text);
                return at;
            }
            if (b == '\n' || isAfterCarriageReturn || b >= 0 && b < ' ' && b != '\r' && b != '\t' || b == 0x7f) {
                throw new InvalidMessageException(400, "control character in a line");
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
                } else if (!text.isEmpty()) { // an empty line before a request is ignored (RFC 9112, section 2.2)
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
                    throw new InvalidMessageException(400, "missing line break after a chunk");
                }
                state = State.CHUNK_SIZE;
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
            throw new InvalidMessageException(400, "invalid request line");
        }
        if (!parts[2].equals("HTTP/1.1") && !parts[2].equals("HTTP/1.0")) {
            throw new InvalidMessageException(parts[2].startsWith("HTTP/") ? 505 : 400, "not HTTP/1.1");
        }
        method = parts[0];
        target = parts[1];
        version = parts[2];
    }

    private void parseStatusLine(String text) throws InvalidMessageException {
        boolean isValid = text.length() >= 12
                && text.startsWith("HTTP/1.")
                && Character.isDigit(text.charAt(7))
                && text.charAt(8) == ' '
                && (text.length() == 12 || text.charAt(12) == ' ');
        for (int i = 9; isValid && i < 12; i++) {
            isValid = text.charAt(i) >= '0' && text.charAt(i) <= '9';
        }
        if (!isValid) {
            throw new InvalidMessageException(502, "invalid status line");
        }
        version = text.substring(0, 8);
        status = Integer.parseInt(text.substring(9, 12));
    }

    private void parseHeader(String text) throws InvalidMessageException {
        int colon = text.indexOf(':');
        if (colon <= 0 || !isToken(text.substring(0, colon))) {
            throw new InvalidMessageException(400, "invalid header");
        }
        if (++headerCount > MAX_HEADERS) {
            throw new InvalidMessageException(431, "more than " + MAX_HEADERS + " headers");
        }
        headerBytes += text.length() + HEADER_OVERHEAD_BYTES;
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
                    || TOKEN_PUNCTUATION.indexOf(c) >= 0)) {
                return false;
            }
        }
        return !text.isEmpty();
    }

    /** Determines the length of the body from the head. If that is ambiguous, nothing after the head can be trusted. */
    private void onHeadEnd() throws InvalidMessageException {
        if (readsResponses && status / 100 == 1) {
            if (status == 101) {
                throw new InvalidMessageException(502, "unsupported switch of protocols");
            }
            status = 0; // an interim response: the final one follows, within the same size limit
            resetHeaders();
            state = State.START_LINE;
            return;
        }
        String encoding = headers.get("transfer-encoding");
        String length = headers.get("content-length");
        if (encoding != null
                && (length != null || !encoding.equalsIgnoreCase("chunked") || version.equals("HTTP/1.0"))) {
            throw new InvalidMessageException(length != null ? 400 : 501, "ambiguous body length");
        }
        if (readsResponses && (status == 204 || status == 304)) {
            state = State.COMPLETE;
        } else if (encoding != null) {
            state = State.CHUNK_SIZE;
            headLength = 0;
        } else if (length != null) {
            remainingBytes = parseLength(length);
            if (remainingBytes > maxBodyBytes && !readsUpToBound) {
                throw new InvalidMessageException(413, "body of more than " + maxBodyBytes + " bytes");
            }
            state = remainingBytes == 0 ? State.COMPLETE : State.FIXED_LENGTH_BODY;
        } else if (readsResponses) {
            state = State.BODY_UNTIL_CLOSE;
        } else if (method.equals("POST") || method.equals("PUT")) {
            throw new InvalidMessageException(411, "Content-Length is missing");
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
        if (!isHexadecimal(size)) {
            throw new InvalidMessageException(400, "invalid chunk size");
        }
        if (size.length() > MAX_CHUNK_SIZE_DIGITS) {
            throw new InvalidMessageException(413, "chunk size is too large");
        }
        remainingBytes = Long.parseLong(size, 16);
        if (bodyLength + remainingBytes > maxBodyBytes && !readsUpToBound) {
            throw new InvalidMessageException(413, "body of more than " + maxBodyBytes + " bytes");
        }
        state = remainingBytes == 0 ? State.TRAILER : State.CHUNK_DATA;
    }

    private static boolean isHexadecimal(String text) {
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (!(c >= '0' && c <= '9' || c >= 'a' && c <= 'f' || c >= 'A' && c <= 'F')) {
                return false;
            }
        }
        return !text.isEmpty();
    }

    /** Handles the end of the connection; returns whether the message is complete. */
    boolean completeAtClose() {
        if (state == State.BODY_UNTIL_CLOSE) {
            state = State.COMPLETE;
        }
        return state == State.COMPLETE;
    }

    /** Discards the message and prepares for the next one. */
    void reset() {
        state = State.START_LINE;
        line = EMPTY;
        lineLength = 0;
        headLength = 0;
        body = EMPTY;
        bodyLength = 0;
        resetHeaders();
        status = 0;
    }

    private void resetHeaders() {
        headers = new LinkedHashMap<>();
        headerCount = 0;
        headerBytes = 0;
    }

    /** Whether the whole head has arrived. */
    boolean hasHead() {
        return state != State.START_LINE && state != State.HEADERS;
    }

    boolean isComplete() {
        return state == State.COMPLETE;
    }

    /** Whether nothing of a message has arrived. */
    boolean isAtStart() {
        return state == State.START_LINE && headLength == 0;
    }

    /** Whether the client waits for an interim response before it sends the body. */
    boolean awaitsContinue() {
        return !readsResponses
                && (state == State.FIXED_LENGTH_BODY || state == State.CHUNK_SIZE)
                && bodyLength == 0
                && "100-continue".equalsIgnoreCase(headers.get("expect"));
    }

    /** Whether the peer uses HTTP/1.1, and so ignores interim responses. */
    boolean acceptsInterimResponses() {
        return version.equals("HTTP/1.1");
    }

    /** Whether the peer keeps the connection open. */
    boolean keepsConnection() {
        String connection = headers.getOrDefault("connection", "").toLowerCase(Locale.ROOT);
        return version.equals("HTTP/1.0") ? connection.contains("keep-alive") : !connection.contains("close");
    }

    /** The number of bytes that the message takes in memory so far. */
    int bufferedBytes() {
        return line.length + headerBytes + body.length;
    }

    /** The number of bytes that its headers take in memory. */
    int headerBytes() {
        return headerBytes;
    }

    /** The status from the status line; 0 before that. */
    int status() {
        return status;
    }

    /** The status, also from a status line whose end has not arrived; 0 before that. */
    int statusSoFar() {
        if (status != 0 || state != State.START_LINE || lineLength < STATUS_END) {
            return status;
        }
        String text = new String(line, 0, STATUS_END, StandardCharsets.ISO_8859_1);
        return STATUS_LINE_START.matcher(text).matches() ? Integer.parseInt(text.substring(STATUS_START)) : 0;
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
