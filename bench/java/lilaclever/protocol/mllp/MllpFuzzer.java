package lilaclever.protocol.mllp;

import java.util.List;
import java.util.Map;
import java.util.Set;
import lilaclever.protocol.mllp.Acknowledgements.Code;
import lilaclever.protocol.mllp.MllpSettings.Field;
import lilaclever.routing.FinalStatus;

/**
 * Fuzz target for Jazzer: the bytes of a connection go through frames, batches, header, fields and answers as they do
 * in the program. Only {@link FrameReader.MalformedFrameException} and {@link Hl7Fault} may be thrown, and no answer
 * may contain a byte that ends a frame. {@code bench/fuzz} runs it.
 */
public final class MllpFuzzer {
    private static final int MAX_FRAME_BYTES = 4096;
    private static final Hl7Reader READER = new Hl7Reader(
            new MllpSettings(
                    List.of(),
                    Map.of("APP", "north"),
                    true,
                    Map.of("ORM^O01", 0, "DFT", 2),
                    2,
                    Map.of("LAB", 7),
                    List.of(20L, 6L, 28L),
                    Field.parse("ORC-2"),
                    Field.parse("ZLC-1"),
                    Set.of("P"),
                    Set.of("2.3", "2.3.1", "2.4", "2.5", "2.5.1"),
                    10,
                    1,
                    1),
            () -> 5,
            () -> 1_000_000);
    private static final Acknowledgements ACKS = new Acknowledgements("L");

    private MllpFuzzer() {}

    /** Reads the bytes of one connection in two pieces. */
    public static void fuzzerTestOneInput(byte[] data) {
        FrameReader frames = new FrameReader(MAX_FRAME_BYTES);
        int cut = data.length / 2;
        try {
            frames.read(java.util.Arrays.copyOf(data, cut)).forEach(MllpFuzzer::processFrame);
            frames.read(java.util.Arrays.copyOfRange(data, cut, data.length)).forEach(MllpFuzzer::processFrame);
        } catch (FrameReader.MalformedFrameException e) {
            processFrame(data); // most inputs are not valid frames; they are tried as a message
        }
    }

    private static void processFrame(byte[] frame) {
        try {
            for (byte[] message : frame.length > 0 && Batch.isBatch(frame) ? Batch.split(frame) : List.of(frame)) {
                processMessage(message);
            }
        } catch (Hl7Fault e) {
            checkAnswer(ACKS.fault(Code.AR, Header.placeholder(), e));
        }
    }

    private static void processMessage(byte[] message) {
        Header header = Header.placeholder();
        try {
            header = Header.read(message);
            Request r = READER.read(header, message);
            if (r.identity().isEmpty() || r.deliveryKey().length() > 128 || r.budgetMicros() < 0) {
                throw new IllegalStateException("request violates its constraints: " + r);
            }
            checkAnswer(ACKS.positive(Code.CA, header));
            checkAnswer(ACKS.notConfirmed(Code.AE, header, FinalStatus.of(FinalStatus.Kind.FAILED)));
            checkAnswer(ACKS.retryLater(
                    Code.AR, header, new FinalStatus(FinalStatus.Kind.REFUSED, 1_500_000, "busy|^~\\&")));
        } catch (Hl7Fault e) {
            checkAnswer(ACKS.fault(Code.AE, header, e));
        }
    }

    private static void checkAnswer(byte[] answer) {
        for (byte b : answer) {
            if (b >= 0 && b < ' ' && b != '\r') {
                throw new IllegalStateException("a control character in an answer");
            }
        }
    }
}
