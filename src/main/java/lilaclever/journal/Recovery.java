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
 * Reads a folder into the state, and changes nothing in it. Segments are read in their order, through a window, so the
 * memory that it takes is that of what is live. Every header is looked at first: a folder of a newer version is refused
 * before anything else. {@link #handOver} then hands the files to the log; being killed in it does no harm, as it changes
 * nothing that the next reading would miss.
 */
public final class Recovery {
    /** A part of a file that could not be read. */
    public record Damage(String file, long from, long to) {}

    /** What was found: whole records, files, damage, and the last file that must be left behind. */
    public record Report(
            long records, int segments, List<Damage> damages, int missingSegments, boolean legacyFileFound, long lastToMigrate) {}

    /** One segment that was read, and how many records of each type it has. */
    record ScannedSegment(Segment segment, SegmentFormat.Header header, EnumMap<RecordType, Integer> counts) {}

    /** A segment's name, and where the one before it ends as it says; -1 if it does not. */
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

    /** {@code log} hears of each damage, a line each. */
    Recovery(Disk disk, JournalState state, BootClock clock, Consumer<String> log) {
        this.disk = disk;
        this.state = state;
        decoder = new RecordDecoder(state);
        this.bootClock = clock;
        this.faultLog = log;
    }

    /** Reads all. */
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
        return new Report(records, segments.size(), List.copyOf(damages), missingSegments, legacyFileFound, lastToMigrate);
    }

    /** The segments in their order. */
    List<ScannedSegment> scannedSegments() {
        return scannedSegments;
    }

    /** Hands what was found to the log, and ends what an earlier life had begun. */
    void handOver(SegmentLog to) throws IOException {
        scannedSegments.forEach(f -> to.addRecovered(f.segment()));
        for (String name : fileNames) {
            if (name.startsWith(SegmentLog.DAMAGED_PREFIX)) {
                to.addQuarantined(name);
            } else if (name.equals(LegacyReader.UNFINISHED_FILE_NAME)) {
                deleteIfPossible(name);
            } else if (name.startsWith(SegmentLog.SPARE_PREFIX)) {
                to.addRecoveredSpare(name);
            }
        }
    }

    private void deleteIfPossible(String name) {
        try {
            disk.delete(name);
        } catch (IOException e) {
            faultLog.accept(name + " could not be deleted, which the next start does: " + e);
        }
    }

    /** Looks at a segment's beginning; one of a newer version is refused. */
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

    /** The one file of the first format is read as the oldest segment, and copied forward like any other. */
    private void readLegacyFile() throws IOException {
        Segment all = new Segment(Segment.LEGACY_SEQUENCE, LegacyReader.FILE_NAME, SpacePolicy.roundUpToBlocks(disk.length(LegacyReader.FILE_NAME)));
        LegacyReader reader = new LegacyReader(state, all);
        all.usedBytes = reader.read(disk);
        lastToMigrate = Segment.LEGACY_SEQUENCE;
        if (reader.damaged()) {
            addDamage(all, all.usedBytes, disk.length(LegacyReader.FILE_NAME));
        }
        scannedSegments.add(new ScannedSegment(all, null, new EnumMap<>(RecordType.class)));
    }

    private void readSegments(TreeMap<Long, SegmentStart> segments, boolean legacy) throws IOException {
        long expected = legacy && !segments.isEmpty() ? 1 : -1;
        for (Map.Entry<Long, SegmentStart> entry : segments.entrySet()) {
            long gap = expected > 0 ? entry.getKey() - expected : 0;
            if (gap > 0) {
                missingSegments += (int) gap;
                faultLog.accept(gap + " files missing before " + entry.getValue().name()
                        + "; what was out before counts as possibly run");
                state.markPossiblyRun();
            }
            SegmentStart next = segments.get(entry.getKey() + 1);
            readSegment(entry.getKey(), entry.getValue().name(), next == null ? -1 : next.previousSegmentEnd());
            expected = entry.getKey() + 1;
        }
    }

    private void readSegment(long sequence, String name, long end) throws IOException {
        Segment segment = new Segment(sequence, name, SpacePolicy.roundUpToBlocks(disk.length(name)));
        EnumMap<RecordType, Integer> counts = new EnumMap<>(RecordType.class);
        try (SegmentReader reader = new SegmentReader(disk, name)) {
            scannedSegments.add(new ScannedSegment(segment, reader.header(), counts));
            decoder.setWallShift(
                    reader.header() == null
                            ? 0
                            : bootClock.wallShiftMicrosSince(reader.header().bootClock()));
            segment.usedBytes = reader.read(end, new SegmentReader.Listener() {
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
        if (end > 0) {
            segment.usedBytes = end;
        }
    }

    private void addDamage(Segment segment, long from, long to) {
        segment.damaged = true;
        lastToMigrate = Math.max(lastToMigrate, segment.sequence);
        damages.add(new Damage(segment.name, from, to));
        faultLog.accept(segment.name + " can't be read from byte " + from + " to " + to
                + "; what follows is read, and what was out before counts as possibly run");
        state.markPossiblyRun();
    }
}
