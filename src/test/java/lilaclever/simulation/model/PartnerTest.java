package lilaclever.simulation.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.IntStream;
import lilaclever.simulation.model.Partner.Answer;
import lilaclever.simulation.model.Partner.Outage;
import lilaclever.simulation.model.Partner.Status;
import lilaclever.simulation.model.PartnerKind.Limit;
import org.junit.jupiter.api.Test;

/** Tests of the partner and traffic models alone. */
class PartnerTest {
    private static final long SECOND_MICROS = 1_000_000;
    private static final double[] ONE = {1, 1};

    private static PartnerKind kind(Limit limit, double connections) {
        return new PartnerKind(
                "k",
                1,
                false,
                limit,
                new double[] {1, 1},
                ONE,
                2 * SECOND_MICROS,
                new double[] {1.5, 1.5},
                new double[] {0.5, 0.5},
                1,
                new long[] {100_000, 100_000},
                1,
                new double[] {connections, connections},
                new double[] {2, 2},
                0,
                20,
                0.5);
    }

    private static Partner partner(Limit limit) {
        Partner partner = new Partner(
                7,
                kind(limit, 0),
                1,
                10,
                100_000,
                new Partner.Recovery(0.25, 8 * SECOND_MICROS, 1.5, 3 * SECOND_MICROS),
                new RandomStream(1, "p"));
        partner.addEndpoint("e");
        return partner;
    }

    private static Answer call(Partner partner, int forwarder, long atMicros) {
        return partner.call("e", forwarder, new long[] {100_000}, atMicros);
    }

    /**
     * Guards against rounding to whole servers, which gave a small partner four times its drawn capacity, so that no
     * load was too much for the fleet.
     */
    @Test
    void capacityIsTheDrawnCapacity() {
        for (int i = 0; i < 50; i++) {
            Partner partner = new Partner(
                    7,
                    kind(Limit.NONE, 0),
                    2,
                    60 + i,
                    100_000,
                    new Partner.Recovery(0.25, 8 * SECOND_MICROS, 1.5, 3 * SECOND_MICROS),
                    new RandomStream(i, "p"));
            assertEquals(60 + i, partner.capacity(), 1e-6);
        }
    }

    @Test
    void streamsDependOnSeedAndName() {
        assertEquals(new RandomStream(1, "a").unit(), new RandomStream(1, "a").unit());
        assertTrue(new RandomStream(1, "a").unit() != new RandomStream(1, "b").unit());
        RandomStream stream = new RandomStream(5, "x");
        assertEquals(
                1,
                IntStream.range(0, 100_000)
                        .mapToDouble(i -> stream.lognormal(0.5))
                        .average()
                        .orElse(0),
                0.01);
    }

    /** Twenty calls in a window of two seconds, and none more until the next window begins, whose start it reports. */
    @Test
    void windowLimitsTheCallsInEachPeriod() {
        CallLimiter limiter = new CallLimiter(Limit.WINDOW, 10, 2 * SECOND_MICROS, true);
        assertEquals(
                20,
                IntStream.range(0, 50)
                        .filter(i -> limiter.tryAcquire(i * 10_000L))
                        .count());
        assertEquals(2 * SECOND_MICROS, limiter.availableAtMicros(SECOND_MICROS));
        assertTrue(limiter.tryAcquire(2 * SECOND_MICROS));
    }

    /** Half of the limit applies for a time and the whole of it afterwards, for each kind of limit. */
    @Test
    void loweredLimitAppliesUntilItsEnd() {
        for (Limit limit : List.of(Limit.WINDOW, Limit.RATE)) {
            CallLimiter limiter = new CallLimiter(limit, 10, 2 * SECOND_MICROS, false);
            limiter.lower(0.5, 10 * SECOND_MICROS);
            limiter.tryAcquire(0);
            assertEquals(
                    40,
                    IntStream.range(0, 400)
                            .filter(i -> limiter.tryAcquire(2 * SECOND_MICROS + i * 20_000L))
                            .count(),
                    4,
                    limit + " lowered");
            assertEquals(
                    100,
                    IntStream.range(0, 500)
                            .filter(i -> limiter.tryAcquire(10 * SECOND_MICROS + i * 20_000L))
                            .count(),
                    4,
                    limit + " raised");
        }
    }

    /** Where refused calls count, a client that keeps calling at a high rate gets nothing through. */
    @Test
    void refusedCallsMayCountAgainstARate() {
        CallLimiter counting = new CallLimiter(Limit.RATE, 10, SECOND_MICROS, true),
                notCounting = new CallLimiter(Limit.RATE, 10, SECOND_MICROS, false);
        assertTrue(IntStream.range(0, 1000)
                        .filter(i -> counting.tryAcquire(i * 10_000L))
                        .count()
                < 20);
        assertEquals(
                102,
                IntStream.range(0, 1000)
                        .filter(i -> notCounting.tryAcquire(i * 10_000L))
                        .count(),
                3);
    }

    @Test
    void partnerServesNoMoreThanItsCapacity() {
        Partner partner = partner(Limit.NONE);
        long done = IntStream.range(0, 10_000)
                .mapToObj(i -> call(partner, 0, i * 5000L)) // 200 a second for 50 s
                .filter(a -> a.status() == Status.DELIVERED && a.atMicros() <= 50 * SECOND_MICROS)
                .count();
        assertEquals(partner.capacity() * 50, done, partner.capacity() * 2);
    }

    /** Guards against partners that recover at full capacity at once: then no rehearsal would show an overload. */
    @Test
    void recoveringPartnerStartsSlowlyAndFailsUnderOverload() {
        Partner partner = partner(Limit.NONE);
        partner.startOutage(Outage.SHUT, 0, 10 * SECOND_MICROS);
        assertEquals(Status.FULL, call(partner, 3, 9 * SECOND_MICROS).status());
        partner.failureSeen(3, 9 * SECOND_MICROS);
        assertTrue(partner.isUnavailable(9 * SECOND_MICROS));
        assertEquals(0.25, partner.capacityShare(10 * SECOND_MICROS), 0.01);
        assertEquals(0.625, partner.capacityShare(14 * SECOND_MICROS), 0.01);
        for (int i = 0; i < 400 && partner.overloads() == 0; i++) {
            call(partner, 3, 10 * SECOND_MICROS + i * 10_000L);
        }
        assertEquals(1, partner.overloads());
        assertEquals(1, partner.overloadsByInformedForwarders()); // forwarder 3 had seen a refusal
        assertTrue(partner.isUnavailable(60 * SECOND_MICROS));
    }

    @Test
    void overloadByUninformedForwardersIsCountedSeparately() {
        Partner partner = partner(Limit.NONE);
        partner.startOutage(Outage.DOWN, 0, 10 * SECOND_MICROS);
        assertEquals(Status.NO_CONNECTION, call(partner, 3, 9 * SECOND_MICROS).status());
        partner.failureSeen(3, 9 * SECOND_MICROS);
        for (int i = 0; i < 400 && partner.overloads() == 0; i++) {
            call(partner, 4, 10 * SECOND_MICROS + i * 10_000L);
        }
        assertEquals(1, partner.overloads());
        assertEquals(0, partner.overloadsByInformedForwarders());
    }

    @Test
    void eachOutageAnswersInItsWay() {
        Partner partner = partner(Limit.NONE);
        partner.startOutage(Outage.SILENT, 0, SECOND_MICROS);
        assertEquals(Status.NO_ANSWER, call(partner, 0, 0).status());
        assertFalse(partner.canStillAnswer("e", SECOND_MICROS / 2));
        partner.startOutage(Outage.FAILING, 1, 2 * SECOND_MICROS);
        assertEquals(Status.ERROR, call(partner, 0, SECOND_MICROS).status());
        Partner slow = partner(Limit.NONE);
        long usual = call(slow, 0, 0).atMicros();
        slow.startOutage(Outage.SLOW, 4, 10 * SECOND_MICROS);
        assertEquals(4 * usual, call(slow, 0, 5 * SECOND_MICROS).atMicros() - 5 * SECOND_MICROS, 4);
        assertEquals(1, slow.capacityShare(11 * SECOND_MICROS)); // slowness is no outage and needs no recovery
    }

    @Test
    void connectionsAreLimited() {
        Partner partner = new Partner(
                7,
                kind(Limit.NONE, 1),
                1,
                1,
                1000,
                new Partner.Recovery(0.25, 8 * SECOND_MICROS, 1.5, 3 * SECOND_MICROS),
                new RandomStream(1, "p"));
        partner.addEndpoint("e");
        assertTrue(partner.connect("e", 0) && partner.connect("e", 1));
        assertFalse(partner.connect("e", 1));
        partner.disconnectAll(0);
        assertTrue(partner.connect("e", 1));
    }

    /** The load follows its shape, and messages in bursts count as part of it. */
    @Test
    void trafficHasTheConfiguredLoad() {
        List<MessageClass> classes = List.of(
                new MessageClass("a", 0.75, new long[] {1, 1}, null),
                new MessageClass("b", 0.25, new long[] {1, 1}, null));
        for (double burstShare : new double[] {0, 0.3}) {
            Traffic traffic = new Traffic(
                    List.of(new Traffic.Point(0, 0.5), new Traffic.Point(100 * SECOND_MICROS, 1.5)),
                    50,
                    burstShare,
                    new double[] {2, 2},
                    classes,
                    Traffic.zipf(2, 0),
                    List.of(partner(Limit.NONE), partner(Limit.NONE)));
            List<Arrival> arrivals = traffic.draw(200 * SECOND_MICROS, new RandomStream(3, "arrivals"));
            assertEquals(50 * 100 + 75 * 100, arrivals.size(), 12_500 * (burstShare == 0 ? 0.04 : 0.45));
            assertEquals(
                    0.25,
                    arrivals.stream().filter(a -> a.messageClass() == 1).count() / (double) arrivals.size(),
                    0.02);
            assertEquals(1.0, traffic.load(50 * SECOND_MICROS), 1e-9);
            for (int i = 0; i < arrivals.size(); i++) {
                assertEquals(i, arrivals.get(i).number());
            }
        }
    }
}
