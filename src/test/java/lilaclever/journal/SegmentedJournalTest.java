package lilaclever.journal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.zip.CRC32;
import lilaclever.routing.FinalStatus;
import lilaclever.routing.PendingMessage;
import lilaclever.routing.Submission;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The journal alone: what it says after a restart, what damage and a full disk do to it, and how large it gets. */
class SegmentedJournalTest {
    private static final long MOST = 512 * 1024;

    private final SimDisk disk = new SimDisk();
    private long clock;

    private SegmentedJournal open() throws IOException {
        return open(MOST);
    }

    private SegmentedJournal open(long most) throws IOException {
        return new SegmentedJournal(disk, most, Durability.NONE, Script.times(() -> clock), new SplittableRandom(3));
    }

    private static boolean take(SegmentedJournal journal, String id, int size) {
        return journal.recordAccepted(
                "http", new Submission(id, null, 2, 7, "key", new byte[size], false, true, 28), 99, 0);
    }

    private static PendingMessage owed(SegmentedJournal journal, String id) {
        return journal.pendingMessages().stream()
                .filter(o -> o.submission().id().equals(id))
                .findFirst()
                .orElse(null);
    }

    @Test
    void aRestartFindsTheFirstAttemptThatMayHaveRun() throws IOException {
        try (SegmentedJournal journal = open()) {
            assertTrue(take(journal, "m", 10));
            journal.recordAttempt("m", "a", 1, 100);
            journal.recordOutcome("m", true);
            journal.recordAttempt("m", "b", 2, 200);
            journal.recordOutcome("m", false);
            journal.recordAttempt("m", "c", 3, 300);
        }
        for (int life = 0; life < 2; life++) {
            try (SegmentedJournal journal = open()) {
                PendingMessage e = owed(journal, "m");
                assertEquals(
                        "3 true true b 2 200 99",
                        e.attempts() + " " + e.isInFlight() + " " + e.mayHaveRun() + " " + e.possibleRunHost() + " "
                                + e.possibleRunZone() + " " + e.possibleRunWallMicros() + " " + e.deadlineWallMicros());
                assertEquals(
                        "http key 7 2 10",
                        e.front() + " " + e.submission().key() + " "
                                + e.submission().destination() + " "
                                + e.submission().messageClass() + " "
                                + e.submission().body().length);
            }
        }
    }

    // ---- damage -----------------------------------------------------------------------------------------
    private void flip(String name, int at) {
        byte[] content = disk.content(name).clone();
        content[at] ^= 4;
        disk.put(name, content);
    }

    /** One flipped bit, wherever: all but the one record is read, and no payment goes out again on a guess. */
    @Test
    void aFlippedBitLosesOneRecordAndNoPaymentCountsAsNeverRun() throws IOException {
        List<Integer> starts = new ArrayList<>();
        try (SegmentedJournal journal = open()) {
            for (int i = 0; i < 20; i++) {
                take(journal, "m" + i, 20);
                starts.add(disk.ops.size());
                journal.recordAttempt("m" + i, "a", 0, 5);
            }
        }
        List<SimDisk.Op> ops = List.copyOf(disk.ops);
        String name = Segment.name(1);
        int used = ops.stream()
                .filter(o -> o.kind() == SimDisk.Kind.WRITE && o.bytes().length < 1000)
                .mapToInt(o -> (int) o.position() + o.bytes().length)
                .max()
                .orElse(0);
        for (int at = 0; at < used; at += at < 700 ? 1 : 7) {
            SimDisk damaged = SimDisk.killed(ops, ops.size(), 0);
            byte[] content = damaged.content(name);
            content[at] ^= 4;
            try (SegmentedJournal journal = Script.open(damaged, MOST, Durability.NONE)) {
                int there = journal.pendingMessages().size();
                assertTrue(there >= 19, "bit at " + at + ": " + there);
                for (PendingMessage o : journal.pendingMessages()) {
                    assertTrue(o.isInFlight() || o.mayHaveRun(), "bit at " + at + ": " + Script.text(o));
                }
            }
            // What was found is carried over: the next life knows it without the damaged file.
            try (SegmentedJournal journal = Script.open(damaged, MOST, Durability.NONE)) {
                assertTrue(journal.pendingMessages().size() >= 19
                        && journal.recovered().damages().isEmpty());
                journal.pendingMessages().forEach(o -> assertTrue(o.isInFlight() || o.mayHaveRun()));
            }
        }
    }

    @Test
    void aDamagedFileIsKeptAsideAndTheLossIsToldWithFileAndOffset() throws IOException {
        try (SegmentedJournal journal = open()) {
            for (int i = 0; i < 100; i++) {
                take(journal, "m" + i, 20);
            }
        }
        flip(Segment.name(1), 400);
        try (SegmentedJournal journal = open()) {
            assertEquals(99, journal.pendingMessages().size());
            assertEquals(1, journal.recovered().damages().size());
            Recovery.Damage damage = journal.recovered().damages().get(0);
            assertTrue(damage.from() <= 400 && damage.to() > 400 && damage.to() - damage.from() < 200);
            assertTrue(
                    disk.names().contains("damaged-" + damage.file()),
                    disk.names().toString());
        }
    }

    /** A client can't hide a record in a body, to be found when damage has the reader look for the next good one. */
    @Test
    void aRecordInsideABodyIsNeverRead() throws IOException {
        Format.Writer forged = new Format.Writer();
        RecordEncoder.ended(forged, "victim");
        ByteBuffer bytes = forged.sealed(0);
        byte[] body = new byte[bytes.remaining()];
        bytes.get(body);
        try (SegmentedJournal journal = open()) {
            take(journal, "victim", 10);
            journal.recordAccepted("http", new Submission("evil", null, 0, 7, null, body, false, false, 28), 99, 0);
            take(journal, "last", 10);
        }
        byte[] all = disk.content(Segment.name(1));
        for (int at = Format.OVERHEAD; at < all.length; at++) {
            if (all[at] == 'e' && all[at + 1] == 'v' && all[at + 2] == 'i') {
                flip(Segment.name(1), at);
                break;
            }
        }
        try (SegmentedJournal journal = open()) {
            assertEquals(
                    List.of("victim", "last"),
                    journal.pendingMessages().stream()
                            .map(o -> o.submission().id())
                            .toList());
        }
    }

    /** Only the newest file may end in a torn record: one that lost its end before that has lost something. */
    @Test
    void aFileThatWasCutShortIsDamagedUnlessItIsTheNewest() throws IOException {
        try (SegmentedJournal journal = open()) {
            for (int i = 0; i < 60; i++) {
                take(journal, "m" + i, 300);
            }
        }
        byte[] first = disk.content(Segment.name(1));
        int used = first.length;
        while (first[used - 1] == 0) {
            used--;
        }
        disk.put(Segment.name(1), java.util.Arrays.copyOf(first, used - 30));
        try (SegmentedJournal journal = open()) {
            assertEquals(59, journal.pendingMessages().size());
            assertEquals(1, journal.recovered().damages().size());
        }
    }

    @Test
    void aMissingFileHasAllBeforeItCountAsPossiblyRun() throws IOException {
        try (SegmentedJournal journal = open()) {
            take(journal, "old", 10);
            for (int i = 0; i < 6; i++) {
                take(journal, "m" + i, 9000);
            }
        }
        disk.delete(Segment.name(2));
        try (SegmentedJournal journal = open()) {
            assertEquals(1, journal.recovered().missing());
            assertTrue(owed(journal, "old").mayHaveRun());
        }
    }

    // ---- formats ----------------------------------------------------------------------------------------
    private static byte[] legacy(Consumer<DataOutputStream> content) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        content.accept(new DataOutputStream(bytes));
        CRC32 crc = new CRC32();
        crc.update(bytes.toByteArray());
        return ByteBuffer.allocate(bytes.size() + 8)
                .putInt(bytes.size())
                .putInt((int) crc.getValue())
                .put(bytes.toByteArray())
                .array();
    }

    private static byte[] legacyTaken(String id) {
        return legacy(out -> {
            try {
                out.writeByte(0);
                for (String s : new String[] {"http", id, "identity of " + id}) {
                    out.writeUTF(s);
                }
                out.writeInt(2);
                out.writeInt(7);
                out.writeUTF("");
                out.writeBoolean(false);
                out.writeBoolean(true);
                out.writeLong(28);
                out.writeLong(99);
                out.writeInt(3);
                out.write(new byte[] {1, 2, 3});
            } catch (IOException e) {
                throw new java.io.UncheckedIOException(e);
            }
        });
    }

    private static byte[] legacyAttempt(String id) {
        return legacy(out -> {
            try {
                out.writeByte(1);
                out.writeUTF(id);
                out.writeUTF("host");
                out.writeInt(4);
                out.writeLong(50);
            } catch (IOException e) {
                throw new java.io.UncheckedIOException(e);
            }
        });
    }

    private static byte[] all(byte[]... parts) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (byte[] p : parts) {
            out.writeBytes(p);
        }
        return out.toByteArray();
    }

    /** The first format is carried over once, also by a life that is killed in the middle of it. */
    @Test
    void aFolderOfTheFirstFormatIsCarriedOverWhereverThatIsCut() throws IOException {
        byte[] torn = legacyTaken("torn");
        disk.put(
                "journal",
                all(
                        legacyTaken("a"),
                        legacyTaken("b"),
                        legacyAttempt("a"),
                        java.util.Arrays.copyOf(torn, torn.length - 2)));
        disk.put("journal.new", new byte[100]);
        int before = disk.ops.size();
        String state;
        try (SegmentedJournal journal = open()) {
            assertTrue(journal.recovered().carriedOver());
            state = Script.text(journal, 0);
            assertEquals("identity of a", owed(journal, "a").submission().identity());
            assertTrue(owed(journal, "a").isInFlight()
                    && owed(journal, "a").lastHost().equals("host"));
        }
        assertFalse(disk.names().contains("journal"), disk.names().toString());
        for (int cut = before; cut <= disk.ops.size(); cut++) {
            try (SegmentedJournal journal = Script.open(SimDisk.killed(disk.ops, cut, 7), MOST, Durability.NONE)) {
                assertEquals(state, Script.text(journal, 0), "cut at " + cut);
            }
        }
    }

    @Test
    void aNewerFormatIsRefusedAndNothingIsTouched() throws IOException {
        disk.put(
                Segment.name(1),
                Format.header(new Format.Header(Format.VERSION + 1, 1, 5, 0, BootClock.UNKNOWN))
                        .array());
        disk.put("journal.new", new byte[3]);
        int before = disk.ops.size();
        JournalException e = assertThrows(JournalException.class, this::open);
        assertTrue(e.getMessage().contains(Segment.name(1) + " is of format " + (Format.VERSION + 1)), e.getMessage());
        assertEquals(before, disk.ops.size());
    }

    /** Version 1 knew no fingerprints and nobody but the first to whom an end is owed. */
    @Test
    void whatVersionOneWroteIsRead() throws IOException {
        Format.Writer out = new Format.Writer();
        RecordEncoder.previous(out, 0, 0);
        out.begin(Format.Type.REMEMBERED)
                .text("i")
                .small(FinalStatus.Kind.FAILED.ordinal())
                .number(0)
                .text("why")
                .number(77)
                .end();
        out.begin(Format.Type.SNAPSHOT)
                .text("http")
                .text("s")
                .flag(false)
                .small(1)
                .small(7)
                .flag(false)
                .flag(false)
                .flag(false)
                .number(20)
                .number(99)
                .bytes(new byte[3])
                .small(2)
                .flag(true)
                .text("h")
                .small(0)
                .number(5)
                .flag(false)
                .text("")
                .small(0)
                .number(0)
                .flag(false)
                .end();
        java.nio.ByteBuffer all = java.nio.ByteBuffer.allocate(16 * 1024);
        all.put(Format.header(new Format.Header(1, 1, 5, 0, BootClock.UNKNOWN))).put(out.sealed(5));
        disk.put(Segment.name(1), all.array());
        try (SegmentedJournal journal = open()) {
            assertEquals(List.of(), journal.recovered().damages());
            assertEquals(
                    new lilaclever.identity.CompletedMessage<>(
                            new FinalStatus(FinalStatus.Kind.FAILED, 0, "why"), null, 77),
                    journal.remembered("i"));
            assertTrue(owed(journal, "s").isInFlight()
                    && owed(journal, "s").attempts() == 2
                    && owed(journal, "s").attachedSubmitters().isEmpty());
            assertTrue(journal.recordAttached("s", "mllp", "x"));
        }
        try (SegmentedJournal journal = open()) {
            assertEquals(
                    List.of(new lilaclever.routing.PendingMessage.Submitter("mllp", "x")),
                    owed(journal, "s").attachedSubmitters());
        }
    }

    /** Windows differ: guards against an end that is over being kept, and told, since one before it is not. */
    @Test
    void remembersByTimeAndNotByOrder() throws IOException {
        try (SegmentedJournal journal = open()) {
            journal.remember("long", FinalStatus.of(FinalStatus.Kind.DELIVERED), 1000);
            journal.remember("short", FinalStatus.of(FinalStatus.Kind.DELIVERED), 10);
            journal.remember("middle", FinalStatus.of(FinalStatus.Kind.DELIVERED), 500);
            journal.maintain(10);
            assertNull(journal.remembered("short"));
            journal.forgetSoonestExpiring();
            assertNull(journal.remembered("middle"));
            assertEquals(1, journal.rememberedCount());
        }
    }

    /** Guards against the end of an earlier message being given to one that came under its identity later. */
    @Test
    void aNewMessageHasNotEndedThoughAnEarlierOneHas() throws IOException {
        Submission h = new Submission("m2", "i", 0, 7, null, new byte[1], false, false, 20);
        try (SegmentedJournal journal = open()) {
            journal.remember("i", FinalStatus.of(FinalStatus.Kind.DELIVERED), 10);
            assertTrue(journal.recordAccepted("mllp", h, 99, 11)); // before the tidying that would have forgotten it
            assertNull(journal.remembered("i"));
        }
        try (SegmentedJournal journal = open()) {
            assertNull(journal.remembered("i"));
        }
    }

    @Test
    void aFolderIsForOneProgramAtATime(@TempDir Path folder) throws IOException {
        FolderDisk first = FolderDisk.take(folder);
        assertTrue(assertThrows(JournalException.class, () -> FolderDisk.take(folder))
                .getMessage()
                .contains("in use"));
        first.close();
        FolderDisk.take(folder).close();
    }

    // ---- clocks -----------------------------------------------------------------------------------------
    /**
     * The clock is set back by an hour between two lives: an attempt must not look younger than it is, or an order
     * would go out again after its window, and no message may live for an hour more.
     */
    @Test
    void whatIsKeptMovesWithAClockThatWasSetBetweenTwoLives() throws IOException {
        long hour = 3_600_000_000L;
        long[] walls = {5 * hour, 4 * hour + 7_000_000, 4 * hour + 9_000_000};
        long[] ups = {hour, hour + 7_000_000, 1_000};
        long[] boots = {77, 77, 78};
        for (int life = 0; life < 3; life++) {
            long wall = walls[life];
            JournalClocks times = new JournalClocks(() -> 0, () -> wall, new BootClock(boots[life], wall - ups[life]));
            try (SegmentedJournal journal =
                    new SegmentedJournal(disk, MOST, Durability.NONE, times, new SplittableRandom(life))) {
                if (life == 0) {
                    journal.recordAccepted(
                            "http",
                            new Submission("m", null, 2, 7, null, new byte[3], false, false, 28_000_000),
                            wall + 28_000_000,
                            wall);
                    journal.recordAttempt("m", "a", 0, wall + 1_000_000);
                    journal.remember("i", FinalStatus.of(FinalStatus.Kind.DELIVERED), wall + hour);
                } else {
                    // The second life is 7 s later by the machine's clock. The third has started the machine anew,
                    // and must believe the wall clock of the segment that it finds.
                    assertEquals(
                            4 * hour + 28_000_000, owed(journal, "m").deadlineWallMicros() + (life == 2 ? -hour : 0));
                    assertEquals(
                            4 * hour + 1_000_000, owed(journal, "m").lastAttemptWallMicros() + (life == 2 ? -hour : 0));
                    assertEquals(5 * hour, journal.remembered("i").untilWallMicros() + (life == 2 ? -hour : 0));
                }
            }
        }
    }

    // ---- room -------------------------------------------------------------------------------------------
    /** With the disk full of what is held, all its attempts must still be written; only new work is refused. */
    @ParameterizedTest
    @ValueSource(ints = {10, 3000, 20_000, 65_536})
    void aFullDiskHasRoomForAttemptsAndStaysWithinItsSize(int large) throws IOException {
        int small = 100;
        try (SegmentedJournal journal = open()) {
            for (int i = 0; i < small; i++) {
                assertTrue(take(journal, "a-message-of-" + i, 10));
            }
            for (int i = 0; take(journal, "large" + i, large); i++) {
                assertTrue(i < MOST / large);
            }
            int held = journal.pendingMessages().size();
            for (int attempt = 0; attempt < 16; attempt++) {
                for (PendingMessage o : List.copyOf(journal.pendingMessages())) {
                    assertTrue(
                            journal.recordAttempt(o.submission().id(), "an-endpoint", 0, 1),
                            o.submission().id());
                    journal.recordOutcome(o.submission().id(), true);
                    journal.maintain(0);
                    assertTrue(disk.total() <= MOST);
                }
            }
            assertFalse(take(journal, "more", large));
            assertEquals(0, journal.unwritten());
            for (int i = 0; i < small; i++) {
                journal.recordFinalStatus(
                        "a-message-of-" + i, new FinalStatus(FinalStatus.Kind.REFUSED, 1, "x".repeat(1000)));
            }
            assertEquals(held, journal.pendingMessages().size());
        }
        try (SegmentedJournal journal = open()) {
            assertEquals(16, owed(journal, "a-message-of-0").attempts());
            assertTrue(disk.total() <= MOST);
        }
    }

    /** Within one turn more may be written than the spare files hold: then files are emptied at once. */
    @Test
    void manyRecordsInOneTurnFindRoomToo() throws IOException {
        try (SegmentedJournal journal = open()) {
            int held = 0;
            while (take(journal, "m" + held, 300)) {
                held++;
            }
            for (int attempt = 0; attempt < 16; attempt++) {
                for (int i = 0; i < held; i++) {
                    assertTrue(journal.recordAttempt("m" + i, "an-endpoint", 0, 1), attempt + " m" + i);
                    journal.recordOutcome("m" + i, false);
                }
            }
            assertTrue(journal.copied() > 0 && disk.total() <= MOST);
        }
        try (SegmentedJournal journal = open()) {
            journal.pendingMessages().forEach(o -> assertEquals(16, o.attempts()));
        }
    }

    /** Others fill the disk: what was taken has its room, what is new is refused, and room that comes back is used. */
    @ParameterizedTest
    @ValueSource(strings = {"space", "file size"})
    void aDiskThatOthersFillKeepsThePromisesMade(String what) throws IOException {
        try (SegmentedJournal journal = open()) {
            int taken = 0;
            for (; taken < 150; taken++) {
                assertTrue(take(journal, "m" + taken, 300));
                journal.maintain(0);
            }
            if (what.equals("space")) {
                disk.most = disk.total();
            } else {
                disk.mostOfAFile = 15_000; // the file in use, and each further one, ends there
            }
            int more = 0;
            while (take(journal, "new" + more, 300)) {
                more++;
                assertTrue(more < 1000);
            }
            for (int round = 0; round < 8; round++) {
                for (int i = 0; i < taken; i++) {
                    assertTrue(journal.recordAttempt("m" + i, "host", 0, 1), round + " m" + i);
                    journal.recordOutcome("m" + i, true);
                    journal.maintain(0);
                }
            }
            assertEquals(0, journal.unwritten());
            disk.most = Long.MAX_VALUE;
            disk.mostOfAFile = Long.MAX_VALUE;
            clock += 2_000_000;
            journal.maintain(0);
            assertTrue(take(journal, "after", 300));
        }
        try (SegmentedJournal journal = open()) {
            assertEquals(8, owed(journal, "m7").attempts());
        }
    }

    /** No write works for a while: ends that could not be written are written later, without a restart. */
    @Test
    void endsThatCouldNotBeWrittenAreWrittenLater() throws IOException {
        try (SegmentedJournal journal = open()) {
            take(journal, "ends", 10);
            take(journal, "fails", 10);
            take(journal, "stays", 10);
            journal.recordAttempt("stays", "a", 0, 1);
            disk.writesFail = true;
            assertFalse(take(journal, "refused", 10));
            assertFalse(journal.recordAttempt("fails", "a", 0, 1));
            journal.recordSettled("ends");
            journal.recordFinalStatus("fails", FinalStatus.of(FinalStatus.Kind.FAILED));
            journal.recordOutcome("stays", false);
            journal.remember("identity", FinalStatus.of(FinalStatus.Kind.DELIVERED), 1_000);
            assertEquals(4, journal.unwritten());
            disk.writesFail = false;
            clock += 2 * Plan.PAUSE;
            journal.maintain(0);
            assertEquals(0, journal.unwritten());
            assertTrue(take(journal, "after", 10));
        }
        try (SegmentedJournal journal = open()) {
            assertEquals(
                    List.of("after", "fails", "stays"),
                    journal.pendingMessages().stream()
                            .map(o -> o.submission().id())
                            .sorted()
                            .toList());
            assertEquals(
                    FinalStatus.Kind.FAILED,
                    owed(journal, "fails").finalStatus().kind());
            assertTrue(owed(journal, "stays").mayHaveRun()
                    && !owed(journal, "stays").isInFlight());
            assertEquals(
                    FinalStatus.Kind.DELIVERED,
                    journal.remembered("identity").result().kind());
        }
    }

    /** A forcing that failed proves nothing of a later one: all is written again, and only then goes on. */
    @Test
    void afterAFailedForcingAllIsWrittenAgainBeforeAnythingHappens() throws Exception {
        try (SegmentedJournal journal = new SegmentedJournal(
                disk,
                MOST,
                new Durability(Durability.How.GROUP, 0),
                Script.times(() -> clock),
                new SplittableRandom(3))) {
            java.util.concurrent.LinkedBlockingQueue<Runnable> loop = new java.util.concurrent.LinkedBlockingQueue<>();
            journal.setLoop(loop::add);
            take(journal, "m", 10);
            boolean[] told = {false};
            journal.whenDurable(() -> told[0] = true);
            disk.forcesFail = true;
            journal.maintain(0);
            loop.take().run();
            assertFalse(told[0]);
            assertEquals(1, journal.unwritten());
            disk.forcesFail = false;
            journal.maintain(0);
            loop.take().run();
            assertTrue(told[0]);
        }
        disk.delete(Segment.name(1)); // what the failed forcing was for
        try (SegmentedJournal journal = open()) {
            assertEquals(1, journal.pendingMessages().size());
        }
    }

    /** A steady load that ends what it takes leaves a small folder, whatever has passed through. */
    @Test
    void whatIsPastTakesNoRoom() throws IOException {
        try (SegmentedJournal journal = open(16 << 20)) {
            for (int i = 0; i < 20_000; i++) {
                take(journal, "m" + i, 300);
                if (i >= 100) {
                    journal.recordSettled("m" + (i - 100));
                }
                journal.maintain(0);
            }
            assertTrue(journal.allocated() <= 4 << 20, "bytes: " + journal.allocated());
        }
    }
}
