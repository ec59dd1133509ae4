package lilaclever;

import static lilaclever.PolicyState.NEVER;

import java.util.Map;
import lilaclever.DecisionModule.EndpointEntry;
import lilaclever.DecisionModule.Event;
import lilaclever.DecisionModule.EndpointKind;
import lilaclever.DecisionModule.ListingKind;
import lilaclever.DecisionModule.Presence;
import lilaclever.DecisionModule.WeightMeaning;
import lilaclever.PolicyState.DestinationLimit;
import lilaclever.PolicyState.DestinationQueue;
import lilaclever.PolicyState.Endpoint;

/** The list of endpoints as the platform has told it, and when the platform is asked for changes of it. */
final class EndpointDirectory {
    /** A rough rate in the list is at most so many times the true one. */
    private static final double MAX_OVERESTIMATE = 1.5;
    /** Pause before asking again after a refusal, microseconds; doubled by each. */
    private static final long MIN_WATCH_RETRY_MICROS = 400_000, MAX_WATCH_RETRY_MICROS = 4_000_000;

    private final PolicyState state;
    private final Map<String, Endpoint> endpoints;
    private boolean started;
    private long watchAtMicros = NEVER;
    private long watchRetryMicros = MIN_WATCH_RETRY_MICROS;

    /** {@code endpoints}: where endpoints are remembered by host while they are listed or calls are in flight there. */
    EndpointDirectory(PolicyState state, Map<String, Endpoint> endpoints) {
        this.state = state;
        this.endpoints = endpoints;
    }

    /** When the platform is to be asked for changes, microseconds; {@link PolicyState#NEVER} if it need not be. */
    long watchAtMicros() {
        return watchAtMicros;
    }

    /** Notes that the platform is being asked. */
    void onWatchRequested() {
        watchAtMicros = NEVER;
    }

    /** Takes over news of the list, or that the platform has refused to tell it. */
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
        // A route that is listed again soon must still know its wait.
        endpoints
                .values()
                .removeIf(each ->
                        !each.active && each.callsInFlight == 0 && each.limit.retryAfterUntilMicros <= state.nowMicros && detach(each));
    }

    /** The directory may be busy with every forwarder's call: ask later and later, spread by chance. */
    private void retryWatchLater() {
        watchAtMicros = state.settings.mustWatchList() ? state.nowMicros + (long) (watchRetryMicros * state.jitterFactor()) : NEVER;
        // Half the time after which the rules take a forwarder that does not ask as told, spread included.
        long longestMicros = Math.min(MAX_WATCH_RETRY_MICROS, state.settings.rules().watchWithinMicros() / 3);
        watchRetryMicros = Math.min(watchRetryMicros * 2, longestMicros);
    }

    private void apply(EndpointEntry entry) {
        Endpoint endpoint = endpoints.get(entry.host());
        if (endpoint != null && endpoint.queue != state.queues.get(entry.destination())) {
            // It serves another destination now, and is a new endpoint there. Calls in flight keep the old one.
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
            // A rough figure may be half too high; what the destination reports itself is better.
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

    /** A new endpoint starts with the outage, slow start and pace of the others of its limit. */
    private void inheritHealth(Endpoint endpoint) {
        for (Endpoint other : endpoint.limit.endpoints) {
            endpoint.inOutage |= other.inOutage;
            endpoint.slowStartAtMicros = Math.max(endpoint.slowStartAtMicros, other.slowStartAtMicros);
            endpoint.lastSentAtMicros = Math.max(endpoint.lastSentAtMicros, other.lastSentAtMicros);
        }
        if (state.largeFleet && endpoint.limit.failingSinceMicros > 0) {
            // A new host is no way round an outage, whatever it looked like, even if the old one has left the list:
            // all forwarders hear of it at once, and would send what they hold.
            endpoint.connectsFailing = true;
            endpoint.lastSentAtMicros = state.nowMicros;
        }
    }

    /** Takes an endpoint out of its destination. */
    private static boolean detach(Endpoint endpoint) {
        endpoint.active = false;
        return endpoint.queue.endpoints.remove(endpoint) && endpoint.limit.endpoints.remove(endpoint);
    }
}
