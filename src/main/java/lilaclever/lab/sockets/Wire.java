package lilaclever.lab.sockets;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/** One connection of a stand-in: as much of HTTP/1.1 as the platform's protocol needs, within bounds. */
final class Wire implements AutoCloseable {
    private static final int LONGEST_LINE = 8192, MOST_HEADERS = 100, MOST_BODY = 4 << 20;

    /** A request, or an answer with its status as the target. */
    record Head(String method, String target, Map<String, String> headers, byte[] body, long firstByteNanos) {
        String header(String name, String otherwise) {
            return headers.getOrDefault(name, otherwise);
        }
    }

    private final Socket socket;
    private final InputStream in;

    Wire(Socket socket) throws IOException {
        this.socket = socket;
        socket.setTcpNoDelay(true);
        in = new BufferedInputStream(socket.getInputStream());
    }

    /** The next request or answer; null if the other side has closed between two. */
    Head read() throws IOException {
        int first = in.read();
        if (first < 0) {
            return null;
        }
        long at = System.nanoTime();
        String[] words = ((char) first + line()).split(" ", 3);
        Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        for (String h = line(); !h.isEmpty(); h = line()) {
            int colon = h.indexOf(':');
            if (colon < 1 || headers.size() >= MOST_HEADERS) {
                throw new IOException("no header: " + h);
            }
            headers.put(h.substring(0, colon), h.substring(colon + 1).strip());
        }
        int length = Integer.parseInt(headers.getOrDefault("Content-Length", "0"));
        if (length > MOST_BODY || words.length < 2) {
            throw new IOException("no message: " + String.join(" ", words));
        }
        byte[] body = in.readNBytes(length);
        if (body.length < length) {
            throw new IOException("ended within a body");
        }
        return new Head(words[0], words[1], headers, body, at);
    }

    private String line() throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0 || line.size() > LONGEST_LINE) {
                throw new IOException(c < 0 ? "ended within a line" : "a line without end");
            }
            if (c != '\r') {
                line.write(c);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    /** Writes all of it at once. */
    void write(String head, byte[] body) throws IOException {
        byte[] first = head.getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = java.util.Arrays.copyOf(first, first.length + body.length);
        System.arraycopy(body, 0, all, first.length, body.length);
        socket.getOutputStream().write(all);
    }

    /** Writes an answer; {@code headers} are whole lines. */
    void answer(String status, String headers, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        write("HTTP/1.1 " + status + "\r\n" + headers + (status.startsWith("204") ? "" : "Content-Length: " + bytes.length + "\r\n")
                + "\r\n", bytes);
    }

    /** Waits so long at most for a byte. */
    void patience(int millis) throws IOException {
        socket.setSoTimeout(millis);
    }

    /** Closes it as a dying process would. */
    void reset() {
        try {
            socket.setSoLinger(true, 0);
        } catch (IOException e) {
            // it is closed already
        }
        close();
    }

    @Override
    public void close() {
        try {
            socket.close();
        } catch (IOException e) {
            // there is no more to do
        }
    }
}
