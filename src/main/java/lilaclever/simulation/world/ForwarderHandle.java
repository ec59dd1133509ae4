package lilaclever.simulation.world;

import java.util.List;
import lilaclever.DecisionModule;
import lilaclever.simulation.model.Arrival;

/**
 * The world's access to one forwarder of the fleet: a real core in virtual time, or a process on real sockets. All
 * calls, in both directions, are made on the timeline's thread.
 */
public interface ForwarderHandle {
    /** Creates the fleet's forwarders. */
    interface Factory {
        /** Creates a forwarder without starting it; {@code seed} is for its own random draws. */
        ForwarderHandle create(World world, int number, DecisionModule.Settings settings, long seed);
    }

    /** The forwarder's number in the fleet, from 0. */
    int number();

    /** True from the start to the end of its process, whether or not it is ready yet. */
    boolean isUp();

    /** The number of its pending messages; -1 if it is not known. */
    int pendingCount();

    /** The number of broken invariants that it has reported. */
    long brokenInvariants();

    /**
     * Starts it with the directory's list; {@code isFirstRun} is true for its first process run. It calls {@link
     * World#onReady} once it is ready.
     */
    void start(List<DecisionModule.EndpointEntry> knownEndpoints, long version, boolean isFirstRun);

    /** Kills its process without warning. */
    void kill();

    /**
     * Submits a message. The outcome is reported by {@link World#onAccepted}, {@link World#onRejected},
     * {@link World#onConnectionRefused} or {@link World#onNoAnswer}.
     *
     * @param id the id of this submission
     * @param leftMicros the time that is left until the message's deadline
     */
    void submit(String id, Arrival arrival, long leftMicros);

    /** The directory sends changed entries. */
    void onEndpointsChanged(long version, List<DecisionModule.EndpointEntry> changes);
}
