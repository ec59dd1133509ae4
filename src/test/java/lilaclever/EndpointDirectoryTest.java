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
import lilaclever.DecisionModule.Entry;
import lilaclever.DecisionModule.Event;
import lilaclever.DecisionModule.ListingKind;
import lilaclever.DecisionModule.Presence;
import lilaclever.DecisionModule.Settings;
import lilaclever.DecisionModule.Weights;
import lilaclever.PolicyState.Endpoint;
import org.junit.jupiter.api.Test;

/** Endpoint kinds: 0 has one limit for all endpoints, 1 a limit for each, 2 calls of up to five messages. */
class EndpointDirectoryTest {
    private final Map<String, Endpoint> endpoints = new LinkedHashMap<>();
    private PolicyFixture fixture = new PolicyFixture();
    private EndpointDirectory directory = new EndpointDirectory(fixture.state, endpoints);

    private void use(Settings settings) {
        fixture = new PolicyFixture(settings);
        directory = new EndpointDirectory(fixture.state, endpoints);
    }

    private void list(ListingKind kind, Entry... entries) {
        directory.onListing(new Event.Listing(kind, 1, List.of(entries)));
    }

    private static Entry leaving(String host, int destination) {
        return new Entry(host, destination, 0, 0, Presence.LEAVING, 1, 0);
    }

    private static Settings withWeights(Weights weights) {
        Settings s = Rig.settings(4, 50, 6, false);
        return new Settings(
                s.self(),
                s.relays(),
                s.zone(),
                s.zones(),
                s.roundMicros(),
                s.askForList(),
                weights,
                s.reports(),
                s.overShareWorth(),
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
        assertFalse(endpoints.get("a").active, "draining, but retained while a call is in flight");
        assertEquals(Set.of("a", "b"), endpoints.keySet(), "an endpoint that was never active is not added");
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
        endpoints.get("a").limit.waitUntil = fixture.state.now + S;
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
        assertEquals(0, endpoints.get("a").kind);
        assertEquals(1, endpoints.get("b").batch);
        assertEquals(5, endpoints.get("c").batch);
    }

    @Test
    void aNewEndpointOfALimitInAnOutageStartsInIt() {
        list(ListingKind.ALL, entry("a", 1, 0, 0));
        Endpoint first = endpoints.get("a");
        first.inOutage = true;
        first.slowStartFrom = 7;
        first.lastSentAt = fixture.state.now - 3;
        list(ListingKind.CHANGES, entry("b", 1, 0, 0));
        Endpoint second = endpoints.get("b");
        assertTrue(second.inOutage);
        assertEquals(7, second.slowStartFrom);
        assertEquals(first.lastSentAt, second.lastSentAt);
        assertEquals(OutageDetection.FIRST_TRIAL_PAUSE, second.trialPause);
    }

    @Test
    void inALargeFleetANewEndpointIsNoWayRoundAnOutage() {
        use(Rig.settings(4, 50, 6, false, PolicyFixture.LARGE));
        fixture.limit.failingSince = fixture.state.now - S;
        list(ListingKind.ALL, entry("a", 1, 0, 0));
        assertTrue(endpoints.get("a").refusingConnections);
        assertEquals(fixture.state.now, endpoints.get("a").lastSentAt);
    }

    @Test
    void weightsAreRatesUntilTheDestinationReportsItself() {
        use(withWeights(Weights.EXACT));
        list(ListingKind.ALL, new Entry("a", 1, 0, 0, Presence.ACTIVE, 6, 0));
        assertEquals(6, fixture.limit.toldRate);
        use(withWeights(Weights.ROUGH));
        list(ListingKind.ALL, new Entry("a", 1, 0, 0, Presence.ACTIVE, 6, 0));
        assertEquals(4, fixture.limit.toldRate, "it may be half too high");
        fixture.limit.rateReported = true;
        list(ListingKind.ALL, new Entry("a", 1, 0, 0, Presence.ACTIVE, 9, 0));
        assertEquals(4, fixture.limit.toldRate);
        use(withWeights(Weights.NONE));
        list(ListingKind.ALL, new Entry("a", 1, 0, 0, Presence.ACTIVE, 6, 0));
        assertEquals(0, fixture.limit.toldRate);
    }

    @Test
    void thePlatformIsAskedOnceAndLaterAndLaterWhereItRefuses() {
        use(Rig.settings(4, 50, 6, true));
        list(ListingKind.REMEMBERED);
        assertEquals(fixture.state.now, directory.askAt());
        directory.onAsked();
        assertEquals(PolicyState.NEVER, directory.askAt());
        // Delays start at 0.4 s and double, up to a third of the 10 s within which the rules demand a request.
        for (long pause : new long[] {400 * MS, 800 * MS, 1_600 * MS, 3_200 * MS, 10 * S / 3, 10 * S / 3}) {
            list(ListingKind.REFUSED);
            long after = directory.askAt() - fixture.state.now;
            assertTrue(after >= pause / 2 && after <= pause * 3 / 2, after + " instead of " + pause);
        }
        list(ListingKind.CHANGES);
        list(ListingKind.REFUSED);
        assertTrue(directory.askAt() - fixture.state.now <= 600 * MS, "a listing resets the delay");
    }

    @Test
    void whereChangesComeUnaskedNothingIsAsked() {
        list(ListingKind.REMEMBERED);
        list(ListingKind.REFUSED);
        assertEquals(PolicyState.NEVER, directory.askAt());
    }
}
