package lilaclever;

import static lilaclever.PolicyState.NEVER;
import static lilaclever.PolicyState.MICROS_PER_SECOND;

import lilaclever.DecisionModule.Tenant;
import lilaclever.PolicyState.DestinationQueue;
import lilaclever.PolicyState.Endpoint;
import lilaclever.PolicyState.Message;

/**
 * Admission under load: which tenants send beyond their quota, which message is refused when there is hardly room for
 * more, and when a client whose message was refused should come again.
 */
final class Admission {
    /** Part of the messages that may be open at which one is refused, so that none is turned away unseen. */
    private static final double NEARLY_FULL_SHARE = 0.95;
    /** Messages of a tenant beyond its quota that pass at once, seconds of its quota. */
    private static final double BURST_SECONDS = 3;
    /** Factor on the worth of a message that may have run: refusing it would be a failure. */
    private static final double UNCERTAIN_WORTH_FACTOR = 4;
    /** Seconds of a destination's expected rate that may wait before its messages count for clearly less. */
    private static final double HALF_WORTH_QUEUE_SECONDS = 10;

    private final PolicyState state;
    private final RateEstimates rates;
    private final RecoveryPace recoveryPace;
    private final DestinationLimits limits;
    private final EndpointAvailability availability;
    /** Token buckets of the tenants: messages that are left, and when that was worked out, microseconds. */
    private final double[] tenantTokens;

    private final long[] tenantUpdatedAtMicros;

    Admission(
            PolicyState state,
            RateEstimates rates,
            RecoveryPace recoveryPace,
            DestinationLimits limits,
            EndpointAvailability availability) {
        this.state = state;
        this.rates = rates;
        this.recoveryPace = recoveryPace;
        this.limits = limits;
        this.availability = availability;
        int tenants = state.settings.tenants().size();
        this.tenantTokens = new double[tenants];
        this.tenantUpdatedAtMicros = new long[tenants];
        for (int tenant = 0; tenant < tenants; tenant++) {
            tenantTokens[tenant] = BURST_SECONDS * quota(tenant);
        }
    }

    private double quota(int tenant) {
        Tenant settings = state.settings.tenants().get(tenant);
        return settings.quotaPerSecond();
    }

    /** Counts a message of the tenant; true if it is beyond its quota. A tenant not in the settings has none. */
    boolean isOverQuota(int tenant) {
        if (tenant < 0 || tenant >= tenantTokens.length) {
            return false;
        }
        double quota = quota(tenant);
        double tokens = tenantTokens[tenant] + (state.nowMicros - tenantUpdatedAtMicros[tenant]) / MICROS_PER_SECOND * quota;
        tenantUpdatedAtMicros[tenant] = state.nowMicros;
        tokens = Math.min(tokens, BURST_SECONDS * quota);
        tenantTokens[tenant] = tokens >= 1 ? tokens - 1 : tokens;
        return tokens < 1;
    }

    /** Whether so many messages are open that one is to be refused. */
    boolean isNearlyFull() {
        return state.openMessages > NEARLY_FULL_SHARE * state.settings.limits().maxOpenMessages();
    }

    /**
     * The waiting message that is worth least where most waits for the rate that its destination takes; of equal ones
     * the latest. Never one of an earlier process; null if there is no other.
     */
    Message leastWorthMessage() {
        Message leastWorthMessage = null;
        double lowestWorth = 0;
        for (DestinationQueue queue : state.nonEmptyQueues) {
            double rate =
                    queue.endpoints.stream().mapToDouble(this::expectedRate).sum();
            double backlogFactor = 1 + queue.waiting.size() / (1 + HALF_WORTH_QUEUE_SECONDS * rate);
            for (Message message : queue.waiting) {
                double worth = message.worth / backlogFactor * (message.mayHaveRun ? UNCERTAIN_WORTH_FACTOR : 1);
                if (!message.resumed && (leastWorthMessage == null || worth <= lowestWorth)) {
                    leastWorthMessage = message;
                    lowestWorth = worth;
                }
            }
        }
        return leastWorthMessage;
    }

    /** After how long a refused client should come again: when its destination will have room; 0: no advice. */
    long retryAfterMicros(DestinationQueue queue) {
        if (!state.settings.limits().sendsRetryAfter()) {
            return 0;
        }
        long waitMicros = NEVER;
        for (Endpoint endpoint : queue.endpoints) {
            if (endpoint.active) {
                waitMicros = Math.min(waitMicros, capacityAfterMicros(endpoint));
            }
        }
        return Math.min(waitMicros, state.settings.limits().maxRetryAfterMicros());
    }

    private long capacityAfterMicros(Endpoint endpoint) {
        double rate = Math.max(limits.assuredRate(endpoint.limit), expectedRate(endpoint));
        long readyAfterMicros = Math.max(0, availability.readyAtMicros(endpoint) - state.nowMicros);
        return readyAfterMicros + (long) (endpoint.queue.waiting.size() / rate * MICROS_PER_SECOND);
    }

    /** Calls a second that an endpoint is likely to take. */
    private double expectedRate(Endpoint endpoint) {
        double allowedRate = Math.min(limits.allowedRate(endpoint.limit), recoveryPace.callsPerSecond(endpoint));
        return Math.min(rates.usual(endpoint.limit), allowedRate);
    }
}
