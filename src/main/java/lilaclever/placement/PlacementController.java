package lilaclever.placement;

import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeMap;
import lilaclever.placement.ControllerCommand.AdvanceTime;
import lilaclever.placement.ControllerCommand.Heartbeat;
import lilaclever.placement.ControllerCommand.Leave;
import lilaclever.placement.ControllerCommand.PublishConfiguration;
import lilaclever.placement.ControllerCommand.Register;
import lilaclever.placement.ControllerCommand.Release;
import lilaclever.placement.ControllerEvent.CommandRejected;
import lilaclever.placement.ControllerEvent.LeaveCompleted;
import lilaclever.placement.ControllerEvent.MemberExpired;

/**
 * Controller of a region's shards: a deterministic, single-threaded state machine without I/O and without a clock of
 * its own. The same commands at the same times give the same events, so that a replicated log can supply the
 * commands.
 *
 * <p>At any time at most one process may send for a shard. A shard is granted only while no process may send for it:
 * before the first grant, after its holder's release, after the holder's process is known to have ended, or from the
 * safe expiry of the last lease that covered it ({@link LeaseTiming#safeExpiryDelayMicros()} after the arrival of the
 * heartbeat that renewed it last). Once a shard is revoked, no renewal covers it.
 */
public final class PlacementController {
    /** Maximum number of members whose incarnations are retained. */
    public static final int MAX_MEMBERS = 1 << 16;

    private final ControllerSettings settings;
    private final ShardTable table;
    private final ControllerOutput output;
    private final ShardReassigner reassigner;
    private final TreeMap<MemberId, MemberState> members = new TreeMap<>();
    /** The last incarnation of each member that ever registered; at most {@link #MAX_MEMBERS} entries. */
    private final Map<MemberId, LastIncarnation> incarnations = new HashMap<>();
    /** One entry for each member, due at its lease's safe expiry or earlier. */
    private final PriorityQueue<LeaseCheck> leaseChecks = new PriorityQueue<>(LeaseCheck.EARLIEST_FIRST);

    private long nowMicros = Long.MIN_VALUE;
    /** Whether a clock reading was behind the latest one by more than the margin, and none has reached it since. */
    private boolean clockSetBack;

    /** Creates the controller of a region without members. */
    public PlacementController(ControllerSettings settings) {
        this.settings = settings;
        this.table = new ShardTable(settings.shards());
        this.output = new ControllerOutput(settings, table);
        ReassignmentRateLimiter rateLimiter = new ReassignmentRateLimiter(settings.maxReassignmentsPerSecond());
        this.reassigner = new ShardReassigner(table, new ShardAssignment(settings, table), output, rateLimiter);
    }

    /**
     * Executes a command.
     *
     * @param nowMicros reading of a monotonic clock. A reading behind the latest one counts as the latest one. If it is
     *                  behind by more than the margin, the clock was set back, and the time that passes until it
     *                  reaches the latest reading again is unknown: all leases then count as renewed at that moment
     * @return the resulting events, in the order in which each receiver has to get them
     */
    public List<ControllerEvent> apply(ControllerCommand command, long nowMicros) {
        advanceTo(nowMicros);
        expireLeases();
        reassigner.freeExpiredRevocations(this.nowMicros);
        execute(command);
        reassigner.reassign(this.nowMicros);
        completeLeaves();
        return output.finishCommand();
    }

    /** Latest time for the next {@link AdvanceTime}, by the clock of {@link #apply}; Long.MAX_VALUE if none is due. */
    public long nextDueMicros() {
        long leaseDueMicros =
                leaseChecks.isEmpty() ? Long.MAX_VALUE : leaseChecks.peek().atMicros();
        return Math.min(leaseDueMicros, reassigner.nextDueMicros());
    }

    /** The shard map at its current version. */
    public MapSnapshot snapshot() {
        return output.mapSnapshot();
    }

    /** The members in order of their numbers, including those that are leaving. */
    public List<MemberId> members() {
        return List.copyOf(members.keySet());
    }

    /** Number of shards that the member's present process may send for; 0 for an unknown member. */
    public int shardsHeldBy(MemberId member) {
        MemberState state = members.get(member);
        return state == null ? 0 : state.held.size();
    }

    /** Maximum number of shards of the member; 0 for one that is leaving or unknown. */
    public int capacityOf(MemberId member) {
        MemberState state = members.get(member);
        return state == null ? 0 : state.capacity;
    }

    /** Number of shards that no process may send for. */
    public int shardsWithoutHolder() {
        return table.withoutHolder();
    }

    private void advanceTo(long readingMicros) {
        if (readingMicros < nowMicros) {
            clockSetBack |= nowMicros - readingMicros > settings.timing().marginMicros();
            return;
        }
        nowMicros = readingMicros;
        if (clockSetBack) {
            clockSetBack = false;
            members.values().forEach(member -> member.leaseSafeExpiryMicros = safeExpiryMicros());
            reassigner.postponeRevocations(safeExpiryMicros());
        }
    }

    private void execute(ControllerCommand command) {
        if (command instanceof Register register) {
            register(register);
        } else if (command instanceof Heartbeat heartbeat) {
            renew(heartbeat);
        } else if (command instanceof Release release) {
            release(release);
        } else if (command instanceof Leave leave) {
            leave(leave);
        } else if (command instanceof PublishConfiguration configuration) {
            publish(configuration);
        }
    }

    private void register(Register command) {
        RejectionReason problem = registrationProblem(command);
        if (problem != null) {
            reject(command, problem);
            return;
        }
        MemberState previous = members.get(command.member());
        MemberState member = new MemberState(command.member(), command.incarnation(), command.zone(), command.weight());
        member.revision = 1;
        member.leaseSafeExpiryMicros = safeExpiryMicros();
        members.put(member.id, member);
        incarnations.put(member.id, new LastIncarnation(member.incarnation, false));
        leaseChecks.add(new LeaseCheck(member.leaseSafeExpiryMicros, member));
        output.requireFullAssignment(member);
        if (previous == null) {
            reassigner.join(member);
        } else {
            replace(previous, member);
        }
        if (command.previousProcessEnded()) {
            freeShardsOfEarlierProcesses(member);
        }
    }

    /**
     * Replaces a forwarder's process with its successor. The registration does not prove that the earlier process has
     * ended (it may be suspended, cut off, or on another machine): without proof its shards wait for the lease's end.
     */
    private void replace(MemberState previous, MemberState member) {
        output.discard(previous);
        if (previous.leaving || previous.weight != member.weight) {
            reassigner.removeMembers(Set.of(previous));
            reassigner.join(member);
        } else {
            reassigner.replaceProcess(previous, member);
        }
        for (int shard : previous.held.toArray()) {
            if (!table.isRevoking(shard)) {
                reassigner.startRevocation(shard);
            }
        }
    }

    private void freeShardsOfEarlierProcesses(MemberState member) {
        for (int shard = 0; shard < table.size(); shard++) {
            MemberState holder = table.holder(shard);
            if (holder != null && holder != member && holder.id.equals(member.id)) {
                reassigner.free(shard);
            }
        }
    }

    private RejectionReason registrationProblem(Register command) {
        LastIncarnation last = incarnations.get(command.member());
        if (last != null && command.incarnation() == last.number() && members.containsKey(command.member())) {
            return RejectionReason.ALREADY_REGISTERED;
        }
        if (last != null && command.incarnation() <= last.number()) {
            return RejectionReason.STALE_INCARNATION;
        }
        if (command.zone() < 0 || command.zone() >= settings.zones()) {
            return RejectionReason.UNKNOWN_ZONE;
        }
        double weight = command.weight();
        if (!(weight >= ControllerSettings.MIN_WEIGHT && weight <= ControllerSettings.MAX_WEIGHT)) {
            return RejectionReason.INVALID_WEIGHT;
        }
        return last == null && incarnations.size() >= MAX_MEMBERS ? RejectionReason.REGION_FULL : null;
    }

    private void renew(Heartbeat command) {
        RejectionReason problem = senderProblem(command.member(), command.incarnation());
        MemberState member = members.get(command.member());
        if (problem == null && command.sequence() <= member.lastSequence) {
            problem = RejectionReason.STALE_SEQUENCE;
        }
        if (problem == null && (command.appliedRevision() < 0 || command.appliedRevision() > member.revision)) {
            problem = RejectionReason.UNKNOWN_REVISION;
        }
        if (problem != null) {
            reject(command, problem);
            return;
        }
        member.lastSequence = command.sequence();
        member.appliedRevision = command.appliedRevision();
        member.leaseSafeExpiryMicros = safeExpiryMicros();
        output.requireRenewal(member);
        if (command.appliedRevision() < member.revision || hasUnreleasedShards(member)) {
            output.requireFullAssignment(member);
        }
    }

    /**
     * Whether the member still holds revoked shards. These are in no assignment any more, so renewals don't cover them;
     * the full assignment revokes them again.
     */
    private boolean hasUnreleasedShards(MemberState member) {
        for (int i = 0; i < member.held.size(); i++) {
            if (table.isRevoking(member.held.get(i))) {
                return true;
            }
        }
        return false;
    }

    private void release(Release command) {
        RejectionReason problem =
                command.shards().isEmpty() ? senderProblem(command.member(), command.incarnation()) : null;
        for (ShardGrant grant : command.shards()) {
            RejectionReason grantProblem = releaseProblem(command, grant);
            if (grantProblem == null) {
                reassigner.free(grant.shard());
            } else if (problem == null) {
                problem = grantProblem;
            }
        }
        if (problem != null) {
            reject(command, problem);
        }
    }

    /** A replaced process may still release the shards that it holds. */
    private RejectionReason releaseProblem(Release command, ShardGrant grant) {
        if (isHeld(command, grant)) {
            return table.isRevoking(grant.shard()) ? null : RejectionReason.NOT_REVOKED;
        }
        RejectionReason problem = senderProblem(command.member(), command.incarnation());
        return problem == null ? RejectionReason.NOT_HELD : problem;
    }

    private boolean isHeld(Release command, ShardGrant grant) {
        if (grant.shard() < 0 || grant.shard() >= table.size()) {
            return false;
        }
        MemberState holder = table.holder(grant.shard());
        return holder != null
                && holder.id.equals(command.member())
                && holder.incarnation == command.incarnation()
                && table.epoch(grant.shard()) == grant.epoch();
    }

    private void leave(Leave command) {
        if (new LastIncarnation(command.incarnation(), true).equals(incarnations.get(command.member()))) {
            output.add(new LeaveCompleted(command.member(), command.incarnation()));
            return;
        }
        RejectionReason problem = senderProblem(command.member(), command.incarnation());
        if (problem != null) {
            reject(command, problem);
            return;
        }
        MemberState member = members.get(command.member());
        if (!member.leaving) {
            member.leaving = true;
            reassigner.leave(member);
        }
    }

    private void completeLeaves() {
        for (MemberState member : List.copyOf(reassigner.leavingMembers())) {
            if (member.held.isEmpty() && member.targeted.isEmpty()) {
                removeMembers(Set.of(member));
                incarnations.put(member.id, new LastIncarnation(member.incarnation, true));
                output.add(new LeaveCompleted(member.id, member.incarnation));
            }
        }
    }

    private void publish(PublishConfiguration command) {
        if (command.version() <= output.configurationVersion()) {
            reject(command, RejectionReason.STALE_CONFIGURATION);
        } else {
            output.publishConfiguration(command.version());
        }
    }

    private void expireLeases() {
        Set<MemberState> expired = new LinkedHashSet<>();
        while (!leaseChecks.isEmpty() && leaseChecks.peek().atMicros() <= nowMicros) {
            MemberState member = leaseChecks.poll().member();
            if (members.get(member.id) != member) {
                continue;
            }
            if (member.leaseSafeExpiryMicros > nowMicros) {
                leaseChecks.add(new LeaseCheck(member.leaseSafeExpiryMicros, member));
            } else {
                expired.add(member);
            }
        }
        // All are removed first, so that no shard is assigned from one expired member to another.
        removeMembers(expired);
        expired.forEach(this::expire);
    }

    private void expire(MemberState member) {
        output.add(new MemberExpired(member.id, member.incarnation));
        for (int shard : member.held.toArray()) {
            reassigner.free(shard);
        }
    }

    private void removeMembers(Set<MemberState> removed) {
        if (!removed.isEmpty()) {
            removed.forEach(member -> members.remove(member.id));
            removed.forEach(output::discard);
            reassigner.removeMembers(removed);
        }
    }

    /** Why a command can't come from a member's present process; null if it can. */
    private RejectionReason senderProblem(MemberId id, long incarnation) {
        LastIncarnation last = incarnations.get(id);
        if (last != null && incarnation < last.number()) {
            return RejectionReason.STALE_INCARNATION;
        }
        MemberState member = members.get(id);
        return member == null || member.incarnation != incarnation ? RejectionReason.UNKNOWN_MEMBER : null;
    }

    private void reject(ControllerCommand command, RejectionReason reason) {
        output.add(new CommandRejected(command, reason));
    }

    private long safeExpiryMicros() {
        return nowMicros + settings.timing().safeExpiryDelayMicros();
    }

    private record LastIncarnation(long number, boolean left) {}

    private record LeaseCheck(long atMicros, MemberState member) {
        static final Comparator<LeaseCheck> EARLIEST_FIRST =
                Comparator.comparingLong(LeaseCheck::atMicros).thenComparing(check -> check.member().id);
    }
}
