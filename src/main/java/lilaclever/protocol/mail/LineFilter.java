package lilaclever.protocol.mail;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import lilaclever.transport.Transport;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;

/** Passes on the complete lines of each read as one list, and writes text. For connections to servers. */
final class LineFilter extends TextFilter {
    private final Attribute<LineReader> readers =
            Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("LineFilter.reader", LineReader::new);
    private final Attribute<String> unfinishedLines =
            Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("LineFilter.unfinishedLine");

    /** What was received of a line that has not ended; empty if nothing was. Any thread. */
    String unfinishedLine(Connection<?> connection) {
        String line = unfinishedLines.get(connection);
        return line == null ? "" : line;
    }

    @Override
    public NextAction handleRead(FilterChainContext context) throws IOException {
        byte[] bytes = Transport.toBytes(context.getMessage());
        LineReader reader = readers.get(context.getConnection());
        List<String> lines = new ArrayList<>();
        try {
            for (int at = 0; at < bytes.length; ) {
                at = reader.read(bytes, at);
                String line = reader.takeLine();
                if (line != null) {
                    lines.add(line);
                }
            }
        } catch (LineReader.LineTooLongException e) {
            context.getConnection().closeSilently();
            return context.getStopAction();
        }
        unfinishedLines.set(context.getConnection(), reader.unfinishedLine());
        if (lines.isEmpty()) {
            return context.getStopAction();
        }
        context.setMessage(lines);
        return context.getInvokeAction();
    }
}
