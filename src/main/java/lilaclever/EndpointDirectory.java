package lilaclever;

import static lilaclever.PolicyState.NEVER;

import java.util.Map;
import lilaclever.DecisionModule.EndpointEntry;
import lilaclever.DecisionModule.EndpointKind;
import lilaclever.DecisionModule.Event;
import lilaclever.DecisionModule.ListingKind;
import lilaclever.DecisionModule.Presence;
import lilaclever.DecisionModule.WeightMeaning;
import lilaclever.PolicyState.DestinationLimit;
import lilaclever.PolicyState.DestinationQueue;
import lilaclever.PolicyState.Endpoint;

/** The endpoint list as received from the directory, and when to request changes of it. */
final class EndpointDirectory {
    /** Divisor of approximate rates in the list, which are at most this multiple of the true ones. */
    private static final double MAX_OVERESTIMATE = 1.5;
    /** Shortest and longest delay before another watch request after a refused one; each refusal doubles the delay. */
    private static final long MIN_WATCH_RETRY_MICROS = 400_000, MAX_WATCH_RETRY_MICROS = 4_000_000;

    private final PolicyState state;
    private final Map<String, Endpoint> endpoints;
    private boolean started;
    private long watchAtMicros = NEVER;
    private long watchRetryMicros = MIN_WATCH_RETRY_MICROS;

    /** {@code endpoints} holds the endpoints that are listed or have calls in flight, by host; it is updated here. */
    EndpointDirectory(PolicyState state, Map<String, Endpoint> endpoints) {
        this.state = state;
        this.endpoints = endpoints;
    }

    /** When to request changes of the list, microseconds; {@link PolicyState#NEVER} if that isn't necessary. */
    long watchAtMicros() {
        return watchAtMicros;
    }

    /** Changes of the list are being requested. */
    void onWatchRequested() {
        watchAtMicros = NEVER;
    }

    /** Applies a list or changes of it, or schedules another request if the directory refused one. */
    void onListing(Event.Listing listing) {
        if (!started) {
            started = true;
            watchAtMicros = state.settings.mustWatchList() ? state.nowMicros : NEVER;
        }
        if (listing.kind() == ListingKind.REFUSED) {
            retryWatchLater();
            return;
        }
        boolean isRemembered = listing.kind() == ListingKind.REMEMBERED;
        watchRetryMicros = isRemembered ? watchRetryMicros : MIN_WATCH_RETRY_MICROS;
        if (listing.kind() == ListingKind.ALL || isRemembered) {
            endpoints.values().forEach(endpoint -> endpoint.active = false);
        }
        listing.entries().forEach(this::apply);
        // An endpoint that is listed again within its retry-after period must keep it.
        endpoints
                .values()
                .removeIf(each -> !each.active
                        && each.callsInFlight == 0
                        && each.limit.retryAfterUntilMicros <= state.nowMicros
                        && detach(each));
    }

    /** Schedules another request with exponential backoff and jitter: all forwarders may be requesting at once. */
    private void retryWatchLater() {
        watchAtMicros = state.settings.mustWatchList()
                ? state.nowMicros + (long) (watchRetryMicros * state.jitterFactor())
                : NEVER;
        // With jitter, at most half the time after which the rules treat a forwarder that doesn't ask as informed.
        long longestMicros =
                Math.min(MAX_WATCH_RETRY_MICROS, state.settings.rules().watchWithinMicros() / 3);
        watchRetryMicros = Math.min(watchRetryMicros * 2, longestMicros);
    }

    private void apply(EndpointEntry entry) {
        Endpoint endpoint = endpoints.get(entry.host());
        if (endpoint != null && endpoint.queue != state.queues.get(entry.destination())) {
            // The host now serves another destination, as a new endpoint. Calls in flight keep the old one.
            detach(endpoint);
            endpoints.remove(entry.host());
            endpoint = null;
        }
        boolean isActive = entry.presence() == Presence.ACTIVE;
        if (endpoint == null) {
            if (!isActive) {
                return;
            }
            endpoint = add(entry);
        }
        endpoint.active = isActive;
        updateRate(endpoint.limit, entry.weight());
    }

    private void updateRate(DestinationLimit limit, double weight) {
        WeightMeaning meaning = state.settings.weightMeaning();
        if (meaning != WeightMeaning.NONE && weight > 0 && !limit.rateReported) {
            // An approximate rate may be too high by half; one that the destination reports itself takes precedence.
            limit.announcedRate = weight / (meaning == WeightMeaning.APPROXIMATE ? MAX_OVERESTIMATE : 1);
        }
    }

    private Endpoint add(EndpointEntry entry) {
        DestinationQueue queue = state.queues.computeIfAbsent(entry.destination(), d -> new DestinationQueue());
        boolean isKnownKind =
                entry.kind() >= 0 && entry.kind() < state.settings.kinds().size();
        EndpointKind kind = isKnownKind ? state.settings.kinds().get(entry.kind()) : new EndpointKind(false, 1);
        if (queue.latestLimit == null || kind.limitPerEndpoint()) {
            queue.latestLimit = new DestinationLimit();
        }
        DestinationLimit limit = queue.latestLimit;
        int kindIndex = isKnownKind ? entry.kind() : 0;
        Endpoint endpoint = new Endpoint(entry.host(), queue, limit, entry.zone(), kindIndex, kind.maxBatchSize());
        endpoint.trialIntervalMicros = OutageDetection.FIRST_TRIAL_INTERVAL_MICROS;
        inheritHealth(endpoint);
        endpoints.put(entry.host(), endpoint);
        queue.endpoints.add(endpoint);
        limit.endpoints.add(endpoint);
        return endpoint;
    }

    /** Gives a new endpoint the outage, slow start and last send time of the others of its limit. */
    private void inheritHealth(Endpoint endpoint) {
        for (Endpoint other : endpoint.limit.endpoints) {
            endpoint.inOutage |= other.inOutage;
            endpoint.slowStartAtMicros = Math.max(endpoint.slowStartAtMicros, other.slowStartAtMicros);
            endpoint.lastSentAtMicros = Math.max(endpoint.lastSentAtMicros, other.lastSentAtMicros);
        }
        if (state.largeFleet && endpoint.limit.failingSinceMicros > 0) {
            // A new host doesn't end an outage of the destination, whether that showed as refusals or failures and even
            // if the old host has left the list: all forwarders learn of it at once, and would send all pending
            // messages.
            endpoint.connectsFailing = true;
            endpoint.lastSentAtMicros = state.nowMicros;
        }
    }

    /** Removes an endpoint from its destination and limit. */
    private static boolean detach(Endpoint endpoint) {
        endpoint.active = false;
        return endpoint.queue.endpoints.remove(endpoint) && endpoint.limit.endpoints.remove(endpoint);
    }
}
