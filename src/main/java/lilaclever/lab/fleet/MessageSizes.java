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
    static final int OVERHEAD = 72 + 22 + 5 + 72;

    private static final int NUMBER = 8;
    /** A version that has arrived; it carries the bare acknowledgement with it. */
    static final int ACKNOWLEDGEMENT = 72 + 22 + 5 + NUMBER;

    private static final int HEARTBEAT = 4 * NUMBER;
    /** A renewal with the versions of map and configuration. */
    private static final int RENEWAL = 7 * NUMBER;

    private static final int GRANT = 2 * NUMBER;
    private static final int SMALL = 4 * NUMBER;

    private MessageSizes() {}

    static int of(ControllerCommand command) {
        if (command instanceof ControllerCommand.Heartbeat) {
            return OVERHEAD + HEARTBEAT;
        }
        if (command instanceof ControllerCommand.Release release) {
            return OVERHEAD + SMALL + GRANT * release.shards().size();
        }
        return OVERHEAD + SMALL;
    }

    static int of(ControllerEvent event) {
        if (event instanceof ControllerEvent.LeaseRenewed) {
            return OVERHEAD + RENEWAL;
        }
        if (event instanceof ControllerEvent.AssignmentChanged change) {
            return OVERHEAD
                    + SMALL
                    + GRANT * (change.granted().size() + change.revoked().size());
        }
        return OVERHEAD + SMALL;
    }

    static int mapMessage(int encodedBytes) {
        return OVERHEAD + encodedBytes;
    }
}
