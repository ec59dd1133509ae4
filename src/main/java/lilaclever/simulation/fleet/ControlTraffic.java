package lilaclever.simulation.fleet;

import java.util.Arrays;

/** Bytes and CPU time of a region's control machines, and CPU time of the forwarders' part. */
final class ControlTraffic {
    /** One renewal in this many is timed at the holder. */
    private static final int HOLDER_SAMPLE_INTERVAL = 64;

    private final long[] relayBytes;
    private long controllerBytes;
    private long commands;
    private long controllerNanos;
    private long renewals;
    private long sampledRenewals;
    private long sampledHolderNanos;
    private long deltas;
    private long deltaNanos;
    /** Members whose lease has expired, and map versions that were fetched instead of received through the tree. */
    long expirations;

    long fetches;
    /** Deltas that a receiver in the tree did not acknowledge in time. */
    long resends;

    ControlTraffic(int relays) {
        relayBytes = new long[relays];
    }

    /** Counts a message between a forwarder and the controller: in and out at the relay, and once at the controller. */
    void countRelayed(SimulatedForwarder forwarder, int bytes) {
        relayBytes[forwarder.id.number() % relayBytes.length] += 2L * bytes;
        controllerBytes += bytes;
    }

    void countSentByController(int bytes) {
        controllerBytes += bytes;
    }

    void countReceivedFromPublisher(int bytes) {
        controllerBytes += bytes;
    }

    void addControllerTime(long nanos) {
        commands++;
        controllerNanos += nanos;
    }

    boolean sampleHolder() {
        renewals++;
        return renewals % HOLDER_SAMPLE_INTERVAL == 0;
    }

    void addHolderTime(long nanos) {
        sampledRenewals++;
        sampledHolderNanos += nanos;
    }

    void addDeltaTime(long nanos) {
        deltas++;
        deltaNanos += nanos;
    }

    void reset() {
        Arrays.fill(relayBytes, 0);
        controllerBytes = 0;
        commands = 0;
        controllerNanos = 0;
        renewals = 0;
        sampledRenewals = 0;
        sampledHolderNanos = 0;
        deltas = 0;
        deltaNanos = 0;
        expirations = 0;
        fetches = 0;
        resends = 0;
    }

    /** Bytes of the busiest machine, a relay or the controller. */
    long busiestMachineBytes() {
        long max = controllerBytes;
        for (long bytes : relayBytes) {
            max = Math.max(max, bytes);
        }
        return max;
    }

    long controllerBytes() {
        return controllerBytes;
    }

    long commands() {
        return commands;
    }

    long controllerNanos() {
        return controllerNanos;
    }

    long deltas() {
        return deltas;
    }

    long renewals() {
        return renewals;
    }

    /** CPU time of all renewals at the holders of the region, estimated from the timed ones. */
    double holderNanos() {
        return sampledRenewals == 0 ? 0 : (double) sampledHolderNanos / sampledRenewals * renewals;
    }

    /** CPU time that one forwarder takes to read and apply all deltas. */
    long deltaNanos() {
        return deltaNanos;
    }
}
