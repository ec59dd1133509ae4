package lilaclever;

import lilaclever.PolicyState.Endpoint;

/**
 * Slow start of endpoints that came back from an outage: for the time that the settings' rules give, an endpoint is
 * cold and gets less than it usually takes. How much that is, {@link RecoveryPace} says.
 */
final class SlowStart {
    private final PolicyState state;

    SlowStart(PolicyState state) {
        this.state = state;
    }

    /** Whether the endpoint is in slow start now. */
    boolean isActive(Endpoint endpoint) {
        return endpoint.slowStartAtMicros > 0
                && ageMicros(endpoint) < state.settings.rules().rampMicros();
    }

    /** How long ago the endpoint's slow start began, microseconds; only where it has had one. */
    long ageMicros(Endpoint endpoint) {
        return state.nowMicros - endpoint.slowStartAtMicros;
    }

    /** When the endpoint's slow start ends, microseconds on the module's clock. */
    long endsAtMicros(Endpoint endpoint) {
        return endpoint.slowStartAtMicros + state.settings.rules().rampMicros();
    }

    /** Begins slow start, or begins it anew. */
    void begin(Endpoint endpoint) {
        endpoint.slowStartAtMicros = state.nowMicros;
    }

    /** Halves the age of a slow start: the endpoint takes less than was thought. */
    void halveAge(Endpoint endpoint) {
        endpoint.slowStartAtMicros += ageMicros(endpoint) / 2;
    }
}
