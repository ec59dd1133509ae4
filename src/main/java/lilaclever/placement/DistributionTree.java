package lilaclever.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Tree through which a region's controller sends deltas of the map to all forwarders. The controller sends to one
 * forwarder in each zone, the zone's head; from there on each forwarder sends to a bounded number of others of its
 * zone. The same member list and version always give the same tree; another version has other inner nodes, so that the
 * cost of forwarding is spread over all members.
 */
public final class DistributionTree {
    /** Maximum number of children of a forwarder. */
    public static final int MAX_DEGREE = 256;

    private final int degree;
    private final Map<MemberId, Node> nodes = new HashMap<>();
    private final List<MemberId> heads = new ArrayList<>();
    private int depth;

    /** A forwarder and its zone. */
    public record TreeMember(MemberId id, int zone) {}

    private record Node(List<MemberId> zoneOrder, int index) {}

    /**
     * Builds the tree.
     *
     * @param members the forwarders of the region in any order, without duplicates
     * @param version version of the member list
     * @param degree  maximum number of children of a forwarder, 1 to {@link #MAX_DEGREE}
     * @throws IllegalArgumentException if the degree is out of range or a member is listed twice
     */
    public DistributionTree(Collection<TreeMember> members, long version, int degree) {
        if (degree < 1 || degree > MAX_DEGREE) {
            throw new IllegalArgumentException("degree must be from 1 to " + MAX_DEGREE + ": " + degree);
        }
        this.degree = degree;
        Map<Integer, List<MemberId>> zones = new TreeMap<>();
        for (TreeMember member : members) {
            zones.computeIfAbsent(member.zone(), zone -> new ArrayList<>()).add(member.id());
        }
        zones.values().forEach(zone -> addZone(zone, version));
    }

    /** The forwarders that the controller sends to, one in each zone. */
    public List<MemberId> heads() {
        return List.copyOf(heads);
    }

    /**
     * The forwarders that a forwarder sends to.
     *
     * @throws IllegalArgumentException if it is not in the tree
     */
    public List<MemberId> childrenOf(MemberId member) {
        Node node = node(member);
        List<MemberId> order = node.zoneOrder();
        int firstChild = Math.min((int) Math.min((long) node.index() * degree + 1, Integer.MAX_VALUE), order.size());
        int end = Math.min(firstChild + degree, order.size());
        return List.copyOf(order.subList(firstChild, end));
    }

    /**
     * The forwarder that sends to this one; empty if the controller does.
     *
     * @throws IllegalArgumentException if the forwarder is not in the tree
     */
    public Optional<MemberId> parentOf(MemberId member) {
        Node node = node(member);
        if (node.index() == 0) {
            return Optional.empty();
        }
        return Optional.of(node.zoneOrder().get((node.index() - 1) / degree));
    }

    /** Number of hops from the controller to a forwarder: 1 for the heads. */
    public int depthOf(MemberId member) {
        int levels = 1;
        for (Optional<MemberId> parent = parentOf(member); parent.isPresent(); parent = parentOf(parent.get())) {
            levels++;
        }
        return levels;
    }

    /** Maximum depth of a forwarder; 0 in an empty region. */
    public int depth() {
        return depth;
    }

    /**
     * The forwarders that one sends to while some have failed: a failed child is replaced by its own children.
     *
     * @throws IllegalArgumentException if the forwarder is not in the tree
     */
    public List<MemberId> receiversOf(MemberId member, Set<MemberId> failed) {
        return replaceFailed(childrenOf(member), failed);
    }

    /**
     * The forwarders that the controller sends to while some have failed: a failed head is replaced by its children.
     */
    public List<MemberId> controllerReceivers(Set<MemberId> failed) {
        return replaceFailed(heads, failed);
    }

    private List<MemberId> replaceFailed(List<MemberId> receivers, Set<MemberId> failed) {
        List<MemberId> reachable = new ArrayList<>();
        for (MemberId receiver : receivers) {
            if (failed.contains(receiver)) {
                reachable.addAll(replaceFailed(childrenOf(receiver), failed));
            } else {
                reachable.add(receiver);
            }
        }
        return reachable;
    }

    private void addZone(List<MemberId> zone, long version) {
        zone.sort(Comparator.<MemberId>comparingInt(member -> MurmurHash3.hash32(version, member.number()))
                .thenComparing(Comparator.naturalOrder()));
        for (int index = 0; index < zone.size(); index++) {
            if (nodes.put(zone.get(index), new Node(zone, index)) != null) {
                throw new IllegalArgumentException("member " + zone.get(index).number() + " is listed twice");
            }
        }
        heads.add(zone.get(0));
        depth = Math.max(depth, depthOf(zone.get(zone.size() - 1)));
    }

    private Node node(MemberId member) {
        Node node = nodes.get(member);
        if (node == null) {
            throw new IllegalArgumentException("member " + member.number() + " is not in the tree");
        }
        return node;
    }
}
