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
 * Endpoints that operators have taken out by hand. Whatever the list says of one, the core hears that it is leaving,
 * until it is put back: then it hears what the list says now. Noted before the operator is told so, since it outlasts
 * the process. Between the directory and the core; loop thread.
 */
public final class ManualDrains {
    /** Ids that are remembered as listed, oldest first out: a call for one that was never listed is refused. */
    private static final int MAX_LISTED = 50_000;
    /** Endpoints out at once, as many as the largest fleets have: the note has to fit on the disk. */
    static final int MAX_SUSPENDED = 1_024;
    /** Longer than any id, shorter than what would fill the note. */
    private static final int MAX_ID_LENGTH = 64;
    /** What the note takes at the most, a line for each. */
    public static final long MAX_STORED_BYTES = MAX_SUSPENDED * (MAX_ID_LENGTH + 1);

    /** Where the ids outlast the process. */
    public interface SuspensionStore {
        /** Replaces the ids that are noted. */
        void save(Set<String> ids) throws IOException;
    }

    /** A call that can't be carried out; the message is for the operator. */
    public static final class RefusedException extends Exception {
        private static final long serialVersionUID = 1;

        RefusedException(String problem) {
            super(problem);
        }
    }

    private final Core core;
    private final SuspensionStore store;
    private final Set<String> suspended;
    /** What the list said last of each endpoint; one that has left stays known by its name. */
    private final Map<String, Core.ListedEndpoint> listed = new LinkedHashMap<>();

    private long version;

    /** With the ids that an earlier life noted. */
    public ManualDrains(Core core, Set<String> stored, SuspensionStore store) {
        this.core = core;
        this.store = store;
        this.suspended = new LinkedHashSet<>(stored);
        core.counters().entryGauge("suspended", suspended::size);
        core.counters().entryGauge("listed", listed::size);
    }

    /** News of the list on their way to the core. */
    public void updateEndpoints(DecisionModule.ListingKind kind, long version, List<Core.ListedEndpoint> entries) {
        core.updateEndpoints(kind, version, withSuspensions(kind, version, entries));
    }

    /** Takes news in and gives what the core may hear of it: at the start the core is told by its host. */
    public List<Core.ListedEndpoint> withSuspensions(
            DecisionModule.ListingKind kind, long version, List<Core.ListedEndpoint> entries) {
        this.version = version;
        if (kind == DecisionModule.ListingKind.ALL || kind == DecisionModule.ListingKind.REMEMBERED) {
            listed.replaceAll((host, item) -> item.withPresence(DecisionModule.Presence.LEFT)); // but for what follows
        }
        for (Core.ListedEndpoint item : entries) {
            listed.remove(item.entry().host()); // the last that was heard of goes last
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

    /** Takes the endpoint out, from the next turn on. A second call changes nothing. */
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
        Logs.info("", "suspended", id + " is out by hand", "endpoint", id);
        updateCore(current);
    }

    /** Puts it back, however often it was taken out. */
    public void restore(String id) throws RefusedException {
        Core.ListedEndpoint current = findListed(id);
        if (!suspended.remove(id)) {
            return;
        }
        if (!save()) {
            suspended.add(id);
            throw new RefusedException(id + ": can't be noted on disk, so it stays out");
        }
        Logs.info("", "restored", id + " is back", "endpoint", id);
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
            Logs.error("", "suspension-not-noted", "endpoints out by hand can't be noted: " + e);
            return false;
        }
    }
}
