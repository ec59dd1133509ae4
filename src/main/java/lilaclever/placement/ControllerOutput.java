package lilaclever.placement;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import lilaclever.placement.ControllerEvent.AssignmentChanged;
import lilaclever.placement.ControllerEvent.LeaseRenewed;
import lilaclever.placement.ControllerEvent.MapChanged;
import lilaclever.placement.MapDelta.OwnerChange;

/** Collects the events of one command: at most one assignment change for each member and one change of the map. */
final class ControllerOutput {
    private final ControllerSettings settings;
    private final ShardTable table;
    private final ShardMap map;
    private final Set<MemberState> changedMembers = new LinkedHashSet<>();
    private final ShardSet changedShards = new ShardSet();
    private long configurationVersion;
    private List<ControllerEvent> events = new ArrayList<>();

    ControllerOutput(ControllerSettings settings, ShardTable table) {
        this.settings = settings;
        this.table = table;
        this.map = new ShardMap(settings.region(), settings.shards());
    }

    void add(ControllerEvent event) {
        events.add(event);
    }

    void addGrant(MemberState member, ShardGrant grant) {
        member.newlyGranted.add(grant);
        changedMembers.add(member);
        changedShards.add(grant.shard());
    }

    void addRevocation(MemberState member, ShardGrant grant) {
        member.newlyRevoked.add(grant);
        changedMembers.add(member);
    }

    void addFreedShard(int shard) {
        changedShards.add(shard);
    }

    void requireFullAssignment(MemberState member) {
        member.fullAssignmentDue = true;
        changedMembers.add(member);
    }

    void requireRenewal(MemberState member) {
        member.renewalDue = true;
        changedMembers.add(member);
    }

    /** Drops the collected changes for a process that is replaced or has ended. */
    void discard(MemberState member) {
        changedMembers.remove(member);
    }

    void publishConfiguration(long version) {
        configurationVersion = version;
    }

    long configurationVersion() {
        return configurationVersion;
    }

    MapSnapshot mapSnapshot() {
        return map.snapshot();
    }

    /** Returns the events of the command and prepares for the next one. */
    List<ControllerEvent> finishCommand() {
        changedMembers.forEach(this::addMemberEvents);
        changedMembers.clear();
        addMapChange();
        List<ControllerEvent> finished = List.copyOf(events);
        events = new ArrayList<>();
        return finished;
    }

    private void addMemberEvents(MemberState member) {
        // A shard that the same command granted and revoked is sent as revoked only.
        member.newlyGranted.removeAll(member.newlyRevoked);
        boolean changed = !member.newlyGranted.isEmpty() || !member.newlyRevoked.isEmpty();
        long previousRevision = member.revision;
        if (changed) {
            member.revision++;
        }
        if (member.fullAssignmentDue) {
            events.add(fullAssignment(member));
        } else if (changed) {
            events.add(new AssignmentChanged(
                    member.id,
                    member.incarnation,
                    previousRevision,
                    member.revision,
                    false,
                    member.newlyGranted,
                    member.newlyRevoked));
        }
        // The renewal answers a heartbeat that is already counted: new shards are covered no longer than old ones.
        if (member.lastSequence > 0 && (member.renewalDue || changed)) {
            events.add(new LeaseRenewed(
                    member.id,
                    member.incarnation,
                    member.lastSequence,
                    settings.timing().leaseMicros(),
                    member.revision));
        }
        member.newlyGranted.clear();
        member.newlyRevoked.clear();
        member.fullAssignmentDue = false;
        member.renewalDue = false;
    }

    private AssignmentChanged fullAssignment(MemberState member) {
        List<ShardGrant> granted = new ArrayList<>();
        List<ShardGrant> revoked = new ArrayList<>();
        for (int i = 0; i < member.held.size(); i++) {
            int shard = member.held.get(i);
            List<ShardGrant> list = table.isRevoking(shard) ? revoked : granted;
            list.add(new ShardGrant(shard, table.epoch(shard)));
        }
        return new AssignmentChanged(
                member.id, member.incarnation, member.appliedRevision, member.revision, true, granted, revoked);
    }

    private void addMapChange() {
        List<OwnerChange> changes = new ArrayList<>();
        for (int shard : changedShards.toArray()) {
            MemberState holder = table.holder(shard);
            MemberId owner = holder == null ? null : holder.id;
            if (map.epochOf(shard) != table.epoch(shard) || !Objects.equals(owner, map.ownerOf(shard))) {
                changes.add(new OwnerChange(shard, owner, table.epoch(shard)));
            }
        }
        changedShards.clear();
        if (changes.isEmpty() && map.configurationVersion() == configurationVersion) {
            return;
        }
        MapDelta delta =
                new MapDelta(settings.region(), map.version(), map.version() + 1, configurationVersion, changes);
        map.apply(delta);
        events.add(new MapChanged(delta));
    }
}
