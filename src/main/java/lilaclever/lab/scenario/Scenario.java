package lilaclever.lab.scenario;

import java.util.List;
import lilaclever.lab.model.MessageClass;
import lilaclever.lab.model.Partner;
import lilaclever.lab.model.PartnerKind;
import lilaclever.lab.model.Traffic;

/**
 * A rehearsal: a fleet, its partners, its traffic, and what happens. Two figures are the least and the most of what is
 * drawn.
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
     * The forwarders and what they are allowed.
     *
     * @param ratePerSecond of the whole fleet at full load
     * @param slotFactor slots over what a forwarder's part of the full load keeps busy
     * @param pendingSeconds messages that a forwarder may hold, in seconds of its part of the full load
     * @param directoryDelayMicros how late the directory tells a change
     * @param frontMemoryMicros how long the front goes on sending to a dead forwarder
     * @param resubmitDelayMicros how long a client waits before it hands in again what was refused, or what a dead forwarder had
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
            long[] frontMemoryMicros,
            int clientRetries,
            long[] resubmitDelayMicros,
            Partner.Recovery partnerRecovery,
            long drainGraceMicros,
            long diskBytes) {}

    /**
     * What is handed in.
     *
     * @param burstShare the share of messages that come in clumps, and a clump's size in seconds of its partner's capacity
     * @param hl7Share the share of messages whose clients speak HL7; in virtual time there is no wire, and it changes
     * nothing
     */
    public record TrafficPlan(
            long lengthMicros, List<Traffic.Point> shape, double burstShare, double[] burstSeconds, double hl7Share) {
        /** True if the message comes by HL7: the same in each run. */
        public boolean usesHl7(int number) {
            return (number * 0x9E3779B97F4A7C15L >>> 40) / (double) (1 << 24) < hl7Share;
        }
    }

    /** What can happen. */
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

    /** Which partners it happens to. */
    public enum Target {
        ANY,
        BUSIEST,
        SMALL
    }

    /**
     * Something that happens at a time, once or several times.
     *
     * @param startMicros when it begins, drawn
     * @param durationMicros how long it lasts; with RESTART, DRAIN: over how long it is spread
     * @param share of the forwarders (RESTART, HOT, DEAF), of the endpoints (DRAIN), of the partners (others)
     * @param kind only partners of that kind; null: any
     * @param strength SILENT and the like: none; FAILING: the share that fails; SLOW: how many times slower; LOWERED:
     * the part of its limit that is left; HOT: the share of all traffic
     * @param downMicros with RESTART: how long one is away; with DRAIN: how long an endpoint drains
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
