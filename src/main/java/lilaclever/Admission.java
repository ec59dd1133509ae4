package lilaclever;

import static lilaclever.PolicyState.MICROS_PER_SECOND;
import static lilaclever.PolicyState.NEVER;

import lilaclever.DecisionModule.Tenant;
import lilaclever.PolicyState.DestinationQueue;
import lilaclever.PolicyState.Endpoint;
import lilaclever.PolicyState.Message;

/**
 * Admission control: tenant quotas, the message that is refused when there is hardly capacity for more, and the
 * retry-after period of refused messages.
 */
final class Admission {
    /**
     * Share of the maximum of open messages above which one is refused. Below 1, since at the maximum the host program
     * rejects new messages without regard to their worth.
     */
    private static final double NEARLY_FULL_SHARE = 0.95;
    /** Size of a tenant's token bucket, in seconds of its quota. */
    private static final double BURST_SECONDS = 3;
    /** Factor on the worth of a message with an uncertain attempt: giving it up may be a failure, not a refusal. */
    private static final double UNCERTAIN_WORTH_FACTOR = 4;
    /** Queue length, in seconds at the destination's expected rate, that halves the worth of its messages. */
    private static final double HALF_WORTH_QUEUE_SECONDS = 10;

    private final PolicyState state;
    private final RateEstimates rates;
    private final RecoveryPace recoveryPace;
    private final DestinationLimits limits;
    private final EndpointAvailability availability;
    /** Tokens left in each tenant's bucket; one is one message. */
    private final double[] tenantTokens;
    /** When each bucket was last refilled. */
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

    /** Counts a message of the tenant; true if it exceeds the quota. A tenant not in the settings has no quota. */
    boolean isOverQuota(int tenant) {
        if (tenant < 0 || tenant >= tenantTokens.length) {
            return false;
        }
        double quota = quota(tenant);
        double tokens =
                tenantTokens[tenant] + (state.nowMicros - tenantUpdatedAtMicros[tenant]) / MICROS_PER_SECOND * quota;
        tenantUpdatedAtMicros[tenant] = state.nowMicros;
        tokens = Math.min(tokens, BURST_SECONDS * quota);
        tenantTokens[tenant] = tokens >= 1 ? tokens - 1 : tokens;
        return tokens < 1;
    }

    /** Whether so many messages are open that one must be refused. */
    boolean isNearlyFull() {
        return state.openMessages > NEARLY_FULL_SHARE * state.settings.limits().maxOpenMessages();
    }

    /**
     * Returns the waiting message of least worth, which is lower the longer its destination's queue is for the rate
     * that the destination accepts; the last of several equal ones. Messages that were probably delivered come
     * first, and others that were accepted before a restart are exempt; null if there are no others.
     */
    Message leastWorthMessage() {
        Message leastWorthMessage = null;
        double lowestWorth = 0;
        for (DestinationQueue queue : state.nonEmptyQueues) {
            double rate =
                    queue.endpoints.stream().mapToDouble(this::expectedRate).sum();
            double backlogFactor = 1 + queue.waiting.size() / (1 + HALF_WORTH_QUEUE_SECONDS * rate);
            for (Message message : queue.waiting) {
                double worth = message.probablyDelivered
                        ? 0
                        : message.worth / backlogFactor * (message.mayHaveRun ? UNCERTAIN_WORTH_FACTOR : 1);
                boolean isExempt = message.resumed && !message.probablyDelivered;
                if (!isExempt && (leastWorthMessage == null || worth <= lowestWorth)) {
                    leastWorthMessage = message;
                    lowestWorth = worth;
                }
            }
        }
        return leastWorthMessage;
    }

    /** Retry-after period for a refused message: until its destination has capacity again; 0: no advice. */
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

    /** Calls a second that an endpoint is expected to accept. */
    private double expectedRate(Endpoint endpoint) {
        double allowedRate = Math.min(limits.allowedRate(endpoint.limit), recoveryPace.callsPerSecond(endpoint));
        return Math.min(rates.usual(endpoint.limit), allowedRate);
    }
}
