package lilaclever.journal;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32C;

/**
 * The bytes of a segment. It begins with two copies of a header, 64 bytes apart: magic, format version, sequence
 * number, salt, time of making, which start of the machine and the wall clock's distance from it, CRC32C. Records
 * follow, to the first byte that is none:
 * <pre>
 *   marker (2) | type (1) | length of the content (4) | CRC32C (4) | content | length again (4) | end (1)
 * </pre>
 * The last five bytes tell a record that was damaged after it was written from one whose writing was cut short.
 * The checksum covers the segment's salt, the type, the length and the content. As nobody outside knows the salt, no
 * content that a client chose can pass for a record when a reader looks for the next good one after damage; and what a
 * recycled file held before never passes either. All numbers are big-endian.
 */
final class SegmentFormat {
    /** 2: a message may be owed to several, and remembered ends have the fingerprint of what they ended. */
    static final int VERSION = 2;
    /** Where the records begin. */
    static final int HEADER = 128;
    /** Of a record, all but its content. */
    static final int FRAME = 16;
    /** The record at a segment's beginning that tells where the one before it ended. */
    static final int PREVIOUS = FRAME + 16;
    /** What a segment holds besides its records proper. */
    static final int OVERHEAD = HEADER + PREVIOUS;
    /** A content longer than this is no record. */
    static final int LARGEST = 1 << 22;
    /** Files are counted in blocks of so many bytes. */
    static final int BLOCK = 512;

    private static final long MAGIC = 0x4c494c41434a4e4cL;
    private static final int COPY = 64, HEADER_CONTENT = 52;
    private static final short MARKER = (short) 0x4ca7;
    private static final int TRAILER = 5;
    /** The last byte of each record, never zero. */
    private static final byte END = 0x5a;

    private static final int TYPE_AT = 2, LENGTH_AT = 3, SUM_AT = 7, CONTENT_AT = 11;

    /** What a record says. The numbers are part of the format. */
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

    /** What a segment's header says. */
    record Header(int version, long sequence, long salt, long madeWall, BootClock clock) {}

    private SegmentFormat() {}

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

    /** The header, from whichever copy is good; null if none is. */
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

    /** What stands at a place in a segment. */
    enum Look {
        GOOD,
        BAD,
        MORE
    }

    /**
     * GOOD: a whole record stands at the position. MORE: it may be one, if the buffer held more bytes. BAD: none.
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

    /** True if the bytes end as a record does that is as long as they are. */
    static boolean endsWhole(long length, ByteBuffer lastFive) {
        return length >= FRAME
                && lastFive.remaining() == TRAILER
                && lastFive.getInt(0) == length - FRAME
                && lastFive.get(TRAILER - 1) == END;
    }

    /** The type of a good record at the position. */
    static Type type(ByteBuffer in) {
        return Type.of(in.get(in.position() + TYPE_AT));
    }

    /** The content of a good record at the position; moves behind it. */
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

    /** Builds records one behind the other in a buffer that grows; the checksum comes when the salt is known. */
    static final class RecordWriter {
        private ByteBuffer out = ByteBuffer.allocate(4096);
        private int start;

        /** Forgets all. */
        RecordWriter clear() {
            out.clear();
            return this;
        }

        RecordWriter begin(Type type) {
            start = out.position();
            room(CONTENT_AT);
            out.putShort(MARKER).put(type.code).putInt(0).putInt(0);
            return this;
        }

        /** Ends the record. */
        RecordWriter end() {
            room(TRAILER);
            int length = out.position() - start - CONTENT_AT;
            out.putInt(start + LENGTH_AT, length);
            out.putInt(length).put(END);
            return this;
        }

        RecordWriter number(long value) {
            room(8);
            out.putLong(value);
            return this;
        }

        RecordWriter small(int value) {
            room(4);
            out.putInt(value);
            return this;
        }

        RecordWriter flag(boolean value) {
            room(1);
            out.put((byte) (value ? 1 : 0));
            return this;
        }

        RecordWriter text(String value) {
            return bytes(value.getBytes(StandardCharsets.UTF_8));
        }

        RecordWriter bytes(byte[] value) {
            small(value.length);
            room(value.length);
            out.put(value);
            return this;
        }

        /** Takes back all behind so many bytes. */
        void cut(int size) {
            out.position(size);
        }

        /** Bytes of all records so far. */
        int size() {
            return out.position();
        }

        /** All records, with their checksums for a segment of this salt; valid until the next change. */
        ByteBuffer withChecksums(long salt) {
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
