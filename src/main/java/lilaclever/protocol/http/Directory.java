package lilaclever.protocol.http;

import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import lilaclever.DecisionModule;
import lilaclever.log.Logs;
import lilaclever.routing.Call;
import lilaclever.routing.Core;
import lilaclever.routing.Deadlines;
import lilaclever.routing.Deliverer;
import lilaclever.transport.Transport;

/** Watches the platform's list of endpoints. Loop thread. */
public final class Directory {
    /**
     * A change counts as told 6 s after discovery had it, also where the watch that should bring it has fallen silent.
     * A watch that waits for a third of that leaves time to find out, and to ask again some times. One that brings
     * nothing costs nothing.
     */
    private static final long WAIT = 2_000_000;

    private static final long ANSWER_BY = WAIT + 400_000;
    /** What is answered at once or, while discovery is down, not at all; its return counts as told at once. */
    private static final long LOOK_WAIT = 1_000, LOOK_BY = 300_000;
    /** A list older than the one held is passed over for so long; then discovery counts anew. */
    private static final long OLDER_FOR = 60_000_000;
    /** After an answer, also one that can't be read: well within the 200 ms in which the next call must come. */
    private static final long PAUSE = 50_000;
    /**
     * The longest pause where no connection comes up or it is closed with no answer. To ask costs processor time on
     * every forwarder; a directory that is back is noticed after this at the latest, as one that was silent is ({@link
     * #LOOK_BY}).
     */
    private static final long LONGEST_PAUSE = 300_000;
    /** A list of 20,000 endpoints; room is taken as it comes. */
    private static final int MOST_ANSWER = 4 << 20;

    /** Who hears what the list says. */
    public interface Listener {
        /** News of the list. */
        void listing(DecisionModule.ListingKind kind, long version, List<Core.Listed> news);
    }

    /** A list as the platform writes it. */
    public record Known(long index, boolean whole, List<Core.Listed> listed) {}

    private final Core core;
    private final HttpClient client;
    private final Deliverer deliverer;
    private final Names names;
    private final Listener listener;
    private String address;
    /** The version of the list held; -1 before there is one. */
    private long index = -1;
    /**
     * No call has been answered yet, or the last one has failed: the next must tell at once whether discovery is there.
     */
    private boolean doubtful = true;
    /** What came can't be built on: the whole list is needed. */
    private boolean lost;
    /** Since when discovery tells older lists; 0 if it does not. */
    private long olderSince;

    private final RetryPause unanswered = new RetryPause(PAUSE, LONGEST_PAUSE, new SplittableRandom());
    /** The call that is out, and when it is given up or made again. */
    private HttpClient.Exchange asking;

    private Deadlines.Key again;

    /** What the settings call kinds and zones, in order, and what they say of each kind. */
    public record Names(List<String> kinds, List<String> zones, List<DecisionModule.Kind> ofKinds) {
        private static final DecisionModule.Kind UNKNOWN = new DecisionModule.Kind(false, 1);

        DecisionModule.Kind kind(int index) {
            return index >= 0 && index < ofKinds.size() ? ofKinds.get(index) : UNKNOWN;
        }
    }

    /** Watches the list at the address. */
    public Directory(
            Core core,
            Transport transport,
            String address,
            Deliverer deliverer,
            Names names,
            long connectMicros,
            long keepAliveMicros,
            Listener listener) {
        this.core = core;
        this.listener = listener;
        this.client = new HttpClient(core, transport, "directory", connectMicros, keepAliveMicros, 1, MOST_ANSWER);
        this.address = address;
        this.deliverer = deliverer;
        this.names = names;
    }

    /** Starts to watch after the list that is known; without one it is fetched whole. */
    public void start(long knownIndex) {
        index = knownIndex;
        watch();
    }

    /**
     * Watches at the new address at once. Another agent may count other versions, so it is asked for the whole list:
     * what is not in it has gone. Until it answers the list stays as it is.
     */
    public void move(String to) {
        client.closeIdle(address);
        address = to;
        index = -1;
        doubtful = true;
        olderSince = 0;
        unanswered.reset();
        core.deadlines().cancel(again);
        if (asking != null) {
            asking.close();
        }
        watch();
    }

    private void watch() {
        boolean whole = index < 0 || lost;
        boolean look = whole || doubtful;
        String path = "/registry/instances"
                + (whole ? "" : "?after=" + index + "&wait_ms=" + (look ? LOOK_WAIT : WAIT) / 1000);
        again = core.deadlines().at(core.now() + (look ? LOOK_BY : ANSWER_BY), this::silent);
        asking = client.send(address, address, "GET", path, Map.of(), new byte[0], new HttpClient.Listener() {
            @Override
            public void answered(int status, Map<String, String> headers, byte[] body) {
                core.deadlines().cancel(again);
                unanswered.reset();
                try {
                    if (status != 200) {
                        throw new JsonParseException("answered with " + status);
                    }
                    heard(known(EndpointList.read(JsonParser.parseString(new String(body, StandardCharsets.UTF_8))
                            .getAsJsonObject())));
                } catch (JsonParseException
                        | IllegalStateException
                        | IllegalArgumentException
                        | NullPointerException
                        | UnsupportedOperationException e) {
                    Logs.warn("directory", "unreadable", e.toString());
                    lost = true;
                    failed(PAUSE);
                }
            }

            @Override
            public void broke(boolean written, int status) {
                core.deadlines().cancel(again);
                if (status == 0) {
                    failed(unanswered.next());
                } else { // an answer that did not come whole is one all the same
                    unanswered.reset();
                    failed(PAUSE);
                }
            }
        });
    }

    /** The call has brought nothing in time: a watch that has fallen silent, or discovery is down. */
    private void silent() {
        if (asking.status() != 0) {
            return; // its head is here, and the rest is due soon
        }
        asking.close();
        doubtful = true;
        watch();
    }

    private void failed(long pause) {
        doubtful = true;
        again = core.deadlines().at(core.now() + pause, this::watch);
    }

    private void heard(Known news) {
        doubtful = false;
        if (isOlder(news)) {
            Logs.warn("directory", "older", "version " + news.index() + " is older than " + index + ", which is held");
            lost = true;
            failed(LOOK_BY);
            return;
        }
        olderSince = 0;
        lost = false;
        if (index < 0 || news.whole() || !news.listed().isEmpty()) {
            listener.listing(
                    news.whole() ? DecisionModule.ListingKind.ALL : DecisionModule.ListingKind.CHANGES,
                    news.index(),
                    news.listed());
        }
        index = news.index();
        watch();
    }

    /** A list that was overtaken on its way would bring back what has left. */
    private boolean isOlder(Known news) {
        if (index < 0 || news.index() >= index) {
            return false;
        }
        olderSince = olderSince == 0 ? core.now() : olderSince;
        return core.now() - olderSince < OLDER_FOR;
    }

    /** The list as this forwarder uses it: with the numbers of kinds and zones, and who delivers to each endpoint. */
    public Known known(EndpointList list) {
        List<Core.Listed> all = new ArrayList<>(list.endpoints().size());
        list.endpoints().forEach(endpoint -> all.add(listed(endpoint)));
        return new Known(list.version(), list.isWhole(), all);
    }

    private Core.Listed listed(EndpointList.Endpoint endpoint) {
        int kind = names.kinds().indexOf(endpoint.type());
        int zone = Math.max(0, names.zones().indexOf(endpoint.zone()));
        DecisionModule.Entry entry = new DecisionModule.Entry(
                endpoint.name(),
                endpoint.destination(),
                zone,
                kind,
                endpoint.presence(),
                endpoint.weight(),
                sinceMicros(endpoint.sinceMillis()));
        return new Core.Listed(
                entry,
                new Call.Endpoint(
                        endpoint.name(),
                        endpoint.address(),
                        endpoint.destination(),
                        zone,
                        names.kind(kind).batch(),
                        names.kind(kind).ownLimits(),
                        deliverer));
    }

    /** A moment of the wall clock on the loop's clock; 0 stays 0, which means that it is not known. */
    private long sinceMicros(long sinceMillis) {
        return sinceMillis == 0 ? 0 : Math.max(1, core.now() - (System.currentTimeMillis() - sinceMillis) * 1000);
    }
}
