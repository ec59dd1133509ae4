package lilaclever.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The journal alone: what it says after a restart, and how large it gets. */
class JournalTest {
    private static final long MOST = 512 * 1024;

    @TempDir
    private Path folder;

    private record Nobody(String name) implements Front {
        @Override
        public void taken(Message message) { }

        @Override
        public void turnedDown(Message message, Verdict verdict) { }

        @Override
        public void ended(Message message, Verdict verdict, Runnable settled) { }
    }

    private static Message message(String id, int size) {
        return new Message(new Handin(id, null, 2, 7, "key", new byte[size], false, true, 28), new Nobody("http"), 99);
    }

    private Journal open() throws IOException {
        return new Journal(folder, MOST);
    }

    @Test
    void aRestartFindsTheFirstAttemptThatMayHaveRun() throws IOException {
        try (Journal journal = open()) {
            assertTrue(journal.taken(message("m", 10), 0));
            journal.attempt("m", "a", 1, 100);
            journal.outcome("m", true);
            journal.attempt("m", "b", 2, 200);
            journal.outcome("m", false);
            journal.attempt("m", "c", 3, 300);
        }
        for (int life = 0; life < 2; life++) { // the second time from the file that the first has written anew
            try (Journal journal = open()) {
                Journal.Entry e = journal.owed.get("m");
                assertEquals("3 true true b 2 200 99", e.attempts + " " + e.out + " " + e.mayHaveRun + " " + e.riskHost
                        + " " + e.riskZone + " " + e.riskWall + " " + e.deadlineWall);
                assertEquals("http key 7 2 10", e.front + " " + e.handin.key() + " " + e.handin.destination() + " "
                        + e.handin.messageClass() + " " + e.handin.body().length);
            }
        }
    }

    /** A kill at any byte leaves a file whose whole records are all read, and whose torn one is passed over. */
    @Test
    void aTornTailIsDroppedWhereverItIsTorn() throws IOException {
        try (Journal journal = open()) {
            journal.taken(message("a", 5), 0);
        }
        byte[] one = Files.readAllBytes(folder.resolve("journal"));
        try (Journal journal = open()) {
            journal.taken(message("b", 5), 0);
        }
        byte[] two = Files.readAllBytes(folder.resolve("journal"));
        for (int length = one.length; length < two.length; length++) {
            Files.write(folder.resolve("journal"), Arrays.copyOf(two, length));
            try (Journal journal = open()) {
                assertEquals("[a]", journal.owed.keySet().toString());
            }
        }
    }

    /** With the disk full of what is held, all its attempts must still be written; only new work is refused. */
    @Test
    void aFullDiskHasRoomForAttemptsAndStaysWithinItsSize() throws IOException {
        int small = 400;
        try (Journal journal = open()) {
            for (int i = 0; i < small; i++) {
                assertTrue(journal.taken(message("a-message-of-" + i, 10), 0));
            }
            for (int i = 0; journal.taken(message("large" + i, 20_000), 0); i++) {
                assertTrue(i < MOST / 20_000);
            }
            for (int attempt = 0; attempt < 16; attempt++) {
                for (int i = 0; i < small; i++) {
                    String id = "a-message-of-" + i;
                    assertTrue(journal.attempt(id, "an-endpoint", 0, 1) && journal.outcome(id, true), id);
                    journal.tidy(0);
                    assertTrue(Files.size(folder.resolve("journal")) <= MOST);
                }
            }
            // The new file is written beside the old one: that must fit too, or not be done.
            long before = Files.size(folder.resolve("journal"));
            assertFalse(journal.taken(message("more", 20_000), 0));
            long after = Files.size(folder.resolve("journal"));
            assertTrue(before == after || before + after <= MOST, before + " and " + after);
        }
        try (Journal journal = open()) {
            assertEquals(16, journal.owed.get("a-message-of-0").attempts);
        }
    }
}
