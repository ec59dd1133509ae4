package lilaclever.journal;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import lilaclever.journal.Format.Type;

/**
 * Reads a journal folder into the state without changing the folder. Segments are read in order through a window, so
 * memory use depends on the live records only. All headers are read first, so that a folder of a newer version is
 * rejected before anything else. {@link #settle} then hands the files over to the log; a kill during that does no harm,
 * as it changes nothing that the next recovery needs.
 */
public final class Recovery {
    /** A part of a file that could not be read. */
    public record Damage(String file, long from, long to) {}

    /**
     * Results of recovery: number of complete records, segments, damage, missing segments, and the last segment that
     * must be migrated out of the log.
     */
    public record Report(
            long records, int segments, List<Damage> damages, int missing, boolean carriedOver, long cleanUpTo) {}

    /** A segment that was read, and its number of records by type. */
    record Found(Segment segment, Format.Header header, EnumMap<Type, Integer> counts) {}

    /** The name of a segment, and where the previous segment ends according to its first record; -1 if unknown. */
    private record Look(String name, long endOfPrevious) {}

    private final Disk disk;
    private final JournalState state;
    private final RecordDecoder decoder;
    private final BootClock clock;
    private final Consumer<String> log;
    private final List<Damage> damages = new ArrayList<>();
    private final List<Found> found = new ArrayList<>();
    private List<String> names = List.of();
    private long records;
    private int missing;
    private boolean carriedOver;
    private long cleanUpTo = -1;

    /** Receives one line per fault in {@code log}. */
    Recovery(Disk disk, JournalState state, BootClock clock, Consumer<String> log) {
        this.disk = disk;
        this.state = state;
        decoder = new RecordDecoder(state);
        this.clock = clock;
        this.log = log;
    }

    /** Reads all files. */
    Report scan() throws IOException {
        names = disk.names();
        TreeMap<Long, Look> segments = new TreeMap<>();
        for (String name : names) {
            long sequence = Segment.sequence(name);
            if (sequence > 0) {
                segments.put(sequence, look(name));
            }
        }
        carriedOver = names.contains(LegacyReader.NAME);
        if (carriedOver) {
            carryOver();
        }
        read(segments, carriedOver);
        return new Report(records, segments.size(), List.copyOf(damages), missing, carriedOver, cleanUpTo);
    }

    /** The segments in order. */
    List<Found> found() {
        return found;
    }

    /** Hands the files over to the log, and finishes work that an earlier run left incomplete. */
    void settle(SegmentLog to) throws IOException {
        found.forEach(f -> to.found(f.segment()));
        for (String name : names) {
            if (name.startsWith(SegmentLog.DAMAGED)) {
                to.foundAside(name);
            } else if (name.equals(LegacyReader.UNFINISHED)) {
                deleteIfPossible(name);
            } else if (name.startsWith(SegmentLog.SPARE)) {
                to.foundSpare(name);
            }
        }
    }

    private void deleteIfPossible(String name) {
        try {
            disk.delete(name);
        } catch (IOException e) {
            log.accept(name + " could not be deleted, tried again at the next start: " + e);
        }
    }

    /** Reads the start of a segment; a newer format version is rejected. */
    private Look look(String name) throws IOException {
        try (SegmentReader reader = new SegmentReader(disk, name)) {
            if (reader.header() != null && reader.header().version() > Format.VERSION) {
                throw new JournalException(
                        name + " is of format " + reader.header().version() + ", and this program knows formats up to "
                                + Format.VERSION + "; nothing was changed");
            }
            return new Look(name, reader.endOfPrevious());
        }
    }

    /**
     * Reads the single file of the legacy format as the oldest segment; its records are copied forward like any
     * other's.
     */
    private void carryOver() throws IOException {
        Segment all = new Segment(Segment.LEGACY, LegacyReader.NAME, Plan.blocks(disk.length(LegacyReader.NAME)));
        LegacyReader reader = new LegacyReader(state, all);
        all.used = reader.read(disk);
        cleanUpTo = Segment.LEGACY;
        if (reader.damaged()) {
            damage(all, all.used, disk.length(LegacyReader.NAME));
        }
        found.add(new Found(all, null, new EnumMap<>(Type.class)));
    }

    private void read(TreeMap<Long, Look> segments, boolean legacy) throws IOException {
        long expected = legacy && !segments.isEmpty() ? 1 : -1;
        for (Map.Entry<Long, Look> entry : segments.entrySet()) {
            long gap = expected > 0 ? entry.getKey() - expected : 0;
            if (gap > 0) {
                missing += (int) gap;
                log.accept(gap + " files missing before " + entry.getValue().name()
                        + "; earlier attempts in flight count as possibly run");
                state.doubt();
            }
            Look next = segments.get(entry.getKey() + 1);
            read(entry.getKey(), entry.getValue().name(), next == null ? -1 : next.endOfPrevious());
            expected = entry.getKey() + 1;
        }
    }

    private void read(long sequence, String name, long end) throws IOException {
        Segment segment = new Segment(sequence, name, Plan.blocks(disk.length(name)));
        EnumMap<Type, Integer> counts = new EnumMap<>(Type.class);
        try (SegmentReader reader = new SegmentReader(disk, name)) {
            found.add(new Found(segment, reader.header(), counts));
            decoder.shiftWalls(
                    reader.header() == null
                            ? 0
                            : clock.shiftFrom(reader.header().clock()));
            segment.used = reader.read(end, new SegmentReader.Listener() {
                @Override
                public boolean record(Type type, ByteBuffer content, long position, int size) {
                    records++;
                    counts.merge(type, 1, Integer::sum);
                    return decoder.apply(type, content, segment, size);
                }

                @Override
                public void damage(long from, long to) {
                    Recovery.this.damage(segment, from, to);
                }
            });
        }
        if (end > 0) {
            segment.used = end;
        }
    }

    private void damage(Segment segment, long from, long to) {
        segment.damaged = true;
        cleanUpTo = Math.max(cleanUpTo, segment.sequence);
        damages.add(new Damage(segment.name, from, to));
        log.accept(segment.name + " can't be read from byte " + from + " to " + to
                + "; later records are read, and earlier attempts in flight count as possibly run");
        state.doubt();
    }
}
