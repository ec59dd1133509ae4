package lilaclever.protocol.mllp;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * The frames of MLLP (Minimal Lower Layer Protocol, release 1): VT, the message, FS, CR. Bytes come in pieces of any
 * size; each byte is looked at once. Between frames CR and LF are passed over, as some senders add them. All else is a
 * fault after which nothing on the connection can be told from noise.
 */
final class FrameReader {
    static final byte VT = 0x0b, FS = 0x1c, CR = 0x0d;
    private static final byte LF = 0x0a;
    private static final int INITIAL_BUFFER_BYTES = 512;

    /** The connection can't be read any further. */
    static final class MalformedFrameException extends Exception {
        private static final long serialVersionUID = 1L;

        MalformedFrameException(String problem) {
            super(problem);
        }
    }

    private enum State {
        BETWEEN_FRAMES,
        IN_MESSAGE,
        AFTER_FS
    }

    private final int maxMessageBytes;
    private State state = State.BETWEEN_FRAMES;
    private byte[] buffer = {};
    private int size;

    /** Messages of so many bytes at most. */
    FrameReader(int maxMessageBytes) {
        this.maxMessageBytes = maxMessageBytes;
    }

    /** Reads a piece; gives the messages that it ends. Those before a fault are given with the next call's fault. */
    List<byte[]> read(byte[] bytes) throws MalformedFrameException {
        List<byte[]> messages = new ArrayList<>(1);
        for (byte b : bytes) {
            switch (state) {
                case BETWEEN_FRAMES -> readBetweenFrames(b);
                case IN_MESSAGE -> readMessageByte(b);
                default -> {
                    if (b != CR) {
                        throw new MalformedFrameException("FS without CR");
                    }
                    messages.add(Arrays.copyOf(buffer, size));
                    state = State.BETWEEN_FRAMES;
                    size = 0;
                    buffer =
                            buffer.length > INITIAL_BUFFER_BYTES ? new byte[0] : buffer; // idle connections keep little
                }
            }
        }
        return messages;
    }

    private void readBetweenFrames(byte b) throws MalformedFrameException {
        if (b == VT) {
            state = State.IN_MESSAGE;
        } else if (b != CR && b != LF) {
            throw new MalformedFrameException("a byte outside of a frame");
        }
    }

    private void readMessageByte(byte b) throws MalformedFrameException {
        if (b == FS) {
            state = State.AFTER_FS;
            return;
        }
        if (b == VT) {
            throw new MalformedFrameException("a frame begins within a frame");
        }
        if (size == maxMessageBytes) {
            throw new MalformedFrameException("a message of more than " + maxMessageBytes + " bytes");
        }
        if (size == buffer.length) {
            buffer = Arrays.copyOf(buffer, Math.min(maxMessageBytes, Math.max(INITIAL_BUFFER_BYTES, 2 * size)));
        }
        buffer[size++] = b;
    }

    /** True while a frame has begun and not ended. */
    boolean isPartial() {
        return state != State.BETWEEN_FRAMES;
    }

    /** The frame of a message. */
    static byte[] encode(byte[] message) {
        byte[] frame = new byte[message.length + 3];
        frame[0] = VT;
        System.arraycopy(message, 0, frame, 1, message.length);
        frame[frame.length - 2] = FS;
        frame[frame.length - 1] = CR;
        return frame;
    }
}
