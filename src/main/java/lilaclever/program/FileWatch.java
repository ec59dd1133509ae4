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
 * Runs a task on a separate thread whenever a file has changed. It polls the file's attributes, which needs no
 * descriptor. A file that is replaced, rewritten or created counts as changed, a deleted one does not. If a poll sees a
 * partly written file, the rest counts as another change.
 */
final class FileWatch {
    /** Well below the 4 s within which an announced configuration must take effect. */
    static final long POLL_PERIOD_MILLIS = 500;

    /** Attributes that distinguish versions of a file without reading it. */
    private record Version(FileTime modified, long size, Object fileKey) {}

    private final Path file;
    private final Runnable onChange;
    private Version lastVersion;

    private FileWatch(Path file, Runnable onChange) {
        this.file = file;
        this.onChange = onChange;
        this.lastVersion = version();
    }

    /** Starts polling on a daemon thread; the current version does not count as a change. */
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
        Version currentVersion = version();
        if (currentVersion == null || Objects.equals(currentVersion, lastVersion)) {
            return;
        }
        lastVersion = currentVersion;
        try {
            onChange.run();
        } catch (RuntimeException e) {
            Logs.error("", "file-watch-failed", file + " has changed, but the reload failed: " + e);
        }
    }

    /** Returns null while there is no such file. */
    private Version version() {
        try {
            BasicFileAttributes attributes = Files.readAttributes(file, BasicFileAttributes.class);
            return new Version(attributes.lastModifiedTime(), attributes.size(), attributes.fileKey());
        } catch (IOException e) {
            return null;
        }
    }
}
