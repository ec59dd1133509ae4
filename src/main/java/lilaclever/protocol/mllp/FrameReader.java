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
    private static final int FIRST = 512;

    /** The connection can't be read any further. */
    static final class MalformedFrameException extends Exception {
        private static final long serialVersionUID = 1L;

        MalformedFrameException(String problem) {
            super(problem);
        }
    }

    private enum State {
        BETWEEN,
        INSIDE,
        ENDING
    }

    private final int largest;
    private State state = State.BETWEEN;
    private byte[] gathered = {};
    private int size;

    /** Messages of so many bytes at most. */
    FrameReader(int largest) {
        this.largest = largest;
    }

    /** Reads a piece; gives the messages that it ends. Those before a fault are given with the next call's fault. */
    List<byte[]> read(byte[] in) throws MalformedFrameException {
        List<byte[]> whole = new ArrayList<>(1);
        for (byte b : in) {
            switch (state) {
                case BETWEEN -> between(b);
                case INSIDE -> inside(b);
                default -> {
                    if (b != CR) {
                        throw new MalformedFrameException("FS without CR");
                    }
                    whole.add(Arrays.copyOf(gathered, size));
                    state = State.BETWEEN;
                    size = 0;
                    gathered = gathered.length > FIRST ? new byte[0] : gathered; // idle connections keep little
                }
            }
        }
        return whole;
    }

    private void between(byte b) throws MalformedFrameException {
        if (b == VT) {
            state = State.INSIDE;
        } else if (b != CR && b != LF) {
            throw new MalformedFrameException("a byte outside of a frame");
        }
    }

    private void inside(byte b) throws MalformedFrameException {
        if (b == FS) {
            state = State.ENDING;
            return;
        }
        if (b == VT) {
            throw new MalformedFrameException("a frame begins within a frame");
        }
        if (size == largest) {
            throw new MalformedFrameException("a message of more than " + largest + " bytes");
        }
        if (size == gathered.length) {
            gathered = Arrays.copyOf(gathered, Math.min(largest, Math.max(FIRST, 2 * size)));
        }
        gathered[size++] = b;
    }

    /** True while a frame has begun and not ended. */
    boolean isPartial() {
        return state != State.BETWEEN;
    }

    /** The frame of a message. */
    static byte[] frame(byte[] message) {
        byte[] all = new byte[message.length + 3];
        all[0] = VT;
        System.arraycopy(message, 0, all, 1, message.length);
        all[all.length - 2] = FS;
        all[all.length - 1] = CR;
        return all;
    }
}
