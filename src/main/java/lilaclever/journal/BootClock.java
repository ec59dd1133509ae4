package lilaclever.journal;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.UUID;

/**
 * Tells times of an earlier life by a clock that nobody sets: the time since the machine was started, which goes on
 * while it sleeps. All walls that a journal keeps are those of its life's clock; when the wall clock was set between
 * two lives of the same boot, they are moved by as much.
 *
 * @param boot names this start of the machine; 0 where that is not known, and then wall clocks are believed
 * @param offsetMicros the wall clock less the time since the start
 */
public record BootClock(long boot, long offsetMicros) {
    /** Less than this is reading, and slow adjustment. */
    private static final long NOTHING = 100_000;

    /** Without knowledge of the machine. */
    public static final BootClock UNKNOWN = new BootClock(0, 0);

    /** The machine's, as Linux tells it; {@code wallMicros} is the wall clock now. */
    public static BootClock read(long wallMicros) {
        try {
            UUID id = UUID.fromString(Files.readString(Path.of("/proc/sys/kernel/random/boot_id")).strip());
            String uptime = Files.readString(Path.of("/proc/uptime")).split(" ")[0];
            long boot = id.getMostSignificantBits() ^ id.getLeastSignificantBits();
            return new BootClock(boot, wallMicros - (long) (Double.parseDouble(uptime) * 1e6));
        } catch (IOException | RuntimeException e) {
            return UNKNOWN; // another system
        }
    }

    /** What to add to a wall that was written under the other clock. */
    long shiftFrom(BootClock then) {
        long shift = offsetMicros - then.offsetMicros;
        return boot == 0 || boot != then.boot || Math.abs(shift) < NOTHING ? 0 : shift;
    }
}
