package lilaclever.journal;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.UUID;
import java.util.function.LongSupplier;

/**
 * Tells times of an earlier life by a clock that nobody sets: the monotonic one, where it counts from the machine's
 * start. All walls that a journal keeps are those of its life's clock; when the wall clock was set between two lives of
 * the same boot, they are moved by as much.
 *
 * <p>The monotonic clock's origin is its own affair, and it may stand still while the machine sleeps. So it is believed
 * only where it agrees with the time since the start that the system tells; in a process whose clocks are led by
 * somebody else it does not, and to move walls there would carry messages past their deadlines and windows.
 *
 * @param bootId names this start of the machine; 0 where that is not known, and then wall clocks are believed
 * @param offsetMicros the wall clock less the monotonic one
 */
public record BootClock(long bootId, long offsetMicros) {
    /**
     * Less than this is the reading of two clocks one after the other. All else is moved: the rules leave 50 ms, and
     * the wall clock of a life does not follow slow adjustments either.
     */
    private static final long MIN_SHIFT_MICROS = 1_000;

    private static final int OFFSET_READINGS = 5;
    /** The system tells the time since the start in hundredths of a second. */
    private static final long UPTIME_TOLERANCE_MICROS = 20_000;

    /** Without knowledge of the machine. */
    public static final BootClock UNKNOWN = new BootClock(0, 0);

    /** The machine's, as Linux tells it; the two clocks in microseconds. */
    public static BootClock read(LongSupplier monotonic, LongSupplier wall) {
        try {
            UUID id = UUID.fromString(
                    Files.readString(Path.of("/proc/sys/kernel/random/boot_id")).strip());
            long before = monotonic.getAsLong();
            double uptime =
                    Double.parseDouble(Files.readString(Path.of("/proc/uptime")).split(" ")[0]);
            long after = monotonic.getAsLong();
            return fromUptime(
                    id.getMostSignificantBits() ^ id.getLeastSignificantBits(),
                    before,
                    (long) (uptime * 1e6),
                    after,
                    wallOffsetMicros(monotonic, wall));
        } catch (IOException | RuntimeException e) {
            return UNKNOWN; // another system
        }
    }

    /** The wall clock less the monotonic one; a process that is held up between the two readings makes it too small. */
    static long wallOffsetMicros(LongSupplier monotonic, LongSupplier wall) {
        long largest = Long.MIN_VALUE;
        for (int i = 0; i < OFFSET_READINGS; i++) {
            largest = Math.max(largest, wall.getAsLong() - monotonic.getAsLong());
        }
        return largest;
    }

    /** The clock of the boot, if the uptime lies between two readings of the monotonic clock; all in microseconds. */
    static BootClock fromUptime(long boot, long before, long uptime, long after, long offset) {
        return before - UPTIME_TOLERANCE_MICROS <= uptime && uptime <= after + UPTIME_TOLERANCE_MICROS ? new BootClock(boot, offset) : UNKNOWN;
    }

    /** What to add to a wall that was written under the other clock. */
    long wallShiftMicrosSince(BootClock then) {
        long shift = offsetMicros - then.offsetMicros;
        return bootId == 0 || bootId != then.bootId || Math.abs(shift) < MIN_SHIFT_MICROS ? 0 : shift;
    }
}
