package lilaclever.lab.audit;

import java.util.List;

/** A broken rule, and the whole story of the message that it was broken with. */
public record Breach(Rule rule, long atMicros, String description, List<String> history) {
    /** The rules that forwarders keep. */
    public enum Rule {
        /** Each message that was taken on has one end, in time. */
        ONE_END,
        /** What may have run is resent only as its class allows. */
        REPEAT,
        /** One attempt out at any moment. */
        ONE_ATTEMPT,
        /** Nothing new to an endpoint that drains or is gone, once the forwarder was told and some time is over. */
        DRAIN,
        /** No returning partner pushed over by forwarders that saw it fail. */
        FAIL_BACK,
        /** Told waits kept. */
        WAIT,
        /** What must hold inside a forwarder. */
        INVARIANT
    }
}
