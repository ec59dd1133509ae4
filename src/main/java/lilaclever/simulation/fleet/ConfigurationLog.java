package lilaclever.simulation.fleet;

import java.util.ArrayList;
import java.util.List;
import org.HdrHistogram.Histogram;

/** Records when each version of the configuration was published, and when the last reachable forwarder had it. */
final class ConfigurationLog {
    private final EventQueue queue;
    private final List<Change> changes = new ArrayList<>();
    private final Histogram reachableMillis = new Histogram(3);
    private final Histogram cutOffMillis = new Histogram(3);
    private long latestVersion;

    /**
     * A configuration change: when it was published, and how long it took to the last forwarder that was reachable
     * throughout.
     */
    static final class Change {
        final long publishedMicros;
        long slowestMicros;
        int forwarders;

        Change(long publishedMicros) {
            this.publishedMicros = publishedMicros;
        }
    }

    ConfigurationLog(EventQueue queue) {
        this.queue = queue;
    }

    /** Records the publication of the next version and returns its number, from 1. */
    long publish() {
        changes.add(new Change(queue.now()));
        latestVersion++;
        return latestVersion;
    }

    long latest() {
        return latestVersion;
    }

    long publishedAtMicros(long version) {
        return changes.get((int) (version - 1)).publishedMicros;
    }

    /** Records that a process has advanced from one version to a later one. */
    void applied(ForwarderProcess process, long before, long after, long regionCutOffUntilMicros) {
        for (long version = before + 1; version <= after; version++) {
            Change change = changes.get((int) (version - 1));
            if (process.startedMicros >= change.publishedMicros) {
                continue;
            }
            long delayMicros = queue.now() - change.publishedMicros;
            boolean reachable = process.forwarder.cutOffUntilMicros < change.publishedMicros
                    && regionCutOffUntilMicros < change.publishedMicros;
            (reachable ? reachableMillis : cutOffMillis).recordValue(delayMicros / 1_000);
            if (reachable) {
                change.forwarders++;
                change.slowestMicros = Math.max(change.slowestMicros, delayMicros);
            }
        }
    }

    /** Delay of changes at each reachable forwarder, milliseconds. */
    Histogram reachableMillis() {
        return reachableMillis;
    }

    /** Delay of changes at forwarders that were cut off at the time of the publication or after it, milliseconds. */
    Histogram cutOffMillis() {
        return cutOffMillis;
    }

    /** For each change published in an interval, its delay at the last reachable forwarder, milliseconds. */
    Histogram everywhereMillis(long fromMicros, long toMicros) {
        Histogram millis = new Histogram(3);
        for (Change change : changes) {
            if (change.publishedMicros >= fromMicros && change.publishedMicros < toMicros && change.forwarders > 0) {
                millis.recordValue(change.slowestMicros / 1_000);
            }
        }
        return millis;
    }
}
