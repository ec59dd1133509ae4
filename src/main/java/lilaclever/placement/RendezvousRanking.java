package lilaclever.placement;

import java.util.List;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Weighted rendezvous hashing (highest random weight): for each shard every member draws a number, and the member with
 * the greatest score is first. The score is {@code -weight / ln(u)}, with u in (0, 1) from the hash of shard and member,
 * so that members are first in proportion to their weights, and a change of one member moves no shard between others.
 */
final class RendezvousRanking {
    private static final double HASH_VALUES = 1L << Integer.SIZE;
    private final int seed;

    RendezvousRanking(int region) {
        this.seed = MurmurHash3.hash32(region, 0);
    }

    /** The member's draw for a shard, 0 to 2^32 - 1. */
    long draw(int shard, MemberState member) {
        return Integer.toUnsignedLong(MurmurHash3.hash32(shard, member.id.number(), seed));
    }

    /** Whether a member goes before another one for a shard; of equal scores the lower member number is first. */
    boolean precedes(int shard, MemberState member, MemberState other) {
        return precedes(member, draw(shard, member), other, draw(shard, other));
    }

    /** The first of the members that have room for the shard; null if there is none. */
    MemberState first(int shard, List<MemberState> members, Room room) {
        MemberState best = null;
        long bestDraw = 0;
        for (MemberState member : members) {
            if (!room.hasRoom(member)) {
                continue;
            }
            long draw = draw(shard, member);
            if (best == null || precedes(member, draw, best, bestDraw)) {
                best = member;
                bestDraw = draw;
            }
        }
        return best;
    }

    /** Whether a member may be given a further shard. */
    interface Room {
        boolean hasRoom(MemberState member);
    }

    private static boolean precedes(MemberState member, long draw, MemberState other, long otherDraw) {
        if (member.weight == other.weight) {
            return draw != otherDraw ? draw > otherDraw : member.id.compareTo(other.id) < 0;
        }
        double score = score(member.weight, draw);
        double otherScore = score(other.weight, otherDraw);
        return score != otherScore ? score > otherScore : member.id.compareTo(other.id) < 0;
    }

    /** StrictMath gives the same result on every machine, so that replicas of a controller agree. */
    private static double score(double weight, long draw) {
        double uniform = (draw + 0.5) / HASH_VALUES;
        return -weight / StrictMath.log(uniform);
    }
}
