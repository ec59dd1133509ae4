package lilaclever.simulation.fleet;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import lilaclever.placement.ControllerCommand;
import lilaclever.placement.ControllerEvent;
import lilaclever.placement.ControllerSettings;
import lilaclever.placement.LeaseHolder;
import lilaclever.placement.MemberId;
import lilaclever.placement.PlacementController;
import lilaclever.placement.ShardGrant;
import lilaclever.placement.ShardMap;

/**
 * Measures the heap used by the ownership state in a forwarder and in a controller, as the difference after full
 * garbage collections with and without it.
 */
final class ControlMemory {
    private static final int HOLDERS = 10_000;
    private static final int MAPS = 100;
    private static final int COLLECTIONS = 3;
    private final FleetSettings settings;

    ControlMemory(FleetSettings settings) {
        this.settings = settings;
    }

    void print(PrintStream out) {
        int shardsEach = (settings.shards() + settings.forwarders() - 1) / settings.forwarders();
        int shards = settings.partOf(0, settings.shards());
        out.println("what\tbytes_each");
        out.println("lease holder with " + shardsEach + " shards\t" + bytesEach(HOLDERS, () -> holder(shardsEach)));
        out.println("map of a region with " + shards + " shards\t" + bytesEach(MAPS, () -> new ShardMap(0, shards)));
        out.println("controller of a region with " + shards + " shards and " + settings.partOf(0, settings.forwarders())
                + " members\t" + bytesEach(1, this::controller));
    }

    private static long bytesEach(int count, Supplier<Object> factory) {
        long bytesBefore = usedBytes();
        List<Object> created = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            created.add(factory.get());
        }
        long bytes = usedBytes() - bytesBefore;
        return bytes / created.size();
    }

    private static long usedBytes() {
        for (int i = 0; i < COLLECTIONS; i++) {
            System.gc();
        }
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }

    private LeaseHolder holder(int shards) {
        MemberId member = new MemberId(1);
        LeaseHolder holder = new LeaseHolder(member, 1, settings.timing());
        List<ShardGrant> grants = new ArrayList<>();
        for (int shard = 0; shard < shards; shard++) {
            grants.add(new ShardGrant(1_000 + shard, 1));
        }
        holder.assignmentChanged(new ControllerEvent.AssignmentChanged(member, 1, 0, 1, true, grants, List.of()));
        holder.heartbeat(0);
        holder.leaseRenewed(
                new ControllerEvent.LeaseRenewed(member, 1, 1, settings.timing().leaseMicros(), 1), 0);
        return holder;
    }

    private PlacementController controller() {
        PlacementController controller = new PlacementController(new ControllerSettings(
                0,
                settings.partOf(0, settings.shards()),
                settings.zonesOf(0),
                settings.loadBound(),
                settings.timing(),
                ControllerSettings.MAX_REASSIGNMENTS_PER_SECOND));
        for (int number = 0; number < settings.partOf(0, settings.forwarders()); number++) {
            controller.apply(
                    new ControllerCommand.Register(new MemberId(number), 1, number % settings.zonesOf(0), 1, true),
                    number);
        }
        return controller;
    }
}
