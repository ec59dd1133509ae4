package lilaclever.protocol.mllp;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import lilaclever.protocol.mllp.FrameReader.MalformedFrameException;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Reading of valid, partial and malformed frames from fragmented input. */
class FrameReaderTest {
    private static byte[] bytes(String text) {
        return text.getBytes(java.nio.charset.StandardCharsets.ISO_8859_1);
    }

    private static List<byte[]> readAll(FrameReader reader, byte[] input) throws MalformedFrameException {
        List<byte[]> messages = new ArrayList<>();
        for (int at = 0; at < input.length; ) {
            at = reader.read(input, at);
            byte[] message = reader.takeMessage();
            if (message != null) {
                messages.add(message);
            }
        }
        return messages;
    }

    /** Guards against reading on after malformed input, where another message could be smuggled in. */
    @ParameterizedTest
    @ValueSource(strings = {"MSH", "\u000bMSH\u000b", "\u000bMSH\u001cX", "\u000b0123456789", "\u000bA\u001c\rnoise"})
    void malformedInputIsRejected(String text) {
        assertThrows(MalformedFrameException.class, () -> readAll(new FrameReader(8), bytes(text)));
    }

    @Provide
    Arbitrary<List<byte[]>> messages() {
        return Arbitraries.bytes()
                .filter(b -> b != FrameReader.VT && b != FrameReader.FS)
                .array(byte[].class)
                .ofMaxSize(1200)
                .list()
                .ofMaxSize(5);
    }

    /** All messages are read complete and in order, however the input is fragmented, and nothing is left over. */
    @Property(tries = 300, seed = "-1")
    void messagesSurviveAnyFragmentation(@ForAll("messages") List<byte[]> messages, @ForAll("cuts") List<Integer> cuts)
            throws MalformedFrameException {
        ByteArrayOutputStream stream = new ByteArrayOutputStream();
        for (byte[] message : messages) {
            stream.writeBytes(FrameReader.encode(message));
            stream.writeBytes(bytes("\r\n")); // some senders add this
        }
        byte[] wire = stream.toByteArray();
        FrameReader reader = new FrameReader(1200);
        List<byte[]> read = new ArrayList<>();
        int at = 0;
        for (int i = 0; at < wire.length; i++) {
            int to = Math.min(wire.length, at + (cuts.isEmpty() ? wire.length : cuts.get(i % cuts.size())));
            read.addAll(readAll(reader, Arrays.copyOfRange(wire, at, to)));
            at = to;
        }
        assertEquals(messages.size(), read.size());
        for (int i = 0; i < read.size(); i++) {
            assertArrayEquals(messages.get(i), read.get(i));
        }
        assertFalse(reader.isPartial());
    }

    @Provide
    Arbitrary<List<Integer>> cuts() {
        return Arbitraries.integers().between(1, 700).list().ofMaxSize(6);
    }

    /** A partial frame is reported, so that its timeout can be enforced. */
    @ParameterizedTest
    @ValueSource(strings = {"\u000b", "\u000bMSH", "\u000bMSH\u001c"})
    void partialFrameIsReported(String text) throws MalformedFrameException {
        FrameReader reader = new FrameReader(8);
        assertTrue(readAll(reader, bytes(text)).isEmpty());
        assertTrue(reader.isPartial());
    }
}
