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
 * Endpoints suspended manually by operators. While the directory lists such an endpoint as active, the core is told
 * that it is leaving; once it is restored, the core gets its listed state again. The suspended ids are stored before
 * the operator gets the answer, as they persist across restarts. Sits between the directory and the core; event loop.
 */
public final class ManualDrains {
    /** Listed ids to remember; departed ones are evicted oldest first. Commands for ids never listed are refused. */
    private static final int MOST_KNOWN = 50_000;
    /** Endpoints suspended at once, as many as the largest fleets have: bounded so that the file fits on the disk. */
    static final int MOST_OUT = 1_024;
    /** Longer than any id, and short enough to bound the size of the file. */
    private static final int LONGEST = 64;
    /** Largest size of the stored ids, one line each. */
    public static final long MAX_STORED_BYTES = MOST_OUT * (LONGEST + 1);

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
    private final SuspensionStore note;
    private final Set<String> out;
    /** The last listed state of each endpoint by name, including endpoints that have left. */
    private final Map<String, Core.ListedEndpoint> listed = new LinkedHashMap<>();

    private long version;

    /** Starts with the ids that an earlier run stored. */
    public ManualDrains(Core core, Set<String> noted, SuspensionStore note) {
        this.core = core;
        this.note = note;
        this.out = new LinkedHashSet<>(noted);
        core.counters().entryGauge("suspended", out::size);
        core.counters().entryGauge("listed", listed::size);
    }

    /** Passes a list or changes from the directory on to the core. */
    public void updateEndpoints(DecisionModule.ListingKind kind, long version, List<Core.ListedEndpoint> news) {
        core.updateEndpoints(kind, version, withSuspensions(kind, version, news));
    }

    /**
     * Records the listed states and returns what to pass to the core, with suspended endpoints as leaving. Called
     * directly for the initial list, which the core gets from the program.
     */
    public List<Core.ListedEndpoint> withSuspensions(DecisionModule.ListingKind kind, long version, List<Core.ListedEndpoint> news) {
        this.version = version;
        if (kind == DecisionModule.ListingKind.ALL || kind == DecisionModule.ListingKind.REMEMBERED) {
            // Endpoints in the whole list are set again below.
            listed.replaceAll((host, x) -> x.withPresence(DecisionModule.Presence.LEFT));
        }
        for (Core.ListedEndpoint x : news) {
            listed.remove(x.entry().host()); // moves it to the end of the eviction order
            listed.put(x.entry().host(), x);
        }
        for (var i = listed.entrySet().iterator(); listed.size() > MOST_KNOWN && i.hasNext(); ) {
            if (i.next().getValue().entry().presence() == DecisionModule.Presence.LEFT) {
                i.remove();
            }
        }
        return apply(news);
    }

    private List<Core.ListedEndpoint> apply(List<Core.ListedEndpoint> news) {
        List<Core.ListedEndpoint> told = new ArrayList<>(news);
        told.replaceAll(x -> out.contains(x.entry().host()) && x.entry().presence() == DecisionModule.Presence.ACTIVE
                ? x.withPresence(DecisionModule.Presence.LEAVING)
                : x);
        return told;
    }

    /** Suspends the endpoint from the next turn on; no effect if it is suspended already. */
    public void suspend(String id) throws RefusedException {
        Core.ListedEndpoint now = known(id);
        if (out.contains(id)) {
            return;
        }
        if (out.size() >= MOST_OUT || id.length() > LONGEST) {
            throw new RefusedException("no more than " + MOST_OUT + " endpoints may be out at once");
        }
        out.add(id);
        if (!noted()) {
            out.remove(id);
            throw new RefusedException(id + ": can't be noted on disk, so it stays in");
        }
        Logs.info("", "suspended", id + " was suspended by an operator", "endpoint", id);
        tell(now);
    }

    /** Restores the endpoint, however often it was suspended. */
    public void restore(String id) throws RefusedException {
        Core.ListedEndpoint now = known(id);
        if (!out.remove(id)) {
            return;
        }
        if (!noted()) {
            out.add(id);
            throw new RefusedException(id + ": can't be noted on disk, so it stays out");
        }
        Logs.info("", "restored", id + " was restored by an operator", "endpoint", id);
        tell(now);
    }

    private Core.ListedEndpoint known(String id) throws RefusedException {
        Core.ListedEndpoint now = listed.get(id);
        if (now == null && !out.contains(id)) {
            throw new RefusedException(id + ": never listed");
        }
        return now;
    }

    private void tell(Core.ListedEndpoint now) {
        if (now != null && now.entry().presence() != DecisionModule.Presence.LEFT) {
            core.updateEndpoints(DecisionModule.ListingKind.CHANGES, version, apply(List.of(now)));
        }
    }

    private boolean noted() {
        try {
            note.save(out);
            return true;
        } catch (IOException e) {
            Logs.error("", "suspension-not-noted", "suspended endpoints could not be saved: " + e);
            return false;
        }
    }
}
