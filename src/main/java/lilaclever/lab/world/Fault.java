package lilaclever.lab.world;

/** What a forwarder under test does wrong on purpose: each must be found by the auditor. */
public enum Fault {
    /** Nothing. */
    NONE,
    /** Takes a call that it gave up for one that was never begun, and sends the message again. */
    RESENDS,
    /** Does not hear that endpoints drain or are gone. */
    IGNORES_DRAINS,
    /** Tells a second end. */
    ENDS_TWICE,
    /** Sends each call five times to a partner that is coming back. */
    FLOODS,
    /** Does not hear that it should wait. */
    IGNORES_WAITS,
    /** Never tells an end. */
    SILENT
}
