package lilaclever.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.lang.ref.Reference;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import lilaclever.routing.Counters;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Small scale tests: the memory that a forwarder retains grows linearly and within the stated bounds. The long runs are
 * in bench/scale.
 */
class ScaleTest {
    /** Heap for each destination listed with one endpoint, without the program's own list: docs/CAPACITY.md. */
    private static final double MAX_BYTES_PER_DESTINATION = 1_600;
    /** Heap for each pending message with a body of {@link #BODY_BYTES}: docs/CAPACITY.md. */
    private static final double MAX_BYTES_PER_MESSAGE = 1_500;

    private static final int BODY_BYTES = 300;
    /** Maximum residual of the line relative to the largest value. The heap grows in steps, as tables double. */
    private static final double MAX_RELATIVE_RESIDUAL = 0.15;

    @TempDir
    private Path folder;

    @Test
    void heapPerListedDestinationIsBoundedAndLinear() throws IOException {
        List<LinearFit.Point> points = new ArrayList<>();
        for (int destinations : List.of(5_000, 10_000, 20_000, 40_000)) {
            long heapBeforeBytes = ResourceUsage.liveHeapBytes();
            try (SocketlessForwarder forwarder =
                    new SocketlessForwarder(folder(destinations), destinations, destinations, 100)) {
                points.add(new LinearFit.Point(destinations, ResourceUsage.liveHeapBytes() - heapBeforeBytes));
                Reference.reachabilityFence(forwarder);
            }
        }
        LinearFit fit = LinearFit.fit(points);
        assertTrue(fit.perUnit() < MAX_BYTES_PER_DESTINATION && fit.perUnit() > 0, fit + " through " + points);
        assertTrue(fit.maxRelativeResidual() < MAX_RELATIVE_RESIDUAL, fit + " through " + points);
    }

    @Test
    void heapPerPendingMessageIsBoundedAndLinear() throws IOException {
        List<LinearFit.Point> points = new ArrayList<>();
        for (int messages : List.of(2_000, 4_000, 8_000, 16_000)) {
            long heapBeforeBytes = ResourceUsage.liveHeapBytes();
            try (SocketlessForwarder forwarder = new SocketlessForwarder(folder(messages), 1, 0, 2 * messages)) {
                for (int i = 0; i < messages; i++) {
                    forwarder.submit(0, new byte[BODY_BYTES]);
                    if (i % 100 == 0) {
                        forwarder.turn();
                    }
                }
                forwarder.turn();
                assertEquals(messages, forwarder.pendingMessages());
                points.add(new LinearFit.Point(messages, ResourceUsage.liveHeapBytes() - heapBeforeBytes));
            }
        }
        LinearFit fit = LinearFit.fit(points);
        assertTrue(fit.perUnit() < MAX_BYTES_PER_MESSAGE && fit.perUnit() > 0, fit + " through " + points);
        assertTrue(fit.maxRelativeResidual() < MAX_RELATIVE_RESIDUAL, fit + " through " + points);
    }

    /** Otherwise the figures of delivered messages would be those of pending ones. */
    @Test
    void forwarderDeliversSubmittedMessages() throws IOException {
        try (SocketlessForwarder forwarder = new SocketlessForwarder(folder(1), 374, 374, 10_000)) {
            for (int i = 0; i < 2_000; i++) {
                forwarder.submit(i % 374, new byte[BODY_BYTES]);
                if (i % 9 == 0) {
                    forwarder.turn();
                }
            }
            forwarder.advance(SocketlessForwarder.SECOND_MICROS);
            assertEquals(2_000, forwarder.counter(Counters.Name.DELIVERED));
            assertEquals(0, forwarder.pendingMessages());
        }
    }

    @Test
    void fitFindsALineAndReportsTheResidualOfACurve() {
        LinearFit line = LinearFit.fit(
                List.of(new LinearFit.Point(1, 5), new LinearFit.Point(2, 7), new LinearFit.Point(4, 11)));
        assertEquals(2, line.perUnit(), 1e-9);
        assertEquals(3, line.intercept(), 1e-9);
        assertEquals(23, line.valueAt(10), 1e-9);
        assertEquals(0, line.maxRelativeResidual(), 1e-9);
        LinearFit square = LinearFit.fit(
                List.of(new LinearFit.Point(1, 1), new LinearFit.Point(10, 100), new LinearFit.Point(20, 400)));
        assertTrue(square.maxRelativeResidual() > 0.1, square.toString());
        assertThrows(
                IllegalArgumentException.class,
                () -> LinearFit.fit(List.of(new LinearFit.Point(1, 1), new LinearFit.Point(1, 2))));
    }

    private Path folder(int number) throws IOException {
        return Files.createDirectories(folder.resolve("journal-" + number));
    }
}
