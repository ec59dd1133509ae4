package lilaclever;

import static lilaclever.DecisionModuleHarness.SAFE;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.DoubleSummaryStatistics;
import java.util.List;
import java.util.stream.DoubleStream;
import lilaclever.PolicyState.Message;
import org.junit.jupiter.api.Test;

class PolicyStateTest {
    private final PolicyFixture fixture = new PolicyFixture();

    @Test
    void randomFactorsCoverTheRangeFromOneHalfToThreeHalves() {
        DoubleSummaryStatistics factors =
                DoubleStream.generate(fixture.state::randomFactor).limit(1_000).summaryStatistics();
        assertTrue(factors.getMin() >= 0.5 && factors.getMin() < 0.51, "" + factors);
        assertTrue(factors.getMax() <= 1.5 && factors.getMax() > 1.49, "" + factors);
    }

    @Test
    void aQueueIsListedAsWaitingWhileItHasMessages() {
        Message first = fixture.addMessage(SAFE);
        Message second = fixture.addMessage(SAFE);
        assertEquals(List.of(first, second), List.copyOf(fixture.queue.waiting));
        fixture.state.dequeue(first);
        assertTrue(fixture.state.queuesWaiting.contains(fixture.queue));
        fixture.state.dequeue(second);
        assertTrue(fixture.state.queuesWaiting.isEmpty());
    }

    @Test
    void aFleetIsLargeAboveSixteenForwarders() {
        assertFalse(new PolicyFixture(16).state.largeFleet);
        assertTrue(new PolicyFixture(17).state.largeFleet);
    }
}
