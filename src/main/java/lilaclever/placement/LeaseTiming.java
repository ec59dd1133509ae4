package lilaclever.placement;

/**
 * Lease timing in microseconds, identical at the controller and at each holder.
 *
 * @param heartbeatMicros time between two heartbeats of a member
 * @param leaseMicros     length of a lease, measured by the holder from the sending of the heartbeat that renewed it
 *                        and by the controller from that heartbeat's arrival
 * @param maxDrift        bound on how much the rates of two monotonic clocks differ, as a ratio (0.001 is 1 ms a
 *                        second)
 * @param marginMicros    how long before the end of its lease a holder stops sending, and how long after that end the
 *                        controller waits before it grants the shard again
 */
public record LeaseTiming(long heartbeatMicros, long leaseMicros, double maxDrift, long marginMicros) {
    /**
     * Checks that the times are consistent.
     *
     * @throws IllegalArgumentException if a time is not positive, the drift is not in [0, 0.1), or less than two
     *         heartbeats and both margins fit into a lease
     */
    public LeaseTiming {
        require(heartbeatMicros > 0, "heartbeat must be above 0");
        require(marginMicros >= 0, "margin must not be negative");
        require(maxDrift >= 0 && maxDrift < 0.1, "drift must be in [0, 0.1)");
        require(
                leaseMicros >= 2 * heartbeatMicros + 2 * marginMicros,
                "lease must last two heartbeats and two margins");
    }

    /**
     * Delay from the arrival of a heartbeat, by the controller's clock, to the safe expiry of the lease it renewed.
     * From then on the lease has certainly ended at the holder: this is the lease measured by the slowest clock that
     * the drift allows, plus the margin.
     */
    public long safeExpiryDelayMicros() {
        return (long) Math.ceil(leaseMicros / (1 - maxDrift)) + marginMicros;
    }

    private static void require(boolean valid, String problem) {
        if (!valid) {
            throw new IllegalArgumentException("lease timing: " + problem);
        }
    }
}
