package lilaclever.journal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.Stream;
import lilaclever.routing.FinalStatus;
import lilaclever.routing.Submission;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The output of the operator's journal commands. */
class InspectionTest {
    @TempDir
    private Path folder;

    private final ByteArrayOutputStream printed = new ByteArrayOutputStream();
    private Inspection inspection;

    private SegmentedJournal open() throws IOException {
        return new SegmentedJournal(
                FolderDisk.lock(folder), 1 << 20, Durability.NONE, RandomRun.clocks(() -> 0), new SplittableRandom(1));
    }

    @BeforeEach
    void fillFolder() throws IOException {
        inspection = new Inspection(folder, new PrintStream(printed, true, StandardCharsets.UTF_8));
        try (SegmentedJournal journal = open()) {
            for (int i = 0; i < 500; i++) {
                journal.recordAccepted(
                        "http", new Submission("m" + i, null, 1, 7, "k", new byte[] {1, 2, 3}, false, false, 5), 7, 0);
                if (i > 1) {
                    journal.recordSettled("m" + i);
                }
            }
            journal.recordAttempt("m0", "lab-1", 0, 3);
            journal.recordFinalStatus("m1", new FinalStatus(FinalStatus.Kind.REFUSED, 5, "busy"));
            journal.remember("a mail", FinalStatus.of(FinalStatus.Kind.DELIVERED), 3_000_000);
        }
    }

    private String printed() {
        String text = printed.toString(StandardCharsets.UTF_8);
        printed.reset();
        return text;
    }

    @Test
    void exportPrintsPendingMessagesAsJsonLines() throws IOException {
        assertEquals(Inspection.GOOD, inspection.export());
        List<String> lines = printed().lines().toList();
        assertEquals(3, lines.size());
        JsonObject m0 = JsonParser.parseString(lines.get(0)).getAsJsonObject();
        assertEquals(
                "m0 lab-1 true AQID",
                m0.get("owed").getAsString() + " " + m0.get("last_endpoint").getAsString() + " "
                        + m0.get("possibly_run").getAsBoolean() + " "
                        + m0.get("body").getAsString());
        assertTrue(lines.get(1).contains("\"end\":\"refused\",\"detail\":\"busy\""), lines.get(1));
        assertEquals(
                "{\"remembered\":\"a mail\",\"until\":\"1970-01-01T00:00:03Z\",\"end\":\"delivered\"}", lines.get(2));
    }

    @Test
    void damageIsReportedInTextAndExitCodeWithoutChanges() throws IOException {
        assertEquals(Inspection.GOOD, inspection.verify());
        assertTrue(printed().startsWith("good: "));
        Path file = folder.resolve(Segment.fileName(1));
        byte[] content = Files.readAllBytes(file);
        content[700] ^= 1;
        Files.write(file, content);
        assertEquals(Inspection.DAMAGED, inspection.verify());
        assertTrue(printed().startsWith("damaged " + Segment.fileName(1) + " from byte "));
        assertEquals(Inspection.DAMAGED, inspection.inspect());
        String text = printed();
        assertTrue(text.contains("owed 2, of which out 1, possibly run 2, end decided 1"), text);
        assertEquals(-1, java.util.Arrays.mismatch(content, Files.readAllBytes(file)));
    }

    @Test
    void compactKeepsLiveRecords() throws IOException {
        assertEquals(Inspection.GOOD, inspection.compact(1 << 20));
        try (Stream<Path> files = Files.list(folder)) {
            assertEquals(2, files.count(), "a segment and the lock");
        }
        printed();
        inspection.export();
        assertEquals(3, printed().lines().count());
    }

    @Test
    void missingFolderOrFolderInUseIsRejected() throws IOException {
        try (SegmentedJournal running = open()) {
            assertEquals(0, running.unwrittenCount());
            assertThrows(JournalException.class, inspection::inspect);
        }
        assertThrows(JournalException.class, () -> new Inspection(folder.resolve("no"), System.out).verify());
    }
}
