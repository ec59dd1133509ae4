package lilaclever.journal;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.UUID;
import java.util.function.LongSupplier;

/**
 * Corrects wall-clock times that an earlier process run wrote, by means of the monotonic clock, which cannot be set,
 * where that clock counts from the start of the machine. All wall times in a journal are those of the clock of the run
 * that wrote them; if the wall clock was set between two runs of the same boot, they are shifted by the same amount.
 *
 * <p>The origin of the monotonic clock is unspecified, and the clock may stand still while the machine is suspended. So
 * it is trusted only where it agrees with the uptime that the system reports. In a process whose clocks are simulated
 * or shifted they disagree, and shifting wall times there would carry messages past their deadlines and repeat windows.
 *
 * @param bootId identifies this boot of the machine; 0 if unknown, in which case wall clocks are trusted
 * @param offsetMicros the wall clock minus the monotonic clock
 */
public record BootClock(long bootId, long offsetMicros) {
    /**
     * Smaller differences come from reading two clocks one after the other. Anything larger is corrected: the rules
     * allow an error of 50 ms, and the wall clock of a run does not follow gradual adjustments either.
     */
    private static final long MIN_SHIFT_MICROS = 1_000;

    private static final int OFFSET_READINGS = 5;
    /** The system reports the uptime in hundredths of a second. */
    private static final long UPTIME_TOLERANCE_MICROS = 20_000;

    /** Used where nothing is known about the machine. */
    public static final BootClock UNKNOWN = new BootClock(0, 0);

    /** Reads the boot id and the uptime from Linux; both clocks are in microseconds. */
    public static BootClock read(LongSupplier monotonic, LongSupplier wall) {
        try {
            UUID bootId = UUID.fromString(
                    Files.readString(Path.of("/proc/sys/kernel/random/boot_id")).strip());
            long monotonicBefore = monotonic.getAsLong();
            double uptimeSeconds =
                    Double.parseDouble(Files.readString(Path.of("/proc/uptime")).split(" ")[0]);
            long monotonicAfter = monotonic.getAsLong();
            return fromUptime(
                    bootId.getMostSignificantBits() ^ bootId.getLeastSignificantBits(),
                    monotonicBefore,
                    (long) (uptimeSeconds * 1e6),
                    monotonicAfter,
                    wallOffsetMicros(monotonic, wall));
        } catch (IOException | RuntimeException e) {
            return UNKNOWN; // not Linux
        }
    }

    /**
     * The wall clock minus the monotonic one. A delay of the process between the two readings makes a sample too small,
     * so the largest of several is taken.
     */
    static long wallOffsetMicros(LongSupplier monotonic, LongSupplier wall) {
        long largest = Long.MIN_VALUE;
        for (int i = 0; i < OFFSET_READINGS; i++) {
            largest = Math.max(largest, wall.getAsLong() - monotonic.getAsLong());
        }
        return largest;
    }

    /**
     * The clock of this boot, if the uptime lies between two readings of the monotonic clock, else {@link #UNKNOWN};
     * all times in microseconds.
     */
    static BootClock fromUptime(
            long bootId, long monotonicBefore, long uptimeMicros, long monotonicAfter, long offsetMicros) {
        return monotonicBefore - UPTIME_TOLERANCE_MICROS <= uptimeMicros
                        && uptimeMicros <= monotonicAfter + UPTIME_TOLERANCE_MICROS
                ? new BootClock(bootId, offsetMicros)
                : UNKNOWN;
    }

    /** What to add to a wall time that was written under the other clock. */
    long wallShiftMicrosSince(BootClock earlier) {
        long shiftMicros = offsetMicros - earlier.offsetMicros;
        return bootId == 0 || bootId != earlier.bootId || Math.abs(shiftMicros) < MIN_SHIFT_MICROS ? 0 : shiftMicros;
    }
}
