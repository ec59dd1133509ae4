package lilaclever;

import lilaclever.PolicyState.Endpoint;

/**
 * Slow start of endpoints that recovered from an outage: for the ramp time in the settings, an endpoint gets fewer
 * calls than usual. {@link RecoveryPace} determines the rate.
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

    /** Time since the endpoint's slow start began, microseconds; only valid if it has had one. */
    long ageMicros(Endpoint endpoint) {
        return state.nowMicros - endpoint.slowStartAtMicros;
    }

    /** When the endpoint's slow start ends, microseconds on the module's clock. */
    long endsAtMicros(Endpoint endpoint) {
        return endpoint.slowStartAtMicros + state.settings.rules().rampMicros();
    }

    /** Begins or restarts slow start. */
    void begin(Endpoint endpoint) {
        endpoint.slowStartAtMicros = state.nowMicros;
    }

    /** Halves the age of a slow start, as the endpoint accepts less than expected. */
    void halveAge(Endpoint endpoint) {
        endpoint.slowStartAtMicros += ageMicros(endpoint) / 2;
    }
}
