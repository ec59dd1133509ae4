package lilaclever.lab.model;

/** What a partner's limit lets through: a plain rate, or a count in each span of time. Times only go forward. */
final class Allowance {
    private final PartnerKind.Limit limit;
    private final double perSecond;
    private final long spanMicros;
    private final boolean refusedCount;
    private double left;
    private long at;
    /** Part of its usual rate that it lets through until a time. */
    private double part = 1;

    private long partUntil = Long.MIN_VALUE;

    /** {@code perSecond} in the mean; a rate lets a fifth of a second's calls through at once. */
    Allowance(PartnerKind.Limit limit, double perSecond, long spanMicros, boolean refusedCount) {
        this.limit = limit;
        this.perSecond = perSecond;
        this.spanMicros = spanMicros;
        this.refusedCount = refusedCount;
        left = most(0);
    }

    /** Lets only a part of the usual rate through until then. */
    void lower(double toPart, long until) {
        part = toPart;
        partUntil = until;
    }

    private double rate(long now) {
        return now < partUntil ? perSecond * part : perSecond;
    }

    private double most(long now) {
        return limit == PartnerKind.Limit.RATE
                ? Math.max(1, rate(now) / 5)
                : Math.max(1, Math.floor(rate(now) * spanMicros / 1e6));
    }

    /** True if a call now is within the limit; it counts from now on. */
    boolean take(long now) {
        if (limit == PartnerKind.Limit.NONE) {
            return true;
        }
        refill(now);
        if (left >= 1) {
            left--;
            return true;
        }
        if (refusedCount && limit == PartnerKind.Limit.RATE) {
            left = Math.max(-most(now), left - 1);
        }
        return false;
    }

    private void refill(long now) {
        if (limit == PartnerKind.Limit.RATE) {
            left = Math.min(most(now), left + (now - at) / 1e6 * rate(now));
            at = now;
        } else if (now / spanMicros != at / spanMicros) {
            left = most(now);
            at = now;
        }
    }

    /** When there is room again if nobody else takes it. */
    long roomAt(long now) {
        return limit == PartnerKind.Limit.RATE
                ? now + (long) (Math.max(0, 1 - left) / rate(now) * 1e6)
                : (now / spanMicros + 1) * spanMicros;
    }
}
