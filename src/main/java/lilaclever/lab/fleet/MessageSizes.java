package lilaclever.lab.fleet;

import lilaclever.placement.ControllerCommand;
import lilaclever.placement.ControllerEvent;

/**
 * Sizes of the control messages, bytes. There is no transport for them yet: each is taken to be a message of its own
 * over TCP and TLS, with the acknowledgement that it causes, and its numbers in eight bytes each. Deltas and
 * snapshots of the map have the size in which {@code MapCodec} writes them.
 */
final class MessageSizes {
    /** IPv6 and TCP headers with timestamps (72), TLS 1.3 record (22), length and kind (5), a bare acknowledgement. */
    static final int OVERHEAD_BYTES = 72 + 22 + 5 + 72;

    private static final int NUMBER_BYTES = 8;
    /** A version that has arrived; it carries the bare acknowledgement with it. */
    static final int ACKNOWLEDGEMENT_BYTES = 72 + 22 + 5 + NUMBER_BYTES;

    private static final int HEARTBEAT_BYTES = 4 * NUMBER_BYTES;
    /** A renewal with the versions of map and configuration. */
    private static final int RENEWAL_BYTES = 7 * NUMBER_BYTES;

    private static final int GRANT_BYTES = 2 * NUMBER_BYTES;
    private static final int SMALL_BODY_BYTES = 4 * NUMBER_BYTES;

    private MessageSizes() {}

    static int bytesOf(ControllerCommand command) {
        if (command instanceof ControllerCommand.Heartbeat) {
            return OVERHEAD_BYTES + HEARTBEAT_BYTES;
        }
        if (command instanceof ControllerCommand.Release release) {
            return OVERHEAD_BYTES + SMALL_BODY_BYTES + GRANT_BYTES * release.shards().size();
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
