package lilaclever.protocol.http;

import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.http.HttpContent;

/** What the filters of both sides share. */
final class HttpFilters {
    private HttpFilters() { }

    /** The content's bytes, copied: its buffer goes back to the selector. */
    static byte[] bytes(HttpContent content) {
        Buffer buffer = content.getContent();
        byte[] bytes = new byte[buffer.remaining()];
        buffer.get(bytes);
        return bytes;
    }
}
