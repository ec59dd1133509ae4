package lilaclever.simulation.model;

/**
 * Limits the calls to a partner, by a plain rate or by a count in each fixed window. Times passed in never decrease.
 */
final class CallLimiter {
    private final PartnerKind.Limit limit;
    private final double perSecond;
    private final long windowMicros;
    private final boolean countsRefusedCalls;
    private double available;
    private long refilledAtMicros;
    /** Share of the usual rate that is allowed until {@link #loweredUntilMicros}. */
    private double loweredShare = 1;

    private long loweredUntilMicros = Long.MIN_VALUE;

    /**
     * Allows {@code perSecond} calls on average; with a plain rate, up to a fifth of a second's calls may come at once.
     */
    CallLimiter(PartnerKind.Limit limit, double perSecond, long windowMicros, boolean countsRefusedCalls) {
        this.limit = limit;
        this.perSecond = perSecond;
        this.windowMicros = windowMicros;
        this.countsRefusedCalls = countsRefusedCalls;
        available = burstSize(0);
    }

    /** Allows only a share of the usual rate until the given time. */
    void lower(double share, long untilMicros) {
        loweredShare = share;
        loweredUntilMicros = untilMicros;
    }

    private double callsPerSecond(long nowMicros) {
        return nowMicros < loweredUntilMicros ? perSecond * loweredShare : perSecond;
    }

    private double burstSize(long nowMicros) {
        return limit == PartnerKind.Limit.RATE
                ? Math.max(1, callsPerSecond(nowMicros) / 5)
                : Math.max(1, Math.floor(callsPerSecond(nowMicros) * windowMicros / 1e6));
    }

    /**
     * Returns whether a call at this time is within the limit, and counts it if so. With a plain rate, refused calls
     * count as well if {@code countsRefusedCalls} is set.
     */
    boolean tryAcquire(long nowMicros) {
        if (limit == PartnerKind.Limit.NONE) {
            return true;
        }
        refill(nowMicros);
        if (available >= 1) {
            available--;
            return true;
        }
        if (countsRefusedCalls && limit == PartnerKind.Limit.RATE) {
            available = Math.max(-burstSize(nowMicros), available - 1);
        }
        return false;
    }

    private void refill(long nowMicros) {
        if (limit == PartnerKind.Limit.RATE) {
            available = Math.min(
                    burstSize(nowMicros), available + (nowMicros - refilledAtMicros) / 1e6 * callsPerSecond(nowMicros));
            refilledAtMicros = nowMicros;
        } else if (nowMicros / windowMicros != refilledAtMicros / windowMicros) {
            available = burstSize(nowMicros);
            refilledAtMicros = nowMicros;
        }
    }

    /** The time at which the next call will be allowed if no other call comes first. */
    long availableAtMicros(long nowMicros) {
        return limit == PartnerKind.Limit.RATE
                ? nowMicros + (long) (Math.max(0, 1 - available) / callsPerSecond(nowMicros) * 1e6)
                : (nowMicros / windowMicros + 1) * windowMicros;
    }
}
