package lilaclever.protocol.mllp;

import java.util.Arrays;

/**
 * Reads the frames of MLLP (Minimal Lower Layer Protocol, release 1): VT, the message, FS, CR. Input may be fragmented
 * in any way; each byte is examined once. CR and LF between frames are skipped, as some senders add them. Anything else
 * is an error after which frame boundaries on the connection can't be recognized any more.
 */
final class FrameReader {
    static final byte VT = 0x0b, FS = 0x1c, CR = 0x0d;
    private static final byte LF = 0x0a;
    private static final int INITIAL_BUFFER_BYTES = 512;

    /** The input violates the framing; reading can't continue on this connection. */
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
    private byte[] message;

    /** Creates a reader that rejects messages of more than {@code maxMessageBytes}. */
    FrameReader(int maxMessageBytes) {
        this.maxMessageBytes = maxMessageBytes;
    }

    /**
     * Reads bytes from an offset up to the end of a message at most, and returns the offset of the next byte to read. A
     * message that was completed is then returned by {@link #takeMessage}.
     */
    int read(byte[] bytes, int from) throws MalformedFrameException {
        for (int at = from; at < bytes.length; at++) {
            switch (state) {
                case BETWEEN_FRAMES -> readBetweenFrames(bytes[at]);
                case IN_MESSAGE -> readMessageByte(bytes[at]);
                default -> {
                    completeMessage(bytes[at]);
                    return at + 1;
                }
            }
        }
        return bytes.length;
    }

    /** Returns the message that the last read completed, once; null if it completed none. */
    byte[] takeMessage() {
        byte[] taken = message;
        message = null;
        return taken;
    }

    private void completeMessage(byte b) throws MalformedFrameException {
        if (b != CR) {
            throw new MalformedFrameException("FS without CR");
        }
        message = Arrays.copyOf(buffer, size);
        state = State.BETWEEN_FRAMES;
        size = 0;
        // Idle connections should hold little memory.
        buffer = buffer.length > INITIAL_BUFFER_BYTES ? new byte[0] : buffer;
    }

    private void readBetweenFrames(byte b) throws MalformedFrameException {
        if (b == VT) {
            state = State.IN_MESSAGE;
        } else if (b != CR && b != LF) {
            throw new MalformedFrameException("byte outside a frame");
        }
    }

    private void readMessageByte(byte b) throws MalformedFrameException {
        if (b == FS) {
            state = State.AFTER_FS;
            return;
        }
        if (b == VT) {
            throw new MalformedFrameException("VT inside a frame");
        }
        if (size == maxMessageBytes) {
            throw new MalformedFrameException("message of more than " + maxMessageBytes + " bytes");
        }
        if (size == buffer.length) {
            buffer = Arrays.copyOf(buffer, Math.min(maxMessageBytes, Math.max(INITIAL_BUFFER_BYTES, 2 * size)));
        }
        buffer[size++] = b;
    }

    /** True while a frame has started but is not complete. */
    boolean isPartial() {
        return state != State.BETWEEN_FRAMES;
    }

    /** Encodes a message as a frame. */
    static byte[] encode(byte[] message) {
        byte[] frame = new byte[message.length + 3];
        frame[0] = VT;
        System.arraycopy(message, 0, frame, 1, message.length);
        frame[frame.length - 2] = FS;
        frame[frame.length - 1] = CR;
        return frame;
    }
}
