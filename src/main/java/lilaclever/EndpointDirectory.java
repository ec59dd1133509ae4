package lilaclever;

import static lilaclever.PolicyState.NEVER;

import java.util.Map;
import lilaclever.DecisionModule.Entry;
import lilaclever.DecisionModule.Event;
import lilaclever.DecisionModule.Kind;
import lilaclever.DecisionModule.ListingKind;
import lilaclever.DecisionModule.Presence;
import lilaclever.DecisionModule.Weights;
import lilaclever.PolicyState.DestinationLimit;
import lilaclever.PolicyState.DestinationQueue;
import lilaclever.PolicyState.Endpoint;

/** The endpoint list as received from the directory, and when to request changes of it. */
final class EndpointDirectory {
    /** Divisor of approximate rates in the list, which are at most this multiple of the true ones. */
    private static final double MOST_ROUGH_FACTOR = 1.5;
    /** Shortest and longest delay before another watch request after a refused one; each refusal doubles the delay. */
    private static final long FIRST_ASK_PAUSE = 400_000, LAST_ASK_PAUSE = 4_000_000;

    private final PolicyState state;
    private final Map<String, Endpoint> endpoints;
    private boolean started;
    private long askAt = NEVER;
    private long askPause = FIRST_ASK_PAUSE;

    /** {@code endpoints} holds the endpoints that are listed or have calls in flight, by host; it is updated here. */
    EndpointDirectory(PolicyState state, Map<String, Endpoint> endpoints) {
        this.state = state;
        this.endpoints = endpoints;
    }

    /** When to request changes of the list, microseconds; {@link PolicyState#NEVER} if that isn't necessary. */
    long askAt() {
        return askAt;
    }

    /** Changes of the list are being requested. */
    void onAsked() {
        askAt = NEVER;
    }

    /** Applies a list or changes of it, or schedules another request if the directory refused one. */
    void onListing(Event.Listing listing) {
        if (!started) {
            started = true;
            askAt = state.settings.askForList() ? state.now : NEVER;
        }
        if (listing.kind() == ListingKind.REFUSED) {
            askLater();
            return;
        }
        boolean remembered = listing.kind() == ListingKind.REMEMBERED;
        askPause = remembered ? askPause : FIRST_ASK_PAUSE;
        if (listing.kind() == ListingKind.ALL || remembered) {
            endpoints.values().forEach(endpoint -> endpoint.active = false);
        }
        listing.entries().forEach(this::take);
        // An endpoint that is listed again within its retry-after period must keep it.
        endpoints
                .values()
                .removeIf(each ->
                        !each.active && each.callsInFlight == 0 && each.limit.waitUntil <= state.now && detach(each));
    }

    /** Schedules another request with exponential backoff and jitter: all forwarders may be requesting at once. */
    private void askLater() {
        askAt = state.settings.askForList() ? state.now + (long) (askPause * state.randomFactor()) : NEVER;
        // With jitter, at most half the time after which the rules treat a forwarder that doesn't ask as informed.
        long longest = Math.min(LAST_ASK_PAUSE, state.settings.rules().askWithinMicros() / 3);
        askPause = Math.min(askPause * 2, longest);
    }

    private void take(Entry entry) {
        Endpoint endpoint = endpoints.get(entry.host());
        if (endpoint != null && endpoint.queue != state.queues.get(entry.destination())) {
            // The host now serves another destination, as a new endpoint. Calls in flight keep the old one.
            detach(endpoint);
            endpoints.remove(entry.host());
            endpoint = null;
        }
        boolean active = entry.presence() == Presence.ACTIVE;
        if (endpoint == null) {
            if (!active) {
                return;
            }
            endpoint = add(entry);
        }
        endpoint.active = active;
        takeRate(endpoint.limit, entry.weight());
    }

    private void takeRate(DestinationLimit limit, double weight) {
        Weights weights = state.settings.weights();
        if (weights != Weights.NONE && weight > 0 && !limit.rateReported) {
            // An approximate rate may be too high by half; one that the destination reports itself takes precedence.
            limit.toldRate = weight / (weights == Weights.ROUGH ? MOST_ROUGH_FACTOR : 1);
        }
    }

    private Endpoint add(Entry entry) {
        DestinationQueue queue = state.queues.computeIfAbsent(entry.destination(), d -> new DestinationQueue());
        boolean known =
                entry.kind() >= 0 && entry.kind() < state.settings.kinds().size();
        Kind kind = known ? state.settings.kinds().get(entry.kind()) : new Kind(false, 1);
        if (queue.sharedLimit == null || kind.ownLimits()) {
            queue.sharedLimit = new DestinationLimit();
        }
        DestinationLimit limit = queue.sharedLimit;
        int number = known ? entry.kind() : 0;
        Endpoint endpoint = new Endpoint(entry.host(), queue, limit, entry.zone(), number, kind.batch());
        endpoint.trialPause = OutageDetection.FIRST_TRIAL_PAUSE;
        takeOverHealth(endpoint);
        endpoints.put(entry.host(), endpoint);
        queue.endpoints.add(endpoint);
        limit.endpoints.add(endpoint);
        return endpoint;
    }

    /** Gives a new endpoint the outage, slow start and last send time of the others of its limit. */
    private void takeOverHealth(Endpoint endpoint) {
        for (Endpoint each : endpoint.limit.endpoints) {
            endpoint.inOutage |= each.inOutage;
            endpoint.slowStartFrom = Math.max(endpoint.slowStartFrom, each.slowStartFrom);
            endpoint.lastSentAt = Math.max(endpoint.lastSentAt, each.lastSentAt);
        }
        if (state.largeFleet && endpoint.limit.failingSince > 0) {
            // A new host doesn't end an outage of the destination, even if the old one has left the list: all
            // forwarders learn of it at once, and would send all pending messages.
            endpoint.refusingConnections = true;
            endpoint.lastSentAt = state.now;
        }
    }

    /** Removes an endpoint from its destination and limit. */
    private static boolean detach(Endpoint endpoint) {
        endpoint.active = false;
        return endpoint.queue.endpoints.remove(endpoint) && endpoint.limit.endpoints.remove(endpoint);
    }
}
