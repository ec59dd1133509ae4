package lilaclever;

import static lilaclever.DecisionModuleHarness.MILLISECOND_MICROS;
import static lilaclever.DecisionModuleHarness.SECOND_MICROS;
import static lilaclever.DecisionModuleHarness.entry;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import lilaclever.DecisionModule.EndpointEntry;
import lilaclever.DecisionModule.Event;
import lilaclever.DecisionModule.ListingKind;
import lilaclever.DecisionModule.Presence;
import lilaclever.DecisionModule.Settings;
import lilaclever.DecisionModule.WeightMeaning;
import lilaclever.PolicyState.Endpoint;
import org.junit.jupiter.api.Test;

/** Endpoint kinds: 0 has one limit for all endpoints, 1 a limit for each, 2 calls of up to five messages. */
class EndpointDirectoryTest {
    private final Map<String, Endpoint> endpoints = new LinkedHashMap<>();
    private PolicyFixture fixture = new PolicyFixture();
    private EndpointDirectory directory = new EndpointDirectory(fixture.state, endpoints);

    private void useSettings(Settings settings) {
        fixture = new PolicyFixture(settings);
        directory = new EndpointDirectory(fixture.state, endpoints);
    }

    private void applyListing(ListingKind kind, EndpointEntry... entries) {
        directory.onListing(new Event.Listing(kind, 1, List.of(entries)));
    }

    private static EndpointEntry leavingEntry(String host, int destination) {
        return new EndpointEntry(host, destination, 0, 0, Presence.LEAVING, 1, 0);
    }

    private static Settings withWeights(WeightMeaning weights) {
        Settings settings = DecisionModuleHarness.settings(4, 50, 6, false);
        return new Settings(
                settings.self(),
                settings.forwarders(),
                settings.zone(),
                settings.zones(),
                settings.roundMicros(),
                settings.mustWatchList(),
                weights,
                settings.limitReports(),
                settings.overQuotaWorthFactor(),
                settings.classes(),
                settings.kinds(),
                settings.tenants(),
                settings.limits(),
                settings.rules());
    }

    @Test
    void changesAddAndDrainEndpoints() {
        applyListing(ListingKind.CHANGES, entry("a", 1, 0, 0), entry("b", 1, 1, 0));
        assertTrue(endpoints.get("a").active && endpoints.get("b").active);
        endpoints.get("a").callsInFlight = 1;
        applyListing(ListingKind.CHANGES, leavingEntry("a", 1), leavingEntry("c", 1));
        assertFalse(endpoints.get("a").active, "draining, but retained while a call is in flight");
        assertEquals(Set.of("a", "b"), endpoints.keySet(), "an endpoint that was never active is not added");
        endpoints.get("a").callsInFlight = 0;
        applyListing(ListingKind.CHANGES);
        assertEquals(Set.of("b"), endpoints.keySet());
        assertEquals(List.of(endpoints.get("b")), fixture.queue.endpoints);
    }

    @Test
    void aWholeListRemovesEndpointsItDoesNotName() {
        applyListing(ListingKind.ALL, entry("a", 1, 0, 0), entry("b", 1, 0, 0));
        applyListing(ListingKind.ALL, entry("b", 1, 0, 0));
        assertEquals(Set.of("b"), endpoints.keySet());
    }

    @Test
    void anUnlistedEndpointIsRetainedUntilItsRetryAfterIsOver() {
        applyListing(ListingKind.ALL, entry("a", 1, 0, 0));
        endpoints.get("a").limit.retryAfterUntilMicros = fixture.state.nowMicros + SECOND_MICROS;
        applyListing(ListingKind.ALL);
        assertEquals(Set.of("a"), endpoints.keySet());
        fixture.advanceClock(SECOND_MICROS);
        applyListing(ListingKind.ALL);
        assertEquals(Set.of(), endpoints.keySet());
    }

    @Test
    void anEndpointThatMovesToAnotherDestinationIsReplacedByANewOne() {
        applyListing(ListingKind.ALL, entry("a", 1, 0, 0));
        Endpoint previous = endpoints.get("a");
        applyListing(ListingKind.CHANGES, entry("a", 2, 0, 0));
        assertNotSame(previous, endpoints.get("a"));
        assertFalse(previous.active);
        assertTrue(fixture.queue.endpoints.isEmpty());
        assertSame(fixture.state.queues.get(2), endpoints.get("a").queue);
    }

    @Test
    void limitsAreSharedOrSeparateAsTheKindSays() {
        applyListing(
                ListingKind.ALL, entry("a", 1, 0, 0), entry("b", 1, 0, 0), entry("c", 2, 0, 1), entry("d", 2, 0, 1));
        assertSame(endpoints.get("a").limit, endpoints.get("b").limit);
        assertNotSame(endpoints.get("c").limit, endpoints.get("d").limit);
    }

    @Test
    void anUnknownKindHasASharedLimitAndNoBatches() {
        applyListing(ListingKind.ALL, entry("a", 1, 0, 3), entry("b", 1, 0, -1), entry("c", 2, 0, 2));
        assertEquals(0, endpoints.get("a").kindIndex);
        assertEquals(1, endpoints.get("b").maxBatchSize);
        assertEquals(5, endpoints.get("c").maxBatchSize);
    }

    @Test
    void aNewEndpointOfALimitInAnOutageStartsInThatOutage() {
        applyListing(ListingKind.ALL, entry("a", 1, 0, 0));
        Endpoint first = endpoints.get("a");
        first.inOutage = true;
        first.slowStartAtMicros = 7;
        first.lastSentAtMicros = fixture.state.nowMicros - 3;
        applyListing(ListingKind.CHANGES, entry("b", 1, 0, 0));
        Endpoint second = endpoints.get("b");
        assertTrue(second.inOutage);
        assertEquals(7, second.slowStartAtMicros);
        assertEquals(first.lastSentAtMicros, second.lastSentAtMicros);
        assertEquals(OutageDetection.FIRST_TRIAL_INTERVAL_MICROS, second.trialIntervalMicros);
    }

    @Test
    void inALargeFleetANewEndpointDoesNotBypassAnOutage() {
        useSettings(DecisionModuleHarness.settings(4, 50, 6, false, PolicyFixture.LARGE_FLEET_SIZE));
        fixture.limit.failingSinceMicros = fixture.state.nowMicros - SECOND_MICROS;
        applyListing(ListingKind.ALL, entry("a", 1, 0, 0));
        assertTrue(endpoints.get("a").connectsFailing);
        assertEquals(fixture.state.nowMicros, endpoints.get("a").lastSentAtMicros);
    }

    @Test
    void weightsGiveTheRateUntilTheDestinationReportsIt() {
        useSettings(withWeights(WeightMeaning.EXACT));
        applyListing(ListingKind.ALL, new EndpointEntry("a", 1, 0, 0, Presence.ACTIVE, 6, 0));
        assertEquals(6, fixture.limit.announcedRate);
        useSettings(withWeights(WeightMeaning.APPROXIMATE));
        applyListing(ListingKind.ALL, new EndpointEntry("a", 1, 0, 0, Presence.ACTIVE, 6, 0));
        assertEquals(4, fixture.limit.announcedRate, "it may be half too high");
        fixture.limit.rateReported = true;
        applyListing(ListingKind.ALL, new EndpointEntry("a", 1, 0, 0, Presence.ACTIVE, 9, 0));
        assertEquals(4, fixture.limit.announcedRate);
        useSettings(withWeights(WeightMeaning.NONE));
        applyListing(ListingKind.ALL, new EndpointEntry("a", 1, 0, 0, Presence.ACTIVE, 6, 0));
        assertEquals(0, fixture.limit.announcedRate);
    }

    @Test
    void theWatchIsRequestedOnceAndAfterRefusalsWithGrowingDelays() {
        useSettings(DecisionModuleHarness.settings(4, 50, 6, true));
        applyListing(ListingKind.REMEMBERED);
        assertEquals(fixture.state.nowMicros, directory.watchAtMicros());
        directory.onWatchRequested();
        assertEquals(PolicyState.NEVER, directory.watchAtMicros());
        // Delays start at 0.4 s and double, up to a third of the 10 s within which the rules demand a request.
        for (long delayMicros : new long[] {
            400 * MILLISECOND_MICROS,
            800 * MILLISECOND_MICROS,
            1_600 * MILLISECOND_MICROS,
            3_200 * MILLISECOND_MICROS,
            10 * SECOND_MICROS / 3,
            10 * SECOND_MICROS / 3
        }) {
            applyListing(ListingKind.REFUSED);
            long requestedAfterMicros = directory.watchAtMicros() - fixture.state.nowMicros;
            assertTrue(
                    requestedAfterMicros >= delayMicros / 2 && requestedAfterMicros <= delayMicros * 3 / 2,
                    requestedAfterMicros + " instead of " + delayMicros);
        }
        applyListing(ListingKind.CHANGES);
        applyListing(ListingKind.REFUSED);
        assertTrue(
                directory.watchAtMicros() - fixture.state.nowMicros <= 600 * MILLISECOND_MICROS,
                "a listing resets the delay");
    }

    @Test
    void noWatchIsRequestedWhereChangesArePushed() {
        applyListing(ListingKind.REMEMBERED);
        applyListing(ListingKind.REFUSED);
        assertEquals(PolicyState.NEVER, directory.watchAtMicros());
    }
}
