package lilaclever.lab.sockets;

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
 * One connection of a stand-in, either side of it: as much of HTTP/1.1 and of MLLP as the protocols need, within
 * bounds. It shares nothing with the program's own codecs, so that a fault of theirs is not made twice.
 */
public class StandInConnection implements AutoCloseable {
    private static final int MAX_LINE_BYTES = 8192, MAX_HEADERS = 100, MAX_BODY_BYTES = 4 << 20, MAX_FRAME_BYTES = 70_000;
    private static final char FRAME_START = 0x0b, FRAME_END = 0x1c;

    /** A request, or an answer with its status as the target. */
    public record HttpMessage(String method, String target, Map<String, String> headers, byte[] body, long firstByteNanos) {
        /** A header's value. */
        public String header(String name, String defaultValue) {
            return headers.getOrDefault(name, defaultValue);
        }
    }

    private final Socket socket;
    private final InputStream in;

    /** Talks over the socket, which is connected. */
    public StandInConnection(Socket socket) throws IOException {
        this.socket = socket;
        socket.setTcpNoDelay(true);
        in = new BufferedInputStream(socket.getInputStream());
    }

    /** The next request or answer; null if the other side has closed between two. */
    public final HttpMessage readHttp() throws IOException {
        int first = in.read();
        if (first < 0) {
            return null;
        }
        long firstByteNanos = System.nanoTime();
        String[] words = ((char) first + readRequiredLine()).split(" ", 3);
        Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        for (String h = readRequiredLine(); !h.isEmpty(); h = readRequiredLine()) {
            int colon = h.indexOf(':');
            if (colon < 1 || headers.size() >= MAX_HEADERS) {
                throw new IOException("no header: " + h);
            }
            headers.put(h.substring(0, colon), h.substring(colon + 1).strip());
        }
        int length = Integer.parseInt(headers.getOrDefault("Content-Length", "0"));
        if (length > MAX_BODY_BYTES || words.length < 2) {
            throw new IOException("no message: " + String.join(" ", words));
        }
        byte[] body = in.readNBytes(length);
        if (body.length < length) {
            throw new IOException("ended within a body");
        }
        return new HttpMessage(words[0], words[1], headers, body, firstByteNanos);
    }

    private String readRequiredLine() throws IOException {
        String line = readLine();
        if (line == null) {
            throw new IOException("ended within a message");
        }
        return line;
    }

    /** The next line, or null at the end. */
    public final String readLine() throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                return null;
            }
            if (line.size() > MAX_LINE_BYTES) {
                throw new IOException("a line without end");
            }
            if (c != '\r') {
                line.write(c);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    /** The next message in a frame of MLLP, or null at the end. */
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

    /** Writes a message in a frame of MLLP. */
    public final void writeFrame(String message) throws IOException {
        writeText(FRAME_START + message + FRAME_END + '\r');
    }

    /** Writes text, a byte for each character. */
    public final void writeText(String text) throws IOException {
        write(text, new byte[0]);
    }

    /** Writes all of it at once. */
    public final void write(String head, byte[] body) throws IOException {
        byte[] first = head.getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = java.util.Arrays.copyOf(first, first.length + body.length);
        System.arraycopy(body, 0, all, first.length, body.length);
        socket.getOutputStream().write(all);
    }

    /** Writes an answer. */
    public final void writeResponse(String status, String body, String... headers) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        StringBuilder head = new StringBuilder("HTTP/1.1 " + status + "\r\n");
        for (String h : headers) {
            head.append(h).append("\r\n");
        }
        write(head + (status.startsWith("204") ? "" : "Content-Length: " + bytes.length + "\r\n") + "\r\n", bytes);
    }

    /** True if the other side has not closed it; only where nothing is expected from there now. */
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

    /** Waits so long at most for a byte. */
    public final void setReadTimeout(int millis) throws IOException {
        socket.setSoTimeout(millis);
    }

    /** Closes it as a dying process would. */
    public final void reset() {
        try {
            socket.setSoLinger(true, 0);
        } catch (IOException e) {
            // it is closed already
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
            // there is no more to do
        }
    }
}
