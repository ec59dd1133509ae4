package lilaclever.simulation.audit;

import java.util.List;

/** A broken rule, with the history of the message concerned. */
public record Breach(Rule rule, long atMicros, String description, List<String> history) {
    /** The rules that forwarders must keep. */
    public enum Rule {
        /** Each accepted message gets exactly one final status, in time. */
        ONE_END,
        /** A message that may have been processed is resent only as its class allows. */
        REPEAT,
        /** At most one attempt of a message is in progress at any time. */
        ONE_ATTEMPT,
        /**
         * No new call to an endpoint that drains or was removed, after a grace period from when the forwarder learned
         * it.
         */
        DRAIN,
        /** No recovering partner is overloaded by forwarders that saw it fail. */
        FAIL_BACK,
        /** Retry-after periods are observed. */
        WAIT,
        /** Invariants inside a forwarder hold. */
        INVARIANT
    }
}
