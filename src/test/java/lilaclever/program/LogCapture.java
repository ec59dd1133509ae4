package lilaclever.program;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/** Collects the texts of all log lines until it is closed. */
final class LogCapture extends Handler implements AutoCloseable {
    private final List<String> lines = new CopyOnWriteArrayList<>();

    LogCapture() {
        Logger.getLogger("").addHandler(this);
    }

    /** The first line that contains the text; if there is none, a text that lists all lines. */
    String lineWith(String text) {
        return lines.stream().filter(line -> line.contains(text)).findFirst().orElse("not among " + lines);
    }

    @Override
    public void publish(LogRecord line) {
        lines.add(line.getMessage());
    }

    @Override
    public void flush() {}

    @Override
    public void close() {
        Logger.getLogger("").removeHandler(this);
    }
}
