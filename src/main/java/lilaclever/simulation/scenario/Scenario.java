package lilaclever.simulation.scenario;

import java.util.List;
import lilaclever.simulation.model.MessageClass;
import lilaclever.simulation.model.Partner;
import lilaclever.simulation.model.PartnerKind;
import lilaclever.simulation.model.Traffic;

/**
 * A scenario of a rehearsal: the fleet, its partners, its traffic and the events. An array of two numbers is the range
 * from which a value is drawn.
 */
public record Scenario(
        String name,
        String about,
        Fleet fleet,
        List<PartnerKind> kinds,
        List<MessageClass> classes,
        TrafficPlan traffic,
        List<ScheduledEvent> events) {
    /**
     * The forwarders, their limits and their surroundings.
     *
     * @param ratePerSecond messages a second of the whole fleet at full load
     * @param slotFactor ratio of a forwarder's slots to those that its part of the full load keeps busy
     * @param pendingSeconds limit of a forwarder's pending messages, in seconds of its part of the full load
     * @param directoryDelayMicros delay of changes in the directory
     * @param failureDetectionMicros how long the load balancer goes on sending to a dead forwarder
     * @param resubmitDelayMicros how long a client waits before it submits a message again that was rejected or got no
     * answer
     */
    public record Fleet(
            int forwarders,
            int destinations,
            double ratePerSecond,
            double zipf,
            double[] endpoints,
            double slotFactor,
            int minSlots,
            double pendingSeconds,
            int minPending,
            long roundMicros,
            int maxAttempts,
            long connectTimeoutMicros,
            long keepAliveMicros,
            long networkMicros,
            long handshakeMicros,
            long[] directoryDelayMicros,
            long[] failureDetectionMicros,
            int clientRetries,
            long[] resubmitDelayMicros,
            Partner.Recovery partnerRecovery,
            long drainGraceMicros,
            long diskBytes) {}

    /**
     * The traffic.
     *
     * @param burstShare share of messages that come in bursts
     * @param burstSeconds size of a burst, in seconds of its partner's capacity
     * @param hl7Share share of messages whose clients speak HL7; no effect in virtual time, where there is no wire
     * protocol
     */
    public record TrafficPlan(
            long lengthMicros, List<Traffic.Point> shape, double burstShare, double[] burstSeconds, double hl7Share) {
        /** Whether a message is submitted over HL7; the same for a message number in every run. */
        public boolean usesHl7(int number) {
            return (number * 0x9E3779B97F4A7C15L >>> 40) / (double) (1 << 24) < hl7Share;
        }
    }

    /** Types of scheduled events. */
    public enum EventType {
        RESTART,
        DRAIN,
        SILENT,
        FAILING,
        SHUT,
        DOWN,
        SLOW,
        LOWERED,
        HOT,
        DEAF
    }

    /** Which partners an event affects. */
    public enum Target {
        ANY,
        BUSIEST,
        SMALL
    }

    /**
     * An event at a time, of one or more forwarders, endpoints or partners.
     *
     * @param startMicros start time, drawn from the range
     * @param durationMicros duration; with RESTART and DRAIN the time over which they are spread
     * @param share share of the forwarders (RESTART, HOT, DEAF), of the endpoints (DRAIN) or of the partners (others)
     * @param kind affects only partners of this kind; null: any
     * @param strength FAILING: share of failing calls; SLOW: factor of the processing time; LOWERED: remaining share of
     * the limit; HOT: share of all traffic; unused by the others
     * @param downMicros RESTART: how long a forwarder is down; DRAIN: how long an endpoint drains
     */
    public record ScheduledEvent(
            String name,
            EventType type,
            long[] startMicros,
            long[] durationMicros,
            double share,
            Target target,
            String kind,
            double[] strength,
            long[] downMicros) {}
}
