package lilaclever.simulation.sockets;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/**
 * A connection of a stand-in, on the client's or the server's side, with as much of HTTP/1.1 and MLLP as the stand-ins
 * need, within bounds. It shares no code with the program's own codecs, so that their faults are not repeated here.
 */
public class StandInConnection implements AutoCloseable {
    private static final int MAX_LINE_BYTES = 8192,
            MAX_HEADERS = 100,
            MAX_BODY_BYTES = 4 << 20,
            MAX_FRAME_BYTES = 70_000;
    private static final char FRAME_START = 0x0b, FRAME_END = 0x1c;

    /** A request, or a response, whose status code stands in the place of the target. */
    public record HttpMessage(
            String method, String target, Map<String, String> headers, byte[] body, long firstByteNanos) {
        /** The value of a header, or the default if it is absent. */
        public String header(String name, String defaultValue) {
            return headers.getOrDefault(name, defaultValue);
        }
    }

    private final Socket socket;
    private final InputStream in;

    /** Creates a connection over a connected socket. */
    public StandInConnection(Socket socket) throws IOException {
        this.socket = socket;
        socket.setTcpNoDelay(true);
        in = new BufferedInputStream(socket.getInputStream());
    }

    /** Reads the next request or response; null if the peer closed the connection between two of them. */
    public final HttpMessage readHttp() throws IOException {
        int first = in.read();
        if (first < 0) {
            return null;
        }
        long firstByteNanos = System.nanoTime();
        String[] words = ((char) first + readRequiredLine()).split(" ", 3);
        Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        for (String header = readRequiredLine(); !header.isEmpty(); header = readRequiredLine()) {
            int colon = header.indexOf(':');
            if (colon < 1 || headers.size() >= MAX_HEADERS) {
                throw new IOException("malformed header: " + header);
            }
            headers.put(header.substring(0, colon), header.substring(colon + 1).strip());
        }
        int length = Integer.parseInt(headers.getOrDefault("Content-Length", "0"));
        if (length > MAX_BODY_BYTES || words.length < 2) {
            throw new IOException("malformed or oversized HTTP message: " + String.join(" ", words));
        }
        byte[] body = in.readNBytes(length);
        if (body.length < length) {
            throw new IOException("connection closed within a body");
        }
        return new HttpMessage(words[0], words[1], headers, body, firstByteNanos);
    }

    private String readRequiredLine() throws IOException {
        String line = readLine();
        if (line == null) {
            throw new IOException("connection closed within a message");
        }
        return line;
    }

    /** Reads the next line; null at the end of the stream. */
    public final String readLine() throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                return null;
            }
            if (line.size() > MAX_LINE_BYTES) {
                throw new IOException("line too long");
            }
            if (c != '\r') {
                line.write(c);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    /** Reads the message in the next MLLP frame; null at the end of the stream or if the frame is too long. */
    public final String readFrame() throws IOException {
        ByteArrayOutputStream message = new ByteArrayOutputStream();
        for (int c = in.read(); c >= 0 && message.size() < MAX_FRAME_BYTES; c = in.read()) {
            if (c == FRAME_END) {
                in.read();
                return message.toString(StandardCharsets.ISO_8859_1);
            }
            if (c != FRAME_START) {
                message.write(c);
            }
        }
        return null;
    }

    /** Writes a message in an MLLP frame. */
    public final void writeFrame(String message) throws IOException {
        writeText(FRAME_START + message + FRAME_END + '\r');
    }

    /** Writes text as ISO-8859-1. */
    public final void writeText(String text) throws IOException {
        write(text, new byte[0]);
    }

    /** Writes head and body with a single write. */
    public final void write(String head, byte[] body) throws IOException {
        byte[] first = head.getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = java.util.Arrays.copyOf(first, first.length + body.length);
        System.arraycopy(body, 0, all, first.length, body.length);
        socket.getOutputStream().write(all);
    }

    /** Writes an HTTP response. */
    public final void writeResponse(String status, String body, String... headers) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        StringBuilder head = new StringBuilder("HTTP/1.1 " + status + "\r\n");
        for (String header : headers) {
            head.append(header).append("\r\n");
        }
        write(head + (status.startsWith("204") ? "" : "Content-Length: " + bytes.length + "\r\n") + "\r\n", bytes);
    }

    /** True if the peer has not closed the connection; only to be used while no data is expected from it. */
    public final boolean isOpen() {
        try {
            int timeoutMillis = socket.getSoTimeout();
            socket.setSoTimeout(1);
            try {
                return in.read() >= 0;
            } catch (SocketTimeoutException e) {
                return true;
            } finally {
                socket.setSoTimeout(timeoutMillis);
            }
        } catch (IOException e) {
            return false;
        }
    }

    /** Sets how long a read waits for a byte. */
    public final void setReadTimeout(int millis) throws IOException {
        socket.setSoTimeout(millis);
    }

    /** Closes the connection with a TCP reset, as the death of a process may do. */
    public final void reset() {
        try {
            socket.setSoLinger(true, 0);
        } catch (IOException e) {
            // the socket is already closed
        }
        closeSocket();
    }

    @Override
    public void close() {
        closeSocket();
    }

    private void closeSocket() {
        try {
            socket.close();
        } catch (IOException e) {
            // nothing more can be done
        }
    }
}
