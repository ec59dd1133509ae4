package lilaclever;

import static lilaclever.Rig.MS;
import static lilaclever.Rig.S;
import static lilaclever.Rig.entry;
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

/** Kinds of the rig: 0 has one limit for all endpoints, 1 a limit for each, 2 calls of five messages. */
class EndpointDirectoryTest {
    private final Map<String, Endpoint> endpoints = new LinkedHashMap<>();
    private PolicyFixture fixture = new PolicyFixture();
    private EndpointDirectory directory = new EndpointDirectory(fixture.state, endpoints);

    private void use(Settings settings) {
        fixture = new PolicyFixture(settings);
        directory = new EndpointDirectory(fixture.state, endpoints);
    }

    private void list(ListingKind kind, EndpointEntry... entries) {
        directory.onListing(new Event.Listing(kind, 1, List.of(entries)));
    }

    private static EndpointEntry leaving(String host, int destination) {
        return new EndpointEntry(host, destination, 0, 0, Presence.LEAVING, 1, 0);
    }

    private static Settings withWeights(WeightMeaning weights) {
        Settings s = Rig.settings(4, 50, 6, false);
        return new Settings(
                s.self(),
                s.forwarders(),
                s.zone(),
                s.zones(),
                s.roundMicros(),
                s.mustWatchList(),
                weights,
                s.limitReports(),
                s.overQuotaWorthFactor(),
                s.classes(),
                s.kinds(),
                s.tenants(),
                s.limits(),
                s.rules());
    }

    @Test
    void changesAddAndDrainEndpoints() {
        list(ListingKind.CHANGES, entry("a", 1, 0, 0), entry("b", 1, 1, 0));
        assertTrue(endpoints.get("a").active && endpoints.get("b").active);
        endpoints.get("a").callsInFlight = 1;
        list(ListingKind.CHANGES, leaving("a", 1), leaving("c", 1));
        assertFalse(endpoints.get("a").active, "draining, but kept while a call is in flight");
        assertEquals(Set.of("a", "b"), endpoints.keySet(), "one that was never active is not added");
        endpoints.get("a").callsInFlight = 0;
        list(ListingKind.CHANGES);
        assertEquals(Set.of("b"), endpoints.keySet());
        assertEquals(List.of(endpoints.get("b")), fixture.queue.endpoints);
    }

    @Test
    void aWholeListEndsWhatItDoesNotName() {
        list(ListingKind.ALL, entry("a", 1, 0, 0), entry("b", 1, 0, 0));
        list(ListingKind.ALL, entry("b", 1, 0, 0));
        assertEquals(Set.of("b"), endpoints.keySet());
    }

    @Test
    void anEndpointThatToldAWaitIsRememberedUntilItIsOver() {
        list(ListingKind.ALL, entry("a", 1, 0, 0));
        endpoints.get("a").limit.retryAfterUntilMicros = fixture.state.nowMicros + S;
        list(ListingKind.ALL);
        assertEquals(Set.of("a"), endpoints.keySet());
        fixture.later(S);
        list(ListingKind.ALL);
        assertEquals(Set.of(), endpoints.keySet());
    }

    @Test
    void anEndpointThatServesAnotherDestinationIsANewOne() {
        list(ListingKind.ALL, entry("a", 1, 0, 0));
        Endpoint before = endpoints.get("a");
        list(ListingKind.CHANGES, entry("a", 2, 0, 0));
        assertNotSame(before, endpoints.get("a"));
        assertFalse(before.active);
        assertTrue(fixture.queue.endpoints.isEmpty());
        assertSame(fixture.state.queues.get(2), endpoints.get("a").queue);
    }

    @Test
    void limitsAreSharedOrApartAsTheKindSays() {
        list(ListingKind.ALL, entry("a", 1, 0, 0), entry("b", 1, 0, 0), entry("c", 2, 0, 1), entry("d", 2, 0, 1));
        assertSame(endpoints.get("a").limit, endpoints.get("b").limit);
        assertNotSame(endpoints.get("c").limit, endpoints.get("d").limit);
    }

    @Test
    void aKindThatTheSettingsDoNotNameIsAPlainOne() {
        list(ListingKind.ALL, entry("a", 1, 0, 3), entry("b", 1, 0, -1), entry("c", 2, 0, 2));
        assertEquals(0, endpoints.get("a").kindIndex);
        assertEquals(1, endpoints.get("b").maxBatchSize);
        assertEquals(5, endpoints.get("c").maxBatchSize);
    }

    @Test
    void aNewEndpointOfALimitInAnOutageStartsInIt() {
        list(ListingKind.ALL, entry("a", 1, 0, 0));
        Endpoint first = endpoints.get("a");
        first.inOutage = true;
        first.slowStartAtMicros = 7;
        first.lastSentAtMicros = fixture.state.nowMicros - 3;
        list(ListingKind.CHANGES, entry("b", 1, 0, 0));
        Endpoint second = endpoints.get("b");
        assertTrue(second.inOutage);
        assertEquals(7, second.slowStartAtMicros);
        assertEquals(first.lastSentAtMicros, second.lastSentAtMicros);
        assertEquals(OutageDetection.FIRST_TRIAL_INTERVAL_MICROS, second.trialIntervalMicros);
    }

    @Test
    void inALargeFleetANewEndpointIsNoWayRoundAnOutage() {
        use(Rig.settings(4, 50, 6, false, PolicyFixture.LARGE));
        fixture.limit.failingSinceMicros = fixture.state.nowMicros - S;
        list(ListingKind.ALL, entry("a", 1, 0, 0));
        assertTrue(endpoints.get("a").connectsFailing);
        assertEquals(fixture.state.nowMicros, endpoints.get("a").lastSentAtMicros);
    }

    @Test
    void weightsAreRatesUntilTheDestinationReportsItself() {
        use(withWeights(WeightMeaning.EXACT));
        list(ListingKind.ALL, new EndpointEntry("a", 1, 0, 0, Presence.ACTIVE, 6, 0));
        assertEquals(6, fixture.limit.announcedRate);
        use(withWeights(WeightMeaning.APPROXIMATE));
        list(ListingKind.ALL, new EndpointEntry("a", 1, 0, 0, Presence.ACTIVE, 6, 0));
        assertEquals(4, fixture.limit.announcedRate, "it may be half too high");
        fixture.limit.rateReported = true;
        list(ListingKind.ALL, new EndpointEntry("a", 1, 0, 0, Presence.ACTIVE, 9, 0));
        assertEquals(4, fixture.limit.announcedRate);
        use(withWeights(WeightMeaning.NONE));
        list(ListingKind.ALL, new EndpointEntry("a", 1, 0, 0, Presence.ACTIVE, 6, 0));
        assertEquals(0, fixture.limit.announcedRate);
    }

    @Test
    void thePlatformIsAskedOnceAndLaterAndLaterWhereItRefuses() {
        use(Rig.settings(4, 50, 6, true));
        list(ListingKind.REMEMBERED);
        assertEquals(fixture.state.nowMicros, directory.watchAtMicros());
        directory.onWatchRequested();
        assertEquals(PolicyState.NEVER, directory.watchAtMicros());
        // Half a minute and more of refusals: 0.4 s, doubled up to a third of the 10 s that the rules allow.
        for (long pause : new long[] {400 * MS, 800 * MS, 1_600 * MS, 3_200 * MS, 10 * S / 3, 10 * S / 3}) {
            list(ListingKind.REFUSED);
            long after = directory.watchAtMicros() - fixture.state.nowMicros;
            assertTrue(after >= pause / 2 && after <= pause * 3 / 2, after + " for " + pause);
        }
        list(ListingKind.CHANGES);
        list(ListingKind.REFUSED);
        assertTrue(directory.watchAtMicros() - fixture.state.nowMicros <= 600 * MS, "an answer ends the row");
    }

    @Test
    void whereChangesComeUnaskedNothingIsAsked() {
        list(ListingKind.REMEMBERED);
        list(ListingKind.REFUSED);
        assertEquals(PolicyState.NEVER, directory.watchAtMicros());
    }
}
