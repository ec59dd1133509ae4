package lilaclever.lab.model;

/** What a partner's limit lets through: a plain rate, or a count in each span of time. Times only go forward. */
final class CallLimiter {
    private final PartnerKind.Limit limit;
    private final double perSecond;
    private final long windowMicros;
    private final boolean countsRefusedCalls;
    private double available;
    private long refilledAtMicros;
    /** Part of its usual rate that it lets through until a time. */
    private double loweredShare = 1;

    private long loweredUntilMicros = Long.MIN_VALUE;

    /** {@code perSecond} in the mean; a rate lets a fifth of a second's calls through at once. */
    CallLimiter(PartnerKind.Limit limit, double perSecond, long windowMicros, boolean countsRefusedCalls) {
        this.limit = limit;
        this.perSecond = perSecond;
        this.windowMicros = windowMicros;
        this.countsRefusedCalls = countsRefusedCalls;
        available = burstSize(0);
    }

    /** Lets only a part of the usual rate through until then. */
    void lower(double share, long untilMicros) {
        loweredShare = share;
        loweredUntilMicros = untilMicros;
    }

    private double callsPerSecond(long now) {
        return now < loweredUntilMicros ? perSecond * loweredShare : perSecond;
    }

    private double burstSize(long now) {
        return limit == PartnerKind.Limit.RATE
                ? Math.max(1, callsPerSecond(now) / 5)
                : Math.max(1, Math.floor(callsPerSecond(now) * windowMicros / 1e6));
    }

    /** True if a call now is within the limit; it counts from now on. */
    boolean tryAcquire(long now) {
        if (limit == PartnerKind.Limit.NONE) {
            return true;
        }
        refill(now);
        if (available >= 1) {
            available--;
            return true;
        }
        if (countsRefusedCalls && limit == PartnerKind.Limit.RATE) {
            available = Math.max(-burstSize(now), available - 1);
        }
        return false;
    }

    private void refill(long now) {
        if (limit == PartnerKind.Limit.RATE) {
            available = Math.min(burstSize(now), available + (now - refilledAtMicros) / 1e6 * callsPerSecond(now));
            refilledAtMicros = now;
        } else if (now / windowMicros != refilledAtMicros / windowMicros) {
            available = burstSize(now);
            refilledAtMicros = now;
        }
    }

    /** When there is room again if nobody else takes it. */
    long availableAtMicros(long now) {
        return limit == PartnerKind.Limit.RATE
                ? now + (long) (Math.max(0, 1 - available) / callsPerSecond(now) * 1e6)
                : (now / windowMicros + 1) * windowMicros;
    }
}
