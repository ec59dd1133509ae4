package lilaclever.simulation.fleet;

import java.util.Arrays;
import lilaclever.placement.MapDelta;

/** Sizes and configuration versions of the batches of a region's map, by number. The contents are not retained. */
final class MapHistory {
    private static final int INITIAL_CAPACITY = 1 << 10;
    private long[] cumulativeBytes = new long[INITIAL_CAPACITY];
    private long[] configurationVersions = new long[INITIAL_CAPACITY];
    private int latest;

    void add(MapDelta delta, int encodedBytes) {
        latest++;
        if (latest == cumulativeBytes.length) {
            cumulativeBytes = Arrays.copyOf(cumulativeBytes, 2 * latest);
            configurationVersions = Arrays.copyOf(configurationVersions, 2 * latest);
        }
        cumulativeBytes[latest] = cumulativeBytes[latest - 1] + encodedBytes;
        configurationVersions[latest] = delta.configurationVersion();
    }

    long latest() {
        return latest;
    }

    /** Total bytes of the batches after one number up to and including another. */
    long bytesBetween(long after, long upTo) {
        return cumulativeBytes[(int) upTo] - cumulativeBytes[(int) after];
    }

    long configurationAt(long version) {
        return configurationVersions[(int) version];
    }
}
