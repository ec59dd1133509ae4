package lilaclever.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Queue;
import java.util.Random;
import java.util.Set;
import lilaclever.placement.DistributionTree.TreeMember;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Which forwarders each one sends deltas to, with and without failures. */
class DistributionTreeTest {
    private static List<TreeMember> members(int count, int zones) {
        List<TreeMember> members = new ArrayList<>();
        for (int member = 0; member < count; member++) {
            members.add(new TreeMember(new MemberId(member), member % zones));
        }
        return members;
    }

    /** All receivers of a delta that the controller sends out; a member occurs as often as it gets the delta. */
    private static List<MemberId> allReceivers(DistributionTree tree, Set<MemberId> failed) {
        List<MemberId> reached = new ArrayList<>();
        Queue<MemberId> senders = new ArrayDeque<>(tree.controllerReceivers(failed));
        while (!senders.isEmpty()) {
            MemberId sender = senders.remove();
            reached.add(sender);
            senders.addAll(tree.receiversOf(sender, failed));
        }
        return reached;
    }

    @ParameterizedTest
    @CsvSource({"1, 1, 1, 1", "5, 1, 1, 5", "2111, 3, 8, 5", "2111, 3, 16, 4", "100, 4, 200, 2", "2, 28, 3, 1"})
    void reachesEachForwarderOnceWithinItsDepth(int count, int zones, int degree, int depth) {
        DistributionTree tree = new DistributionTree(members(count, zones), 9, degree);
        List<MemberId> reached = allReceivers(tree, Set.of());
        assertEquals(count, reached.size());
        assertEquals(count, new HashSet<>(reached).size());
        assertEquals(depth, tree.depth());
        for (MemberId member : reached) {
            assertTrue(tree.childrenOf(member).size() <= degree);
            assertTrue(tree.depthOf(member) <= depth);
            for (MemberId child : tree.childrenOf(member)) {
                assertEquals(Optional.of(member), tree.parentOf(child));
                assertEquals(member.number() % zones, child.number() % zones, "forwarded within the zone");
            }
        }
        assertEquals(Math.min(zones, count), tree.heads().size());
        tree.heads().forEach(head -> assertEquals(Optional.empty(), tree.parentOf(head)));
    }

    @Test
    void reachesAllMembersThatHaveNotFailed() {
        DistributionTree tree = new DistributionTree(members(300, 3), 1, 4);
        Random random = new Random(5);
        for (int round = 0; round < 50; round++) {
            Set<MemberId> failed = new HashSet<>();
            for (int i = 0; i < 60; i++) {
                failed.add(new MemberId(random.nextInt(300)));
            }
            failed.add(tree.heads().get(round % 3));
            List<MemberId> reached = allReceivers(tree, failed);
            assertEquals(300 - failed.size(), reached.size());
            assertTrue(Collections.disjoint(reached, failed));
        }
    }

    @Test
    void childrenOfAFailedForwarderFallBackToItsParent() {
        DistributionTree tree = new DistributionTree(members(100, 1), 1, 3);
        MemberId head = tree.heads().get(0);
        MemberId failed = tree.childrenOf(head).get(1);
        List<MemberId> expected = new ArrayList<>(tree.childrenOf(head));
        expected.remove(failed);
        expected.addAll(1, tree.childrenOf(failed));
        assertEquals(expected, tree.receiversOf(head, Set.of(failed)));
        assertEquals(tree.childrenOf(head), tree.controllerReceivers(Set.of(head)));
    }

    @Test
    void dependsOnlyOnMembersAndVersion() {
        List<TreeMember> shuffled = members(500, 3);
        Collections.shuffle(shuffled, new Random(1));
        DistributionTree tree = new DistributionTree(members(500, 3), 4, 8);
        DistributionTree same = new DistributionTree(shuffled, 4, 8);
        DistributionTree other = new DistributionTree(members(500, 3), 5, 8);
        assertEquals(allReceivers(tree, Set.of()), allReceivers(same, Set.of()));
        assertNotEquals(allReceivers(tree, Set.of()), allReceivers(other, Set.of()));
    }

    @Test
    void emptyRegionHasATreeWithoutForwarders() {
        DistributionTree tree = new DistributionTree(List.of(), 0, 8);
        assertEquals(List.of(), tree.heads());
        assertEquals(0, tree.depth());
    }

    @Test
    void rejectsInvalidInput() {
        assertThrows(IllegalArgumentException.class, () -> new DistributionTree(List.of(), 0, 0));
        assertThrows(IllegalArgumentException.class, () -> new DistributionTree(List.of(), 0, 257));
        List<TreeMember> twice = List.of(new TreeMember(new MemberId(1), 0), new TreeMember(new MemberId(1), 1));
        assertThrows(IllegalArgumentException.class, () -> new DistributionTree(twice, 0, 8));
        DistributionTree tree = new DistributionTree(members(3, 1), 0, 8);
        assertThrows(IllegalArgumentException.class, () -> tree.childrenOf(new MemberId(3)));
        assertThrows(IllegalArgumentException.class, () -> tree.parentOf(new MemberId(3)));
    }
}
