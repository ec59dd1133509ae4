package lilaclever.program;

import java.io.BufferedOutputStream;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import lilaclever.journal.Inspection;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** {@code journal inspect|verify|compact|export FOLDER}: works on the state folder of a stopped program. */
public final class JournalCommand implements Main.Command {
    private static final long BYTES_PER_MEGABYTE = 1024 * 1024;

    /** Names are values of the command-line argument. */
    enum Action {
        INSPECT,
        VERIFY,
        COMPACT,
        EXPORT
    }

    @Argument(index = 0, required = true, metaVar = "inspect|verify|compact|export", usage = "what to do")
    private Action action;

    @Argument(index = 1, required = true, metaVar = "FOLDER", usage = "the state folder")
    private Path folder;

    @Option(
            name = "--disk-mb",
            metaVar = "N",
            usage = "limit of the disk space in MB that all files take during compact" + " (default 1024)")
    private long diskMegabytes = 1024;

    @Override
    public Integer run() {
        try (PrintStream out = new PrintStream(
                new BufferedOutputStream(new FileOutputStream(FileDescriptor.out)), false, StandardCharsets.UTF_8)) {
            Inspection inspection = new Inspection(folder, out);
            return switch (action) {
                case INSPECT -> inspection.inspect();
                case VERIFY -> inspection.verify();
                case COMPACT -> inspection.compact(diskMegabytes * BYTES_PER_MEGABYTE);
                case EXPORT -> inspection.export();
            };
        } catch (IOException e) {
            System.err.println("lilaclever: journal: "
                    + (e instanceof lilaclever.journal.JournalException ? e.getMessage() : e.toString()));
            return Inspection.UNUSABLE;
        }
    }
}
