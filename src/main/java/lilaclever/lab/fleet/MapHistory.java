package lilaclever.lab.fleet;

import java.util.Arrays;
import lilaclever.placement.MapDelta;

/** The batches of a region's map by number: sizes and configuration versions. The contents are kept by nobody. */
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

    /** Bytes of all batches after one number up to another. */
    long bytesBetween(long after, long upTo) {
        return cumulativeBytes[(int) upTo] - cumulativeBytes[(int) after];
    }

    long configurationAt(long version) {
        return configurationVersions[(int) version];
    }
}
