package lilaclever.journal;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import lilaclever.journal.SegmentFormat.RecordType;

/**
 * Reads a journal folder into the state without changing the folder. Segments are read in order through a window, so
 * memory use depends on the live records only. All headers are read first, so that a folder of a newer version is
 * rejected before anything else. {@link #handOver} then passes the files to the log; a kill during that does no harm,
 * since it changes nothing that the next recovery needs.
 */
public final class Recovery {
    /** A part of a file that could not be read. */
    public record Damage(String file, long from, long to) {}

    /**
     * Results of recovery: number of complete records, segments, damage, missing segments, and the last segment that
     * must be migrated out of the log.
     */
    public record Report(
            long records,
            int segments,
            List<Damage> damages,
            int missingSegments,
            boolean legacyFileFound,
            long lastToMigrate) {}

    /** A segment that was read, and its number of records by type. */
    record ScannedSegment(Segment segment, SegmentFormat.Header header, EnumMap<RecordType, Integer> counts) {}

    /** The name of a segment, and where the previous segment ends according to its first record; -1 if unknown. */
    private record SegmentStart(String name, long previousSegmentEnd) {}

    private final Disk disk;
    private final JournalState state;
    private final RecordDecoder decoder;
    private final BootClock bootClock;
    private final Consumer<String> faultLog;
    private final List<Damage> damages = new ArrayList<>();
    private final List<ScannedSegment> scannedSegments = new ArrayList<>();
    private List<String> fileNames = List.of();
    private long records;
    private int missingSegments;
    private boolean legacyFileFound;
    private long lastToMigrate = -1;

    /** {@code faultLog} receives one line per fault. */
    Recovery(Disk disk, JournalState state, BootClock bootClock, Consumer<String> faultLog) {
        this.disk = disk;
        this.state = state;
        decoder = new RecordDecoder(state);
        this.bootClock = bootClock;
        this.faultLog = faultLog;
    }

    /** Reads all files. */
    Report scan() throws IOException {
        fileNames = disk.fileNames();
        TreeMap<Long, SegmentStart> segments = new TreeMap<>();
        for (String name : fileNames) {
            long sequence = Segment.sequenceOf(name);
            if (sequence > 0) {
                segments.put(sequence, readStart(name));
            }
        }
        legacyFileFound = fileNames.contains(LegacyReader.FILE_NAME);
        if (legacyFileFound) {
            readLegacyFile();
        }
        readSegments(segments, legacyFileFound);
        return new Report(
                records, segments.size(), List.copyOf(damages), missingSegments, legacyFileFound, lastToMigrate);
    }

    /** The segments in order. */
    List<ScannedSegment> scannedSegments() {
        return scannedSegments;
    }

    /** Hands the files over to the log, and finishes work that an earlier run left incomplete. */
    void handOver(SegmentLog log) throws IOException {
        scannedSegments.forEach(scanned -> log.addRecovered(scanned.segment()));
        for (String name : fileNames) {
            if (name.startsWith(SegmentLog.DAMAGED_PREFIX)) {
                log.addQuarantined(name);
            } else if (name.equals(LegacyReader.UNFINISHED_FILE_NAME)) {
                deleteIfPossible(name);
            } else if (name.startsWith(SegmentLog.PREALLOCATED_PREFIX)) {
                log.addRecoveredPreallocated(name);
            }
        }
    }

    private void deleteIfPossible(String name) {
        try {
            disk.delete(name);
        } catch (IOException e) {
            faultLog.accept(name + " could not be deleted, tried again at the next start: " + e);
        }
    }

    /** Reads the start of a segment; a newer format version is rejected. */
    private SegmentStart readStart(String name) throws IOException {
        try (SegmentReader reader = new SegmentReader(disk, name)) {
            if (reader.header() != null && reader.header().version() > SegmentFormat.VERSION) {
                throw new JournalException(
                        name + " is of format " + reader.header().version() + ", and this program knows formats up to "
                                + SegmentFormat.VERSION + "; nothing was changed");
            }
            return new SegmentStart(name, reader.previousSegmentEnd());
        }
    }

    /**
     * Reads the single file of the legacy format as the oldest segment; its records are copied forward like any
     * other's.
     */
    private void readLegacyFile() throws IOException {
        Segment segment = new Segment(
                Segment.LEGACY_SEQUENCE,
                LegacyReader.FILE_NAME,
                SpacePolicy.roundUpToBlocks(disk.length(LegacyReader.FILE_NAME)));
        LegacyReader reader = new LegacyReader(state, segment);
        segment.usedBytes = reader.read(disk);
        lastToMigrate = Segment.LEGACY_SEQUENCE;
        if (reader.damaged()) {
            addDamage(segment, segment.usedBytes, disk.length(LegacyReader.FILE_NAME));
        }
        scannedSegments.add(new ScannedSegment(segment, null, new EnumMap<>(RecordType.class)));
    }

    private void readSegments(TreeMap<Long, SegmentStart> segments, boolean hasLegacyFile) throws IOException {
        long expectedSequence = hasLegacyFile && !segments.isEmpty() ? 1 : -1;
        for (Map.Entry<Long, SegmentStart> entry : segments.entrySet()) {
            long gap = expectedSequence > 0 ? entry.getKey() - expectedSequence : 0;
            if (gap > 0) {
                missingSegments += (int) gap;
                faultLog.accept(gap + " files missing before "
                        + entry.getValue().name() + "; earlier attempts in flight count as possibly run");
                state.assumeLostAttempts();
            }
            SegmentStart next = segments.get(entry.getKey() + 1);
            readSegment(entry.getKey(), entry.getValue().name(), next == null ? -1 : next.previousSegmentEnd());
            expectedSequence = entry.getKey() + 1;
        }
    }

    private void readSegment(long sequence, String name, long knownEnd) throws IOException {
        Segment segment = new Segment(sequence, name, SpacePolicy.roundUpToBlocks(disk.length(name)));
        EnumMap<RecordType, Integer> counts = new EnumMap<>(RecordType.class);
        try (SegmentReader reader = new SegmentReader(disk, name)) {
            scannedSegments.add(new ScannedSegment(segment, reader.header(), counts));
            if (reader.header() == null) {
                decoder.setWallShift(0);
                decoder.setVersion(SegmentFormat.VERSION); // without a salt no record of it is valid
            } else {
                decoder.setWallShift(
                        bootClock.wallShiftMicrosSince(reader.header().bootClock()));
                decoder.setVersion(reader.header().version());
            }
            segment.usedBytes = reader.read(knownEnd, new SegmentReader.Listener() {
                @Override
                public boolean onRecord(RecordType type, ByteBuffer content, long position, int size) {
                    records++;
                    counts.merge(type, 1, Integer::sum);
                    return decoder.apply(type, content, segment, size);
                }

                @Override
                public void onDamage(long from, long to) {
                    Recovery.this.addDamage(segment, from, to);
                }
            });
        }
        if (knownEnd > 0) {
            segment.usedBytes = knownEnd;
        }
    }

    private void addDamage(Segment segment, long from, long to) {
        segment.damaged = true;
        lastToMigrate = Math.max(lastToMigrate, segment.sequence);
        damages.add(new Damage(segment.name, from, to));
        faultLog.accept(segment.name + " can't be read from byte " + from + " to " + to
                + "; later records are read, and earlier attempts in flight count as possibly run");
        state.assumeLostAttempts();
    }
}
