package lilaclever.simulation.fleet;

import lilaclever.placement.ControllerCommand;
import lilaclever.placement.ControllerEvent;

/**
 * Sizes of the control messages in bytes. There is no transport for them yet: each is assumed to be a separate message
 * over TCP and TLS, including the TCP acknowledgement that it causes, with eight bytes for each number. Deltas and
 * snapshots of the map have the size in which {@code MapCodec} writes them.
 */
final class MessageSizes {
    /**
     * IPv6 and TCP headers with timestamps (72), TLS 1.3 record (22), length and kind (5), a bare TCP acknowledgement.
     */
    static final int OVERHEAD_BYTES = 72 + 22 + 5 + 72;

    private static final int NUMBER_BYTES = 8;
    /** Acknowledgement of a received version; it carries the TCP acknowledgement. */
    static final int ACKNOWLEDGEMENT_BYTES = 72 + 22 + 5 + NUMBER_BYTES;

    private static final int HEARTBEAT_BYTES = 4 * NUMBER_BYTES;
    /** A lease renewal with the versions of map and configuration. */
    private static final int RENEWAL_BYTES = 7 * NUMBER_BYTES;

    private static final int GRANT_BYTES = 2 * NUMBER_BYTES;
    private static final int SMALL_BODY_BYTES = 4 * NUMBER_BYTES;

    private MessageSizes() {}

    static int bytesOf(ControllerCommand command) {
        if (command instanceof ControllerCommand.Heartbeat) {
            return OVERHEAD_BYTES + HEARTBEAT_BYTES;
        }
        if (command instanceof ControllerCommand.Release release) {
            return OVERHEAD_BYTES
                    + SMALL_BODY_BYTES
                    + GRANT_BYTES * release.shards().size();
        }
        return OVERHEAD_BYTES + SMALL_BODY_BYTES;
    }

    static int bytesOf(ControllerEvent event) {
        if (event instanceof ControllerEvent.LeaseRenewed) {
            return OVERHEAD_BYTES + RENEWAL_BYTES;
        }
        if (event instanceof ControllerEvent.AssignmentChanged change) {
            return OVERHEAD_BYTES
                    + SMALL_BODY_BYTES
                    + GRANT_BYTES * (change.granted().size() + change.revoked().size());
        }
        return OVERHEAD_BYTES + SMALL_BODY_BYTES;
    }

    static int mapMessage(int encodedBytes) {
        return OVERHEAD_BYTES + encodedBytes;
    }
}
