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
 * forwarder in each zone; below it, each forwarder sends to a bounded number of others of its zone. Everybody who has
 * the same member list and version builds the same tree; with another version others are the inner nodes, so that the
 * cost of passing on goes round.
 */
public final class DistributionTree {
    /** Most children of a forwarder. */
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
     * @param members the forwarders of the region in any order, each once
     * @param version version of the member list
     * @param degree  most children of a forwarder, 1 to {@link #MAX_DEGREE}
     * @throws IllegalArgumentException if the degree is out of its range or a member comes twice
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

    /** Forwarders that the controller sends to, one in each zone. */
    public List<MemberId> heads() {
        return List.copyOf(heads);
    }

    /**
     * Forwarders that a forwarder sends to.
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
     * Who sends to a forwarder; empty if it is the controller.
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

    /** How many sends after the controller's decision a forwarder has a delta: 1 for the heads. */
    public int depthOf(MemberId member) {
        int levels = 1;
        for (Optional<MemberId> parent = parentOf(member); parent.isPresent(); parent = parentOf(parent.get())) {
            levels++;
        }
        return levels;
    }

    /** Greatest depth of a forwarder; 0 in an empty region. */
    public int depth() {
        return depth;
    }

    /**
     * Whom a forwarder sends to while some have failed: in place of a failed child, that child's children.
     *
     * @throws IllegalArgumentException if the forwarder is not in the tree
     */
    public List<MemberId> receiversOf(MemberId member, Set<MemberId> failed) {
        return replaceFailed(childrenOf(member), failed);
    }

    /** Whom the controller sends to while some have failed: in place of a failed head, that head's children. */
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
                throw new IllegalArgumentException("member " + zone.get(index).number() + " comes twice");
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
