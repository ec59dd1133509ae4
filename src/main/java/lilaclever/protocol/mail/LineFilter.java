package lilaclever.protocol.mail;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.memory.Buffers;

/**
 * Splits the byte stream of SMTP and LMTP into lines that end in CRLF, one character per octet. A read passes on all
 * complete lines as one list; written text is not changed. A bare CR or LF stays part of its line, so that it is never
 * taken for a line ending.
 */
final class LineFilter extends BaseFilter {
    /** More than any line that the standards allow; a connection that exceeds it is closed. */
    private static final int MAX_LINE_BYTES = 16 * 1024;

    private final Attribute<String> unfinishedLines =
            Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("LineFilter.unfinishedLine");

    /** What was received of a line that has not ended; empty if nothing was. */
    String unfinishedLine(Connection<?> connection) {
        String line = unfinishedLines.get(connection);
        return line == null ? "" : line;
    }

    @Override
    public NextAction handleRead(FilterChainContext context) throws IOException {
        Buffer buffer = context.getMessage();
        byte[] bytes = new byte[buffer.remaining()];
        buffer.get(bytes);
        List<String> lines = new ArrayList<>();
        int lineStart = 0;
        for (int i = 1; i < bytes.length; i++) {
            if (bytes[i] == '\n' && bytes[i - 1] == '\r' && i - 1 >= lineStart) {
                lines.add(new String(bytes, lineStart, i - 1 - lineStart, StandardCharsets.ISO_8859_1));
                lineStart = i + 1;
            }
        }
        if (bytes.length - lineStart > MAX_LINE_BYTES) {
            context.getConnection().closeSilently();
            return context.getStopAction();
        }
        Buffer remainder = lineStart < bytes.length
                ? Buffers.wrap(context.getMemoryManager(), bytes, lineStart, bytes.length - lineStart)
                : null;
        buffer.tryDispose();
        unfinishedLines.set(
                context.getConnection(),
                new String(bytes, lineStart, bytes.length - lineStart, StandardCharsets.ISO_8859_1));
        if (lines.isEmpty()) {
            return context.getStopAction(remainder);
        }
        context.setMessage(lines);
        return context.getInvokeAction(remainder, null);
    }

    @Override
    public NextAction handleWrite(FilterChainContext context) throws IOException {
        String text = context.getMessage();
        context.setMessage(Buffers.wrap(context.getMemoryManager(), text.getBytes(StandardCharsets.ISO_8859_1)));
        return context.getInvokeAction();
    }
}
