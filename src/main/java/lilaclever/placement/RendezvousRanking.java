package lilaclever.placement;

import java.util.List;
import java.util.function.Predicate;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Weighted rendezvous hashing (highest random weight): for each shard every member draws a number, and the member with
 * the highest score ranks first. The score is {@code -weight / ln(u)}, with u in (0, 1) from the hash of shard and
 * member, so that members rank first in proportion to their weights, and a change of one member moves no shard between
 * others.
 */
final class RendezvousRanking {
    private static final double HASH_VALUES = 1L << Integer.SIZE;
    private static final int NO_CANDIDATE = -1;
    private final int seed;
    /** The members to choose from; the parallel arrays hold their numbers and weights. */
    private MemberState[] candidates = {};

    private int[] numbers = {};
    private double[] weights = {};

    RendezvousRanking(int region) {
        this.seed = MurmurHash3.hash32(region, 0);
    }

    /** The member's hash draw for a shard, 0 to 2^32 - 1. */
    long draw(int shard, MemberState member) {
        return draw(shard, member.id.number());
    }

    /** Whether a member ranks before another one for a shard; ties go to the lower member number. */
    boolean precedes(int shard, MemberState member, MemberState other) {
        return precedes(
                member.weight,
                draw(shard, member),
                member.id.number(),
                other.weight,
                draw(shard, other),
                other.id.number());
    }

    /** Sets the members that {@link #first} chooses from. */
    void setMembers(List<MemberState> members) {
        candidates = members.toArray(new MemberState[0]);
        numbers = members.stream().mapToInt(member -> member.id.number()).toArray();
        weights = members.stream().mapToDouble(member -> member.weight).toArray();
    }

    /** The highest-ranked member with capacity for the shard; null if there is none. */
    MemberState first(int shard, Predicate<MemberState> hasCapacity) {
        int best = NO_CANDIDATE;
        long bestDraw = 0;
        for (int i = 0; i < numbers.length; i++) {
            long draw = draw(shard, numbers[i]);
            boolean ahead = best == NO_CANDIDATE
                    || precedes(weights[i], draw, numbers[i], weights[best], bestDraw, numbers[best]);
            if (ahead && hasCapacity.test(candidates[i])) {
                best = i;
                bestDraw = draw;
            }
        }
        return best == NO_CANDIDATE ? null : candidates[best];
    }

    private long draw(int shard, int number) {
        long pair = (long) shard << Integer.SIZE | number;
        return Integer.toUnsignedLong(MurmurHash3.hash32(pair, seed));
    }

    private static boolean precedes(
            double weight, long draw, int number, double otherWeight, long otherDraw, int otherNumber) {
        if (weight == otherWeight) {
            return draw != otherDraw ? draw > otherDraw : number < otherNumber;
        }
        double score = score(weight, draw);
        double otherScore = score(otherWeight, otherDraw);
        return score != otherScore ? score > otherScore : number < otherNumber;
    }

    /** Uses StrictMath for the same result on every machine, so that replicas of a controller agree. */
    private static double score(double weight, long draw) {
        double uniform = (draw + 0.5) / HASH_VALUES;
        return -weight / StrictMath.log(uniform);
    }
}
