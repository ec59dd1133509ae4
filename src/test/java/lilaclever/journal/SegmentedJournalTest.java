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
import lilaclever.DecisionModule.KeyScope;
import lilaclever.DecisionModule.MessageClass;
import lilaclever.DecisionModule.RepeatSafety;
import lilaclever.routing.ClassVersion;
import lilaclever.routing.FinalStatus;
import lilaclever.routing.PendingMessage;
import lilaclever.routing.Submission;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The journal alone: state after a restart, damage, a full disk, and the size of the folder. */
class SegmentedJournalTest {
    private static final long QUOTA_BYTES = 512 * 1024;

    private final SimDisk disk = new SimDisk();
    private long clockMicros;

    private SegmentedJournal open() throws IOException {
        return open(QUOTA_BYTES);
    }

    private SegmentedJournal open(long quotaBytes) throws IOException {
        return new SegmentedJournal(
                disk, quotaBytes, Durability.NONE, RandomRun.clocks(() -> clockMicros), new SplittableRandom(3));
    }

    private static boolean accept(SegmentedJournal journal, String id, int size) {
        return journal.recordAccepted(
                "http", new Submission(id, null, 2, 7, "key", new byte[size], false, true, 28), 99, 0);
    }

    private static PendingMessage pending(SegmentedJournal journal, String id) {
        return journal.pendingMessages().stream()
                .filter(message -> message.submission().id().equals(id))
                .findFirst()
                .orElse(null);
    }

    @Test
    void restartFindsFirstAttemptThatMayHaveRun() throws IOException {
        try (SegmentedJournal journal = open()) {
            assertTrue(accept(journal, "m", 10));
            journal.recordAttempt("m", "a", 1, 100);
            journal.recordOutcome("m", true);
            journal.recordAttempt("m", "b", 2, 200);
            journal.recordOutcome("m", false);
            journal.recordAttempt("m", "c", 3, 300);
        }
        for (int run = 0; run < 2; run++) {
            try (SegmentedJournal journal = open()) {
                PendingMessage message = pending(journal, "m");
                assertEquals(
                        "3 true true b 2 200 99",
                        message.attempts() + " " + message.isInFlight() + " " + message.mayHaveRun() + " "
                                + message.uncertainHost() + " " + message.uncertainZone() + " "
                                + message.uncertainSentWallMicros() + " "
                                + message.deadlineWallMicros());
                assertEquals(
                        "http key 7 2 10",
                        message.front() + " " + message.submission().key() + " "
                                + message.submission().destination() + " "
                                + message.submission().messageClass().number() + " "
                                + message.submission().body().length);
            }
        }
    }

    // Damage

    private void flipBit(String name, int at) {
        byte[] content = disk.content(name).clone();
        content[at] ^= 4;
        disk.putFile(name, content);
    }

    /**
     * One flipped bit at any position: all records but one are read, and every attempt counts as one that may have run,
     * so that no payment is repeated.
     */
    @Test
    void flippedBitLosesOneRecordAndAttemptsMayHaveRun() throws IOException {
        List<Integer> starts = new ArrayList<>();
        try (SegmentedJournal journal = open()) {
            for (int i = 0; i < 20; i++) {
                accept(journal, "m" + i, 20);
                starts.add(disk.operations.size());
                journal.recordAttempt("m" + i, "a", 0, 5);
            }
        }
        List<SimDisk.Operation> recordedOperations = List.copyOf(disk.operations);
        String name = Segment.fileName(1);
        int used = recordedOperations.stream()
                .filter(operation -> operation.kind() == SimDisk.OperationKind.WRITE && operation.bytes().length < 1000)
                .mapToInt(operation -> (int) operation.position() + operation.bytes().length)
                .max()
                .orElse(0);
        int lastRecords = used - 700;
        for (int at = 0; at < used; at += at < 700 || at >= lastRecords ? 1 : 7) {
            SimDisk damaged = SimDisk.afterKill(recordedOperations, recordedOperations.size(), 0);
            byte[] content = damaged.content(name);
            content[at] ^= 4;
            try (SegmentedJournal journal = RandomRun.open(damaged, QUOTA_BYTES, Durability.NONE)) {
                int recovered = journal.pendingMessages().size();
                assertTrue(recovered >= 19, "bit at " + at + ": " + recovered);
                for (PendingMessage message : journal.pendingMessages()) {
                    assertTrue(
                            message.isInFlight() || message.mayHaveRun(),
                            "bit at " + at + ": " + RandomRun.describe(message));
                }
            }
            // The recovered state is migrated: the next run has it without the damaged file.
            try (SegmentedJournal journal = RandomRun.open(damaged, QUOTA_BYTES, Durability.NONE)) {
                assertTrue(journal.pendingMessages().size() >= 19
                        && journal.recoveryReport().damages().isEmpty());
                journal.pendingMessages().forEach(message -> assertTrue(message.isInFlight() || message.mayHaveRun()));
            }
        }
    }

    @Test
    void damagedFileIsKeptAndReportedWithFileAndOffset() throws IOException {
        try (SegmentedJournal journal = open()) {
            for (int i = 0; i < 100; i++) {
                accept(journal, "m" + i, 20);
            }
        }
        flipBit(Segment.fileName(1), 400);
        try (SegmentedJournal journal = open()) {
            assertEquals(99, journal.pendingMessages().size());
            assertEquals(1, journal.recoveryReport().damages().size());
            Recovery.Damage damage = journal.recoveryReport().damages().get(0);
            assertTrue(damage.from() <= 400 && damage.to() > 400 && damage.to() - damage.from() < 200);
            assertTrue(
                    disk.fileNames().contains("damaged-" + damage.file()),
                    disk.fileNames().toString());
        }
    }

    /** Recovery from damage, which searches for the next valid record, must not accept one inside a client's body. */
    @Test
    void recordInsideBodyIsNeverRead() throws IOException {
        SegmentFormat.RecordWriter forged = new SegmentFormat.RecordWriter();
        RecordEncoder.settled(forged, "victim");
        ByteBuffer bytes = forged.withChecksums(0);
        byte[] body = new byte[bytes.remaining()];
        bytes.get(body);
        try (SegmentedJournal journal = open()) {
            accept(journal, "victim", 10);
            journal.recordAccepted("http", new Submission("evil", null, 0, 7, null, body, false, false, 28), 99, 0);
            accept(journal, "last", 10);
        }
        byte[] all = disk.content(Segment.fileName(1));
        for (int at = SegmentFormat.OVERHEAD_BYTES; at < all.length; at++) {
            if (all[at] == 'e' && all[at + 1] == 'v' && all[at + 2] == 'i') {
                flipBit(Segment.fileName(1), at);
                break;
            }
        }
        try (SegmentedJournal journal = open()) {
            assertEquals(
                    List.of("victim", "last"),
                    journal.pendingMessages().stream()
                            .map(message -> message.submission().id())
                            .toList());
        }
    }

    /** Only the newest segment may end in an incomplete record; in any other one a missing end is damage. */
    @Test
    void truncatedSegmentIsDamagedUnlessNewest() throws IOException {
        try (SegmentedJournal journal = open()) {
            for (int i = 0; i < 60; i++) {
                accept(journal, "m" + i, 300);
            }
        }
        byte[] first = disk.content(Segment.fileName(1));
        int used = first.length;
        while (first[used - 1] == 0) {
            used--;
        }
        disk.putFile(Segment.fileName(1), java.util.Arrays.copyOf(first, used - 30));
        try (SegmentedJournal journal = open()) {
            assertEquals(59, journal.pendingMessages().size());
            assertEquals(1, journal.recoveryReport().damages().size());
        }
    }

    @Test
    void missingSegmentMakesEarlierAttemptsPossiblyRun() throws IOException {
        try (SegmentedJournal journal = open()) {
            accept(journal, "old", 10);
            for (int i = 0; i < 6; i++) {
                accept(journal, "m" + i, 9000);
            }
        }
        disk.delete(Segment.fileName(2));
        try (SegmentedJournal journal = open()) {
            assertEquals(1, journal.recoveryReport().missingSegments());
            assertTrue(pending(journal, "old").mayHaveRun());
        }
    }

    // Formats

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

    private static byte[] legacyAccepted(String id) {
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

    private static byte[] concatenate(byte[]... parts) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (byte[] p : parts) {
            out.writeBytes(p);
        }
        return out.toByteArray();
    }

    /** The legacy file is migrated once, also if the process is killed during that. */
    @Test
    void legacyFileIsMigratedWhereverThatIsInterrupted() throws IOException {
        byte[] torn = legacyAccepted("torn");
        disk.putFile(
                "journal",
                concatenate(
                        legacyAccepted("a"),
                        legacyAccepted("b"),
                        legacyAttempt("a"),
                        java.util.Arrays.copyOf(torn, torn.length - 2)));
        disk.putFile("journal.new", new byte[100]);
        int before = disk.operations.size();
        String state;
        try (SegmentedJournal journal = open()) {
            assertTrue(journal.recoveryReport().legacyFileFound());
            state = RandomRun.describe(journal, 0);
            assertEquals("identity of a", pending(journal, "a").submission().identity());
            assertTrue(pending(journal, "a").isInFlight()
                    && pending(journal, "a").lastHost().equals("host"));
        }
        assertFalse(disk.fileNames().contains("journal"), disk.fileNames().toString());
        for (int cut = before; cut <= disk.operations.size(); cut++) {
            try (SegmentedJournal journal =
                    RandomRun.open(SimDisk.afterKill(disk.operations, cut, 7), QUOTA_BYTES, Durability.NONE)) {
                assertEquals(state, RandomRun.describe(journal, 0), "cut at " + cut);
            }
        }
    }

    @Test
    void newerFormatIsRejectedWithoutChanges() throws IOException {
        disk.putFile(
                Segment.fileName(1),
                SegmentFormat.encodeHeader(
                                new SegmentFormat.Header(SegmentFormat.VERSION + 1, 1, 5, 0, BootClock.UNKNOWN))
                        .array());
        disk.putFile("journal.new", new byte[3]);
        int before = disk.operations.size();
        JournalException e = assertThrows(JournalException.class, this::open);
        assertTrue(
                e.getMessage().contains(Segment.fileName(1) + " is of format " + (SegmentFormat.VERSION + 1)),
                e.getMessage());
        assertEquals(before, disk.operations.size());
    }

    /** Version 1 had no fingerprints, and only one requester per result. */
    @Test
    void versionOneSegmentIsRead() throws IOException {
        SegmentFormat.RecordWriter out = new SegmentFormat.RecordWriter();
        RecordEncoder.previous(out, 0, 0);
        out.beginRecord(SegmentFormat.RecordType.REMEMBERED)
                .putText("i")
                .putInt(FinalStatus.Kind.FAILED.ordinal())
                .putLong(0)
                .putText("why")
                .putLong(77)
                .endRecord();
        out.beginRecord(SegmentFormat.RecordType.SNAPSHOT)
                .putText("http")
                .putText("s")
                .putFlag(false)
                .putInt(1)
                .putInt(7)
                .putFlag(false)
                .putFlag(false)
                .putFlag(false)
                .putLong(20)
                .putLong(99)
                .putBytes(new byte[3])
                .putInt(2)
                .putFlag(true)
                .putText("h")
                .putInt(0)
                .putLong(5)
                .putFlag(false)
                .putText("")
                .putInt(0)
                .putLong(0)
                .putFlag(false)
                .endRecord();
        java.nio.ByteBuffer all = java.nio.ByteBuffer.allocate(16 * 1024);
        all.put(SegmentFormat.encodeHeader(new SegmentFormat.Header(1, 1, 5, 0, BootClock.UNKNOWN)))
                .put(out.withChecksums(5));
        disk.putFile(Segment.fileName(1), all.array());
        try (SegmentedJournal journal = open()) {
            assertEquals(List.of(), journal.recoveryReport().damages());
            assertEquals(
                    new lilaclever.identity.CompletedMessage<>(
                            new FinalStatus(FinalStatus.Kind.FAILED, 0, "why"), null, 77),
                    journal.remembered("i"));
            assertTrue(pending(journal, "s").isInFlight()
                    && pending(journal, "s").attempts() == 2
                    && pending(journal, "s").attachedSubmitters().isEmpty());
            assertEquals(
                    ClassVersion.ofNumber(1), pending(journal, "s").submission().messageClass());
            assertTrue(journal.recordAttached("s", "mllp", "x"));
        }
        try (SegmentedJournal journal = open()) {
            assertEquals(
                    List.of(new lilaclever.routing.PendingMessage.Submitter("mllp", "x")),
                    pending(journal, "s").attachedSubmitters());
        }
    }

    /** Guards against a copied message of an earlier format that depends on what the next start reads. */
    @Test
    void resolvedClassIsKeptInTheCopyOfAMessageOfVersionTwo() throws IOException {
        disk.putFile(Segment.fileName(1), EarlierFormat.segment("held", 2, 99, true));
        ClassVersion payment =
                new ClassVersion(4, "payment", new MessageClass(1, 2, 3, RepeatSafety.UNSAFE, KeyScope.ALL, 5, false));
        try (SegmentedJournal journal = open()) {
            journal.resolveClasses(stored -> stored.equals(ClassVersion.ofNumber(2)) ? payment : null);
            journal.compactAll();
        }
        try (SegmentedJournal journal = open()) {
            assertEquals(
                    new ClassVersion(ClassVersion.UNRESOLVED, "payment", payment.definition()),
                    pending(journal, "held").submission().messageClass());
            assertTrue(pending(journal, "held").isInFlight());
        }
    }

    /** Guards against a repeat that is rejected as other content because fingerprints were of a class's number. */
    @Test
    void fingerprintOfVersionTwoIsNotCompared() throws IOException {
        disk.putFile(Segment.fileName(1), EarlierFormat.segment("held", 2, 99, true));
        try (SegmentedJournal journal = open()) {
            assertNull(journal.remembered(EarlierFormat.REMEMBERED_IDENTITY).fingerprint());
        }
    }

    /**
     * Repeat windows differ: guards against an expired result being kept, and reported, because an older one has not
     * expired.
     */
    @Test
    void remembersByExpiryTimeNotByOrder() throws IOException {
        try (SegmentedJournal journal = open()) {
            journal.remember("long", FinalStatus.of(FinalStatus.Kind.DELIVERED), 1000);
            journal.remember("short", FinalStatus.of(FinalStatus.Kind.DELIVERED), 10);
            journal.remember("middle", FinalStatus.of(FinalStatus.Kind.DELIVERED), 500);
            journal.maintain(10);
            assertNull(journal.remembered("short"));
            journal.removeSoonestExpiring();
            assertNull(journal.remembered("middle"));
            assertEquals(1, journal.rememberedCount());
        }
    }

    /** Guards against the result of an earlier message being reported for a later one with the same identity. */
    @Test
    void newMessageDoesNotInheritEarlierResult() throws IOException {
        Submission submission = new Submission("m2", "i", 0, 7, null, new byte[1], false, false, 20);
        try (SegmentedJournal journal = open()) {
            journal.remember("i", FinalStatus.of(FinalStatus.Kind.DELIVERED), 10);
            assertTrue(
                    journal.recordAccepted("mllp", submission, 99, 11)); // before the turn that would have removed it
            assertNull(journal.remembered("i"));
        }
        try (SegmentedJournal journal = open()) {
            assertNull(journal.remembered("i"));
        }
    }

    @Test
    void folderIsLockedForOneProgram(@TempDir Path folder) throws IOException {
        FolderDisk first = FolderDisk.lock(folder);
        assertTrue(assertThrows(JournalException.class, () -> FolderDisk.lock(folder))
                .getMessage()
                .contains("in use"));
        first.close();
        FolderDisk.lock(folder).close();
    }

    // Clocks

    /**
     * The clock is set back by an hour between two runs: an attempt must not look younger than it is, or an order would
     * be repeated after its window, and no message may get an additional hour to its deadline.
     */
    @Test
    void storedTimesFollowWallClockStepBetweenRuns() throws IOException {
        long hourMicros = 3_600_000_000L;
        long[] wallTimesMicros = {5 * hourMicros, 4 * hourMicros + 7_000_000, 4 * hourMicros + 9_000_000};
        long[] uptimesMicros = {hourMicros, hourMicros + 7_000_000, 1_000};
        long[] bootIds = {77, 77, 78};
        for (int run = 0; run < 3; run++) {
            long wallMicros = wallTimesMicros[run];
            JournalClocks clocks = new JournalClocks(
                    () -> 0, () -> wallMicros, new BootClock(bootIds[run], wallMicros - uptimesMicros[run]));
            try (SegmentedJournal journal =
                    new SegmentedJournal(disk, QUOTA_BYTES, Durability.NONE, clocks, new SplittableRandom(run))) {
                if (run == 0) {
                    journal.recordAccepted(
                            "http",
                            new Submission("m", null, 2, 7, null, new byte[3], false, false, 28_000_000),
                            wallMicros + 28_000_000,
                            wallMicros);
                    journal.recordAttempt("m", "a", 0, wallMicros + 1_000_000);
                    journal.remember("i", FinalStatus.of(FinalStatus.Kind.DELIVERED), wallMicros + hourMicros);
                } else {
                    // The second run starts 7 s later by the monotonic clock. The third one follows a reboot and has to
                    // trust the wall clock of the segment that it reads.
                    assertEquals(
                            4 * hourMicros + 28_000_000,
                            pending(journal, "m").deadlineWallMicros() + (run == 2 ? -hourMicros : 0));
                    assertEquals(
                            4 * hourMicros + 1_000_000,
                            pending(journal, "m").lastAttemptWallMicros() + (run == 2 ? -hourMicros : 0));
                    assertEquals(
                            5 * hourMicros, journal.remembered("i").untilWallMicros() + (run == 2 ? -hourMicros : 0));
                }
            }
        }
    }

    // Space

    /**
     * With the disk full of pending messages, all their attempts must still be written; only new messages are rejected.
     */
    @ParameterizedTest
    @ValueSource(ints = {10, 3000, 20_000, 65_536})
    void fullDiskHasSpaceForAttemptsWithinQuota(int largeBodyBytes) throws IOException {
        int smallCount = 100;
        try (SegmentedJournal journal = open()) {
            for (int i = 0; i < smallCount; i++) {
                assertTrue(accept(journal, "a-message-of-" + i, 10));
            }
            for (int i = 0; accept(journal, "large" + i, largeBodyBytes); i++) {
                assertTrue(i < QUOTA_BYTES / largeBodyBytes);
            }
            int pendingCount = journal.pendingMessages().size();
            for (int attempt = 0; attempt < 16; attempt++) {
                for (PendingMessage message : List.copyOf(journal.pendingMessages())) {
                    assertTrue(
                            journal.recordAttempt(message.submission().id(), "an-endpoint", 0, 1),
                            message.submission().id());
                    journal.recordOutcome(message.submission().id(), true);
                    journal.maintain(0);
                    assertTrue(disk.totalBytes() <= QUOTA_BYTES);
                }
            }
            assertFalse(accept(journal, "more", largeBodyBytes));
            assertEquals(0, journal.unwrittenCount());
            for (int i = 0; i < smallCount; i++) {
                journal.recordFinalStatus(
                        "a-message-of-" + i, new FinalStatus(FinalStatus.Kind.REFUSED, 1, "x".repeat(1000)));
            }
            assertEquals(pendingCount, journal.pendingMessages().size());
        }
        try (SegmentedJournal journal = open()) {
            assertEquals(16, pending(journal, "a-message-of-0").attempts());
            assertTrue(disk.totalBytes() <= QUOTA_BYTES);
        }
    }

    /** If one turn writes more than the preallocated segments can take, segments are compacted at once. */
    @Test
    void manyRecordsInOneTurnFindSpace() throws IOException {
        try (SegmentedJournal journal = open()) {
            int accepted = 0;
            while (accept(journal, "m" + accepted, 300)) {
                accepted++;
            }
            for (int attempt = 0; attempt < 16; attempt++) {
                for (int i = 0; i < accepted; i++) {
                    assertTrue(journal.recordAttempt("m" + i, "an-endpoint", 0, 1), attempt + " m" + i);
                    journal.recordOutcome("m" + i, false);
                }
            }
            assertTrue(journal.copiedBytes() > 0 && disk.totalBytes() <= QUOTA_BYTES);
        }
        try (SegmentedJournal journal = open()) {
            journal.pendingMessages().forEach(message -> assertEquals(16, message.attempts()));
        }
    }

    /**
     * Other programs fill the disk: accepted messages keep their space, new ones are rejected, and freed space is used
     * again.
     */
    @ParameterizedTest
    @ValueSource(strings = {"space", "file size"})
    void diskFilledByOthersKeepsPromisedSpace(String limit) throws IOException {
        try (SegmentedJournal journal = open()) {
            int accepted = 0;
            for (; accepted < 150; accepted++) {
                assertTrue(accept(journal, "m" + accepted, 300));
                journal.maintain(0);
            }
            if (limit.equals("space")) {
                disk.quotaBytes = disk.totalBytes();
            } else {
                disk.maxFileBytes = 15_000; // the active segment and each further one end there
            }
            int acceptedLater = 0;
            while (accept(journal, "new" + acceptedLater, 300)) {
                acceptedLater++;
                assertTrue(acceptedLater < 1000);
            }
            for (int round = 0; round < 8; round++) {
                for (int i = 0; i < accepted; i++) {
                    assertTrue(journal.recordAttempt("m" + i, "host", 0, 1), round + " m" + i);
                    journal.recordOutcome("m" + i, true);
                    journal.maintain(0);
                }
            }
            assertEquals(0, journal.unwrittenCount());
            disk.quotaBytes = Long.MAX_VALUE;
            disk.maxFileBytes = Long.MAX_VALUE;
            clockMicros += 2_000_000;
            journal.maintain(0);
            assertTrue(accept(journal, "after", 300));
        }
        try (SegmentedJournal journal = open()) {
            assertEquals(8, pending(journal, "m7").attempts());
        }
    }

    /** All writes fail for a while: the results that could not be written are written later, without a restart. */
    @Test
    void unwrittenResultsAreWrittenLater() throws IOException {
        try (SegmentedJournal journal = open()) {
            accept(journal, "ends", 10);
            accept(journal, "fails", 10);
            accept(journal, "stays", 10);
            journal.recordAttempt("stays", "a", 0, 1);
            disk.writesFail = true;
            assertFalse(accept(journal, "refused", 10));
            assertFalse(journal.recordAttempt("fails", "a", 0, 1));
            journal.recordSettled("ends");
            journal.recordFinalStatus("fails", FinalStatus.of(FinalStatus.Kind.FAILED));
            journal.recordOutcome("stays", false);
            journal.remember("identity", FinalStatus.of(FinalStatus.Kind.DELIVERED), 1_000);
            assertEquals(4, journal.unwrittenCount());
            disk.writesFail = false;
            clockMicros += 2 * SpacePolicy.DISK_RETRY_DELAY_MICROS;
            journal.maintain(0);
            assertEquals(0, journal.unwrittenCount());
            assertTrue(accept(journal, "after", 10));
        }
        try (SegmentedJournal journal = open()) {
            assertEquals(
                    List.of("after", "fails", "stays"),
                    journal.pendingMessages().stream()
                            .map(message -> message.submission().id())
                            .sorted()
                            .toList());
            assertEquals(
                    FinalStatus.Kind.FAILED,
                    pending(journal, "fails").finalStatus().kind());
            assertTrue(pending(journal, "stays").mayHaveRun()
                    && !pending(journal, "stays").isInFlight());
            assertEquals(
                    FinalStatus.Kind.DELIVERED,
                    journal.remembered("identity").finalStatus().kind());
        }
    }

    /**
     * After a failed sync a later one proves nothing for the same data: everything is written again before any task
     * runs.
     */
    @Test
    void failedSyncRewritesAllBeforeTasksRun() throws Exception {
        try (SegmentedJournal journal = new SegmentedJournal(
                disk,
                QUOTA_BYTES,
                new Durability(Durability.Mode.GROUP, 0),
                RandomRun.clocks(() -> clockMicros),
                new SplittableRandom(3))) {
            java.util.concurrent.LinkedBlockingQueue<Runnable> loop = new java.util.concurrent.LinkedBlockingQueue<>();
            journal.setLoop(loop::add);
            accept(journal, "m", 10);
            boolean[] completed = {false};
            journal.whenDurable(() -> completed[0] = true);
            disk.syncsFail = true;
            journal.maintain(0);
            loop.take().run();
            assertFalse(completed[0]);
            assertEquals(1, journal.unwrittenCount());
            disk.syncsFail = false;
            journal.maintain(0);
            loop.take().run();
            assertTrue(completed[0]);
        }
        disk.delete(Segment.fileName(1)); // what the failed sync should have made durable
        try (SegmentedJournal journal = open()) {
            assertEquals(1, journal.pendingMessages().size());
        }
    }

    /** Under a steady load of messages that end, the folder stays small, however many have passed through. */
    @Test
    void endedMessagesTakeNoSpace() throws IOException {
        try (SegmentedJournal journal = open(16 << 20)) {
            for (int i = 0; i < 20_000; i++) {
                accept(journal, "m" + i, 300);
                if (i >= 100) {
                    journal.recordSettled("m" + (i - 100));
                }
                journal.maintain(0);
            }
            assertTrue(journal.allocatedBytes() <= 4 << 20, "bytes: " + journal.allocatedBytes());
        }
    }
}
