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
 * Controller of a region's shards: a deterministic state machine for one thread, without I/O and without a clock of its
 * own. The same commands at the same times give the same events, so that a replicated log can carry the commands.
 *
 * <p>At any time at most one process may send for a shard. A shard is granted only when nobody may send for it: before
 * the first grant, after its holder's release, after the holder's process is known to have ended, or after the last
 * lease that covered it has surely ended ({@link LeaseTiming#safeExpiryDelayMicros()} after the arrival of the
 * heartbeat that
 * renewed it last). From the moment in which a shard is revoked, no renewal covers it.
 */
public final class PlacementController {
    /** Most member numbers whose incarnations are kept. */
    public static final int MAX_MEMBERS = 1 << 16;

    private final ControllerSettings settings;
    private final ShardTable table;
    private final ControllerOutput output;
    private final ShardReassigner reassigner;
    private final TreeMap<MemberId, MemberState> members = new TreeMap<>();
    /** The last incarnation of each member number that ever registered; at most {@link #MAX_MEMBERS}. */
    private final Map<MemberId, LastIncarnation> incarnations = new HashMap<>();
    /** For each member one entry, at its lease's end or earlier. */
    private final PriorityQueue<LeaseCheck> leaseChecks = new PriorityQueue<>(LeaseCheck.EARLIEST_FIRST);

    private long nowMicros = Long.MIN_VALUE;
    /** A reading was before the latest one by more than the margin, and none has reached that one since. */
    private boolean clockSetBack;

    /** Controller of a region without members. */
    public PlacementController(ControllerSettings settings) {
        this.settings = settings;
        this.table = new ShardTable(settings.shards());
        this.output = new ControllerOutput(settings, table);
        ReassignmentRateLimiter rateLimiter = new ReassignmentRateLimiter(settings.maxReassignmentsPerSecond());
        this.reassigner = new ShardReassigner(table, new ShardAssignment(settings, table), output, rateLimiter);
    }

    /**
     * Takes a command in.
     *
     * @param nowMicros reading of a monotonic clock, microseconds. One before the latest that was given counts as that
     *                  one.
     *                  If it is before it by more than the margin, the clock was set back, and nobody knows how long it
     *                  took until it goes on from there: all leases then count as renewed at that moment
     * @return what follows, in the order in which each receiver has to get it
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

    /** When {@link AdvanceTime} is due at the latest, by the clock of {@link #apply}; Long.MAX_VALUE if never. */
    public long nextDueMicros() {
        long leaseDueMicros =
                leaseChecks.isEmpty() ? Long.MAX_VALUE : leaseChecks.peek().atMicros();
        return Math.min(leaseDueMicros, reassigner.nextDueMicros());
    }

    /** The shard map at its present version. */
    public MapSnapshot snapshot() {
        return output.mapSnapshot();
    }

    /** The members, by number, also those that are leaving. */
    public List<MemberId> members() {
        return List.copyOf(members.keySet());
    }

    /** How many shards the member's present process may send for; 0 for an unknown member. */
    public int shardsHeldBy(MemberId member) {
        MemberState state = members.get(member);
        return state == null ? 0 : state.held.size();
    }

    /** Most shards that the member may be given; 0 for one that is leaving or unknown. */
    public int capacityOf(MemberId member) {
        MemberState state = members.get(member);
        return state == null ? 0 : state.capacity;
    }

    /** How many shards surely nobody may send for. */
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
     * A forwarder's process has a successor. That it registered does not prove that the earlier process has ended (it
     * may be stopped, cut off, or on another machine): unless the successor knows, its shards wait for the lease's end.
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

    /** Only the shards that are not being revoked are renewed: the others are in no assignment any more. */
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

    /** A process that was replaced may still release what it holds. */
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
        // All are taken out first, so that no shard is handed from one to the next.
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

    /** Why a command can't be of a member's present process; null if it can. */
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
