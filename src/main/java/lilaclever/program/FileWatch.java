package lilaclever.program;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import java.nio.file.attribute.FileTime;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import lilaclever.log.Logs;

/**
 * Runs a task whenever a file has changed, on a thread of its own. It looks at the file's attributes at a fixed pace,
 * which needs no descriptor; a file that is replaced, rewritten or appears counts as changed, one that vanishes does
 * not. Where a change is seen half written, the rest is seen as another one.
 */
final class FileWatch {
    /** Between two looks, milliseconds: a new configuration has to be in force 4 s after it was announced. */
    static final long POLL_PERIOD_MILLIS = 500;

    /** What tells one state of a file from another without reading it. */
    private record Version(FileTime modified, long size, Object fileKey) {}

    private final Path file;
    private final Runnable onChange;
    private Version lastVersion;

    private FileWatch(Path file, Runnable onChange) {
        this.file = file;
        this.onChange = onChange;
        this.lastVersion = version();
    }

    /** Starts to look at the file; what it is now has not changed. The thread does not keep the program alive. */
    static void start(Path file, Runnable onChange) {
        FileWatch watch = new FileWatch(file, onChange);
        Thread thread = new Thread(watch::run, "file-watch");
        thread.setDaemon(true);
        thread.start();
    }

    private void run() {
        try {
            while (true) {
                TimeUnit.MILLISECONDS.sleep(POLL_PERIOD_MILLIS);
                poll();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void poll() {
        Version now = version();
        if (now == null || Objects.equals(now, lastVersion)) {
            return;
        }
        lastVersion = now;
        try {
            onChange.run();
        } catch (RuntimeException e) {
            Logs.error("", "file-watch-failed", file + " has changed, and to take it in failed: " + e);
        }
    }

    /** Null while there is no such file. */
    private Version version() {
        try {
            BasicFileAttributes now = Files.readAttributes(file, BasicFileAttributes.class);
            return new Version(now.lastModifiedTime(), now.size(), now.fileKey());
        } catch (IOException e) {
            return null;
        }
    }
}
