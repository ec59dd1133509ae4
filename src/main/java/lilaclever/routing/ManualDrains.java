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
    private static final int MOST_KNOWN = 50_000;
    /** Endpoints out at once, as many as the largest fleets have: the note has to fit on the disk. */
    static final int MOST_OUT = 1_024;
    /** Longer than any id, shorter than what would fill the note. */
    private static final int LONGEST = 64;
    /** What the note takes at the most, a line for each. */
    public static final long MAX_STORED_BYTES = MOST_OUT * (LONGEST + 1);

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
    private final SuspensionStore note;
    private final Set<String> out;
    /** What the list said last of each endpoint; one that has left stays known by its name. */
    private final Map<String, Core.ListedEndpoint> listed = new LinkedHashMap<>();

    private long version;

    /** With the ids that an earlier life noted. */
    public ManualDrains(Core core, Set<String> noted, SuspensionStore note) {
        this.core = core;
        this.note = note;
        this.out = new LinkedHashSet<>(noted);
        core.counters().entryGauge("suspended", out::size);
        core.counters().entryGauge("listed", listed::size);
    }

    /** News of the list on their way to the core. */
    public void updateEndpoints(DecisionModule.ListingKind kind, long version, List<Core.ListedEndpoint> news) {
        core.updateEndpoints(kind, version, withSuspensions(kind, version, news));
    }

    /** Takes news in and gives what the core may hear of it: at the start the core is told by its host. */
    public List<Core.ListedEndpoint> withSuspensions(DecisionModule.ListingKind kind, long version, List<Core.ListedEndpoint> news) {
        this.version = version;
        if (kind == DecisionModule.ListingKind.ALL || kind == DecisionModule.ListingKind.REMEMBERED) {
            listed.replaceAll((host, x) -> x.withPresence(DecisionModule.Presence.LEFT)); // but for what follows
        }
        for (Core.ListedEndpoint x : news) {
            listed.remove(x.entry().host()); // the last that was heard of goes last
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

    /** Takes the endpoint out, from the next turn on. A second call changes nothing. */
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
        Logs.info("", "suspended", id + " is out by hand", "endpoint", id);
        tell(now);
    }

    /** Puts it back, however often it was taken out. */
    public void restore(String id) throws RefusedException {
        Core.ListedEndpoint now = known(id);
        if (!out.remove(id)) {
            return;
        }
        if (!noted()) {
            out.add(id);
            throw new RefusedException(id + ": can't be noted on disk, so it stays out");
        }
        Logs.info("", "restored", id + " is back", "endpoint", id);
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
            Logs.error("", "suspension-not-noted", "endpoints out by hand can't be noted: " + e);
            return false;
        }
    }
}
