package lilaclever.simulation.world;

/** A deliberate fault of the forwarders under test, which the auditor must detect. */
public enum Fault {
    /** No fault. */
    NONE,
    /** Treats a call that it gave up as one that was never sent, and sends the message again. */
    RESENDS,
    /** Ignores that endpoints drain or were removed. */
    IGNORES_DRAINS,
    /** Sends a second, contradictory final status. */
    ENDS_TWICE,
    /** Sends each call five times to a partner that is recovering. */
    FLOODS,
    /** Ignores retry-after periods. */
    IGNORES_WAITS,
    /** Never sends a final status. */
    SILENT
}
