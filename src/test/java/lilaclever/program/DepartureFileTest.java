package lilaclever.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.stream.IntStream;
import lilaclever.conf.ConfigurationException;
import lilaclever.routing.EndpointMembership.Departure;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The file that stores which endpoints have left the list. */
class DepartureFileTest {
    private static final Departure FIRST = new Departure("s-1", "10.1.0.1:8500", 41, 1_700_000_000_000_000L);
    private static final Departure SECOND = new Departure("s-2", "10.1.0.1:8500", -2, 1_700_000_000_000_001L);

    @TempDir
    private Path state;

    private Path file() {
        return state.resolve(DepartureFile.FILE);
    }

    private static <T> String logged(Callable<T> call) throws Exception {
        PrintStream before = System.err;
        ByteArrayOutputStream written = new ByteArrayOutputStream();
        System.setErr(new PrintStream(written, true, StandardCharsets.UTF_8));
        try {
            call.call();
        } finally {
            System.setErr(before);
        }
        return written.toString(StandardCharsets.UTF_8);
    }

    private String loggedByReading() throws Exception {
        return logged(() -> DepartureFile.read(state));
    }

    private String loggedByWriting(List<Departure> departures) throws Exception {
        return logged(() -> {
            DepartureFile.write(state, departures);
            return null;
        });
    }

    @Test
    void writtenDeparturesAreReadBack() throws Exception {
        Departure odd = new Departure("tab\there\nüé%41+ x", "several", Long.MAX_VALUE, 0);
        DepartureFile.write(state, List.of(FIRST, odd, SECOND));
        assertEquals(List.of(FIRST, odd, SECOND), DepartureFile.read(state));
        DepartureFile.write(state, List.of(SECOND));
        assertEquals(List.of(SECOND), DepartureFile.read(state), "the whole file is replaced by the second write");
        DepartureFile.write(state, List.of());
        assertEquals(List.of(), DepartureFile.read(state));
    }

    @Test
    void missingFileIsReadAsEmpty() throws Exception {
        assertEquals(List.of(), DepartureFile.read(state));
    }

    @Test
    void unreadableFileIsNamed() throws Exception {
        Files.createDirectory(file());
        ConfigurationException e = assertThrows(ConfigurationException.class, () -> DepartureFile.read(state));
        assertTrue(e.getMessage().startsWith("state: departures can't be read: "), e.getMessage());
    }

    @Test
    void damagedLinesAreLoggedAndSkipped() throws Exception {
        DepartureFile.write(state, List.of(FIRST, SECOND));
        String good = Files.readString(file());
        String first = good.substring(0, good.indexOf('\n') + 1);
        String second = good.substring(first.length());
        List<String> damaged = List.of(
                "s-3\tx\t1\n",
                "s-3\tx\t1\t2\t3\n",
                "\tx\t1\t2\n",
                "s-3\t\t1\t2\n",
                "s-3\tx\tone\t2\n",
                "s-3\tx\t1\t\n",
                "s-%zz\tx\t1\t2\n",
                "s-%C\tx\t1\t2\n",
                "\u0000\u0000\u0000\n",
                "{\"departures\":2}\n",
                "\n");
        for (String line : damaged) {
            Files.writeString(file(), first + line + second);
            assertEquals(List.of(FIRST, SECOND), DepartureFile.read(state), line);
            String log = loggedByReading();
            assertTrue(log.contains(file() + " line 2 "), log);
        }
    }

    @Test
    void invalidUtf8IsSkipped() throws Exception {
        DepartureFile.write(state, List.of(FIRST));
        byte[] good = Files.readAllBytes(file());
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        bytes.write(new byte[] {(byte) 0xff, (byte) 0xc3, '\t', 'x', '\t', '\n'});
        bytes.write(good);
        Files.write(file(), bytes.toByteArray());
        assertEquals(List.of(FIRST), DepartureFile.read(state));
    }

    @Test
    void partlyWrittenLineIsSkipped() throws Exception {
        DepartureFile.write(state, List.of(FIRST, SECOND));
        byte[] whole = Files.readAllBytes(file());
        int firstEnd = new String(whole, StandardCharsets.US_ASCII).indexOf('\n') + 1;
        for (int length = firstEnd; length < whole.length; length++) {
            Files.write(file(), Arrays.copyOf(whole, length));
            assertEquals(List.of(FIRST), DepartureFile.read(state), "cut after " + length);
        }
        assertTrue(loggedByReading().contains(file() + " line 2 "));
    }

    @Test
    void oldestDeparturesAreDroppedWhereSpaceIsShort() throws Exception {
        List<Departure> many = IntStream.range(0, 4_096)
                .mapToObj(i -> new Departure("s-" + i, "10.1.0.1:8500", i, FIRST.wallMicros()))
                .toList();
        assertTrue(loggedByWriting(many).contains("do not fit into departures"));
        assertTrue(Files.size(file()) <= DepartureFile.RESERVED_BYTES / 2, "bytes: " + Files.size(file()));
        List<Departure> retained = DepartureFile.read(state);
        assertTrue(retained.size() > 700, "retained: " + retained.size());
        assertEquals(many.subList(many.size() - retained.size(), many.size()), retained);
    }

    @Test
    void onlyTheTooLongEntryIsDropped() throws Exception {
        Departure longest = new Departure("x".repeat(DepartureFile.MAX_LINE_BYTES), "a", 1, 1);
        assertTrue(loggedByWriting(List.of(FIRST, longest, SECOND)).contains("1 endpoints"));
        assertEquals(List.of(FIRST, SECOND), DepartureFile.read(state));
    }

    @Test
    void tooLongFileIsReadFromItsBeginning() throws Exception {
        List<String> lines = new ArrayList<>();
        for (int i = 0; i < 10_000; i++) {
            lines.add("s-" + i + "\ta\t1\t1\n");
        }
        Files.writeString(file(), String.join("", lines));
        assertTrue(loggedByReading().contains("is longer than " + DepartureFile.MAX_FILE_BYTES));
        assertEquals("s-0", DepartureFile.read(state).get(0).name());
    }

    @Test
    void failedWriteLeavesTheFileUnchanged() throws Exception {
        DepartureFile.write(state, List.of(FIRST));
        Files.createDirectory(state.resolve(DepartureFile.FILE + ".new"));
        assertThrows(IOException.class, () -> DepartureFile.write(state, List.of(SECOND)));
        assertEquals(List.of(FIRST), DepartureFile.read(state));
    }

    /** With a smaller size limit for a small disk, only the latest entries are written. */
    @Test
    void smallerSizeLimitDropsTheOldest() throws Exception {
        List<Departure> all = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            all.add(new Departure("s-" + i, "10.2.0.1:8500", i, 1));
        }
        int maxBytes = 1_000;
        DepartureFile.write(state, all, maxBytes);
        assertTrue(Files.size(state.resolve(DepartureFile.FILE)) <= maxBytes);
        List<Departure> retained = DepartureFile.read(state);
        assertTrue(!retained.isEmpty() && retained.size() < all.size(), "retained: " + retained.size());
        assertEquals(all.subList(all.size() - retained.size(), all.size()), retained);
    }
}
