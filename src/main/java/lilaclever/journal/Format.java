package lilaclever.journal;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32C;

/**
 * The binary format of a segment. It begins with two copies of a header, 64 bytes apart: magic number, format version,
 * sequence number, salt, wall time of its creation, boot id and offset of the wall clock, CRC32C. Records follow, up to
 * the first byte that does not begin one:
 * <pre>
 *   marker (2) | type (1) | length of the content (4) | CRC32C (4) | content | length again (4) | end (1)
 * </pre>
 * The last five bytes distinguish a record that was damaged after it was written from one whose write was
 * interrupted. The checksum covers the segment's salt, the type, the length and the content. As the salt is not known
 * outside, no content that a client chose can pass for a record when a reader searches for the next valid one after
 * damage; nor can the earlier content of a recycled file. All numbers are big-endian.
 */
final class Format {
    /**
     * Since version 2 several requesters may wait for the result of a message, and remembered results hold the
     * fingerprint of their message.
     */
    static final int VERSION = 2;
    /** Offset of the first record. */
    static final int HEADER = 128;
    /** Size of a record without its content. */
    static final int FRAME = 16;
    /** Size of the first record of a segment, which says where the previous segment ended. */
    static final int PREVIOUS = FRAME + 16;
    /** Size of what a segment holds besides its records proper. */
    static final int OVERHEAD = HEADER + PREVIOUS;
    /** A record with a longer content is invalid. */
    static final int LARGEST = 1 << 22;
    /** File sizes are counted in blocks. */
    static final int BLOCK = 512;

    private static final long MAGIC = 0x4c494c41434a4e4cL;
    private static final int COPY = 64, HEADER_CONTENT = 52;
    private static final short MARKER = (short) 0x4ca7;
    private static final int TRAILER = 5;
    /** The last byte of each record, never zero. */
    private static final byte END = 0x5a;

    private static final int TYPE_AT = 2, LENGTH_AT = 3, SUM_AT = 7, CONTENT_AT = 11;

    /**
     * The types of records; the codes are part of the format. A message is accepted (TAKEN), its attempts begin and
     * finish (ATTEMPT, OUTCOME), its final status is decided (VERDICT), and at last no result is pending (ENDED).
     * JOINED adds a requester to a pending message, REMEMBERED stores a result for repeated submissions, SNAPSHOT holds
     * the whole state of a message, and PREVIOUS says where the previous segment ended.
     */
    enum Type {
        TAKEN(1),
        ATTEMPT(2),
        OUTCOME(3),
        VERDICT(4),
        ENDED(5),
        REMEMBERED(6),
        SNAPSHOT(7),
        PREVIOUS(8),
        JOINED(9);

        private static final Type[] BY_CODE = new Type[10];

        static {
            for (Type t : values()) {
                BY_CODE[t.code] = t;
            }
        }

        final byte code;

        Type(int code) {
            this.code = (byte) code;
        }

        static Type of(int code) {
            return code > 0 && code < BY_CODE.length ? BY_CODE[code] : null;
        }
    }

    /** The content of a segment's header. */
    record Header(int version, long sequence, long salt, long madeWall, BootClock clock) {}

    private Format() {}

    static ByteBuffer header(Header h) {
        ByteBuffer all = ByteBuffer.allocate(HEADER);
        for (int at = 0; at < HEADER; at += COPY) {
            all.position(at);
            all.putLong(MAGIC)
                    .putInt(h.version())
                    .putLong(h.sequence())
                    .putLong(h.salt())
                    .putLong(h.madeWall());
            all.putLong(h.clock().boot()).putLong(h.clock().offsetMicros());
            all.putInt(sum(all, at));
        }
        return all.position(0);
    }

    private static int sum(ByteBuffer all, int at) {
        CRC32C crc = new CRC32C();
        crc.update(all.duplicate().limit(at + HEADER_CONTENT).position(at));
        return (int) crc.getValue();
    }

    /** Decodes the header from whichever copy is intact; null if neither is. */
    static Header readHeader(ByteBuffer bytes) {
        for (int at = 0; at < HEADER; at += COPY) {
            if (bytes.limit() >= at + HEADER_CONTENT + 4
                    && bytes.getLong(at) == MAGIC
                    && bytes.getInt(at + HEADER_CONTENT) == sum(bytes, at)) {
                return new Header(
                        bytes.getInt(at + 8),
                        bytes.getLong(at + 12),
                        bytes.getLong(at + 20),
                        bytes.getLong(at + 28),
                        new BootClock(bytes.getLong(at + 36), bytes.getLong(at + 44)));
            }
        }
        return null;
    }

    /** The result of checking a position of a segment for a record. */
    enum Look {
        GOOD,
        BAD,
        MORE
    }

    /**
     * Checks the position of the buffer. GOOD: it holds a complete record. MORE: this can't be decided without more
     * bytes. BAD: it holds no valid record.
     */
    static Look look(ByteBuffer in, long salt) {
        int at = in.position();
        if (in.remaining() >= 2 && in.getShort(at) != MARKER) {
            return Look.BAD;
        }
        if (in.remaining() < CONTENT_AT) {
            return Look.MORE;
        }
        int length = in.getInt(at + LENGTH_AT);
        if (Type.of(in.get(at + TYPE_AT)) == null || length < 0 || length > LARGEST) {
            return Look.BAD;
        }
        if (in.remaining() < length + FRAME) {
            return Look.MORE;
        }
        boolean whole = in.get(at + length + FRAME - 1) == END; // else its last byte was never written
        return whole && in.getInt(at + SUM_AT) == sum(in, at, length, salt) ? Look.GOOD : Look.BAD;
    }

    /** True if the bytes end like a complete record of this length. */
    static boolean endsWhole(long length, ByteBuffer lastFive) {
        return length >= FRAME
                && lastFive.remaining() == TRAILER
                && lastFive.getInt(0) == length - FRAME
                && lastFive.get(TRAILER - 1) == END;
    }

    /** The type of the valid record at the position. */
    static Type type(ByteBuffer in) {
        return Type.of(in.get(in.position() + TYPE_AT));
    }

    /** The content of the valid record at the position; moves the position behind the record. */
    static ByteBuffer take(ByteBuffer in) {
        int at = in.position();
        int length = in.getInt(at + LENGTH_AT);
        ByteBuffer content = in.slice(at + CONTENT_AT, length);
        in.position(at + length + FRAME);
        return content;
    }

    private static int sum(ByteBuffer in, int at, int length, long salt) {
        CRC32C crc = new CRC32C();
        salt(crc, salt);
        crc.update(in.duplicate().limit(at + SUM_AT).position(at + TYPE_AT));
        crc.update(in.duplicate().limit(at + CONTENT_AT + length).position(at + CONTENT_AT));
        return (int) crc.getValue();
    }

    private static void salt(CRC32C crc, long salt) {
        for (int shift = 56; shift >= 0; shift -= 8) {
            crc.update((int) (salt >>> shift));
        }
    }

    /** Encodes consecutive records into a growing buffer; the checksums are added when the salt is known. */
    static final class Writer {
        private ByteBuffer out = ByteBuffer.allocate(4096);
        private int start;

        /** Removes all records. */
        Writer clear() {
            out.clear();
            return this;
        }

        Writer begin(Type type) {
            start = out.position();
            room(CONTENT_AT);
            out.putShort(MARKER).put(type.code).putInt(0).putInt(0);
            return this;
        }

        /** Completes the current record. */
        Writer end() {
            room(TRAILER);
            int length = out.position() - start - CONTENT_AT;
            out.putInt(start + LENGTH_AT, length);
            out.putInt(length).put(END);
            return this;
        }

        Writer number(long value) {
            room(8);
            out.putLong(value);
            return this;
        }

        Writer small(int value) {
            room(4);
            out.putInt(value);
            return this;
        }

        Writer flag(boolean value) {
            room(1);
            out.put((byte) (value ? 1 : 0));
            return this;
        }

        Writer text(String value) {
            return bytes(value.getBytes(StandardCharsets.UTF_8));
        }

        Writer bytes(byte[] value) {
            small(value.length);
            room(value.length);
            out.put(value);
            return this;
        }

        /** Removes everything after the first {@code size} bytes. */
        void cut(int size) {
            out.position(size);
        }

        /** The size of all records so far, in bytes. */
        int size() {
            return out.position();
        }

        /** All records, with their checksums for a segment of this salt; valid until the next change. */
        ByteBuffer sealed(long salt) {
            ByteBuffer all = out.duplicate().flip();
            for (int at = 0; at < all.limit(); ) {
                int length = all.getInt(at + LENGTH_AT);
                all.putInt(at + SUM_AT, sum(all, at, length, salt));
                at += length + FRAME;
            }
            return all;
        }

        private void room(int bytes) {
            if (out.remaining() < bytes) {
                ByteBuffer larger = ByteBuffer.allocate(Math.max(2 * out.capacity(), out.position() + bytes));
                out = larger.put(out.flip());
            }
        }
    }

    static String text(ByteBuffer in) {
        return new String(bytes(in), StandardCharsets.UTF_8);
    }

    static byte[] bytes(ByteBuffer in) {
        byte[] value = new byte[in.getInt()];
        in.get(value);
        return value;
    }

    static boolean flag(ByteBuffer in) {
        return in.get() != 0;
    }
}
