package lilaclever.routing;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import lilaclever.DecisionModule;
import lilaclever.log.Logs;

/**
 * Endpoints suspended manually by operators. While the directory lists such an endpoint as active, the core gets it
 * as leaving; once it is restored, the core gets its listed state again. The suspended ids are stored before
 * the operator gets the answer, as they persist across restarts. Sits between the directory and the core; event loop.
 */
public final class ManualDrains {
    /** Listed ids to remember; departed ones are evicted oldest first. Commands for ids never listed are refused. */
    private static final int MAX_LISTED = 50_000;
    /** Endpoints suspended at once, as many as the largest fleets have: bounded so that the file fits on the disk. */
    static final int MAX_SUSPENDED = 1_024;
    /** Longer than any id, and short enough to bound the size of the file. */
    private static final int MAX_ID_LENGTH = 64;
    /** Largest size of the stored ids, one line each. */
    public static final long MAX_STORED_BYTES = MAX_SUSPENDED * (MAX_ID_LENGTH + 1);

    /** Persistent storage of the suspended ids. */
    public interface SuspensionStore {
        /** Replaces the stored ids. */
        void save(Set<String> ids) throws IOException;
    }

    /** Thrown if a command can't be executed; the message is shown to the operator. */
    public static final class RefusedException extends Exception {
        private static final long serialVersionUID = 1;

        RefusedException(String problem) {
            super(problem);
        }
    }

    private final Core core;
    private final SuspensionStore store;
    private final Set<String> suspended;
    /** The last listed state of each endpoint by name, including endpoints that have left. */
    private final Map<String, Core.ListedEndpoint> listed = new LinkedHashMap<>();

    private long version;

    /** Starts with the ids that an earlier run stored. */
    public ManualDrains(Core core, Set<String> stored, SuspensionStore store) {
        this.core = core;
        this.store = store;
        this.suspended = new LinkedHashSet<>(stored);
        core.counters().entryGauge("suspended", suspended::size);
        core.counters().entryGauge("listed", listed::size);
    }

    /** Passes a list or changes from the directory on to the core. */
    public void updateEndpoints(DecisionModule.ListingKind kind, long version, List<Core.ListedEndpoint> entries) {
        core.updateEndpoints(kind, version, withSuspensions(kind, version, entries));
    }

    /**
     * Records the listed states and returns what to pass to the core, with suspended endpoints as leaving. Called
     * directly for the initial list, which the core gets from the program.
     */
    public List<Core.ListedEndpoint> withSuspensions(
            DecisionModule.ListingKind kind, long version, List<Core.ListedEndpoint> entries) {
        this.version = version;
        if (kind == DecisionModule.ListingKind.ALL || kind == DecisionModule.ListingKind.REMEMBERED) {
            // Endpoints in the whole list are set again below.
            listed.replaceAll((host, item) -> item.withPresence(DecisionModule.Presence.LEFT));
        }
        for (Core.ListedEndpoint item : entries) {
            listed.remove(item.entry().host()); // moves it to the end of the eviction order
            listed.put(item.entry().host(), item);
        }
        for (var i = listed.entrySet().iterator(); listed.size() > MAX_LISTED && i.hasNext(); ) {
            if (i.next().getValue().entry().presence() == DecisionModule.Presence.LEFT) {
                i.remove();
            }
        }
        return markSuspended(entries);
    }

    private List<Core.ListedEndpoint> markSuspended(List<Core.ListedEndpoint> entries) {
        List<Core.ListedEndpoint> result = new ArrayList<>(entries);
        result.replaceAll(item ->
                suspended.contains(item.entry().host()) && item.entry().presence() == DecisionModule.Presence.ACTIVE
                        ? item.withPresence(DecisionModule.Presence.LEAVING)
                        : item);
        return result;
    }

    /** Suspends the endpoint from the next turn on; no effect if it is suspended already. */
    public void suspend(String id) throws RefusedException {
        Core.ListedEndpoint current = findListed(id);
        if (suspended.contains(id)) {
            return;
        }
        if (suspended.size() >= MAX_SUSPENDED || id.length() > MAX_ID_LENGTH) {
            throw new RefusedException("no more than " + MAX_SUSPENDED + " endpoints may be out at once");
        }
        suspended.add(id);
        if (!save()) {
            suspended.remove(id);
            throw new RefusedException(id + ": can't be noted on disk, so it stays in");
        }
        Logs.info("", "suspended", id + " was suspended by an operator", "endpoint", id);
        updateCore(current);
    }

    /** Restores the endpoint, however often it was suspended. */
    public void restore(String id) throws RefusedException {
        Core.ListedEndpoint current = findListed(id);
        if (!suspended.remove(id)) {
            return;
        }
        if (!save()) {
            suspended.add(id);
            throw new RefusedException(id + ": can't be noted on disk, so it stays out");
        }
        Logs.info("", "restored", id + " was restored by an operator", "endpoint", id);
        updateCore(current);
    }

    private Core.ListedEndpoint findListed(String id) throws RefusedException {
        Core.ListedEndpoint current = listed.get(id);
        if (current == null && !suspended.contains(id)) {
            throw new RefusedException(id + ": never listed");
        }
        return current;
    }

    private void updateCore(Core.ListedEndpoint current) {
        if (current != null && current.entry().presence() != DecisionModule.Presence.LEFT) {
            core.updateEndpoints(DecisionModule.ListingKind.CHANGES, version, markSuspended(List.of(current)));
        }
    }

    private boolean save() {
        try {
            store.save(suspended);
            return true;
        } catch (IOException e) {
            Logs.error("", "suspension-not-noted", "suspended endpoints could not be saved: " + e);
            return false;
        }
    }
}
