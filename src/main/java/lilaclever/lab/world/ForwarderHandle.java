package lilaclever.lab.world;

import java.util.List;
import lilaclever.DecisionModule;
import lilaclever.lab.model.Arrival;

/**
 * How the world reaches one forwarder of the fleet: a real core in virtual time, or a process on real sockets. All
 * calls come on the timeline's thread, and what it tells the world it tells there.
 */
public interface ForwarderHandle {
    /** Makes the fleet's forwarders. */
    interface Factory {
        /** One that is not started yet; {@code seed} is for what it draws itself. */
        ForwarderHandle create(World world, int number, DecisionModule.Settings settings, long seed);
    }

    /** Its number in the fleet, from 0. */
    int number();

    /** True from its start to its end, whether or not it answers already. */
    boolean isUp();

    /** Messages that it holds; -1 if that can't be seen from here. */
    int pendingCount();

    /** What must hold and did not, so far as it has told. */
    long brokenInvariants();

    /**
     * Starts it with the directory's list; {@code first} if it has not lived before. It tells {@link World#onReady}
     * once it serves.
     */
    void start(List<DecisionModule.EndpointEntry> knownEndpoints, long version, boolean first);

    /** Kills it without warning. */
    void kill();

    /**
     * Hands a message in, under an id of this hand-in. What becomes of it is told by {@link World#onAccepted}, {@link
     * World#onRejected}, {@link World#onConnectionRefused} or {@link World#onNoAnswer}.
     *
     * @param leftMicros how long it may still be delivered
     */
    void submit(String id, Arrival arrival, long leftMicros);

    /** The directory tells changes. */
    void onEndpointsChanged(long version, List<DecisionModule.EndpointEntry> changes);
}
