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
    static final int HEADER_BYTES = 128;
    /** Of a record, all but its content. */
    static final int FRAME_BYTES = 16;
    /** The record at a segment's beginning that tells where the one before it ended. */
    static final int PREVIOUS_RECORD_BYTES = FRAME_BYTES + 16;
    /** What a segment holds besides its records proper. */
    static final int OVERHEAD_BYTES = HEADER_BYTES + PREVIOUS_RECORD_BYTES;
    /** A content longer than this is no record. */
    static final int MAX_CONTENT_BYTES = 1 << 22;
    /** Files are counted in blocks of so many bytes. */
    static final int BLOCK_BYTES = 512;

    private static final long MAGIC = 0x4c494c41434a4e4cL;
    private static final int HEADER_COPY_BYTES = 64, HEADER_CONTENT_BYTES = 52;
    private static final short RECORD_MARKER = (short) 0x4ca7;
    private static final int TRAILER_BYTES = 5;
    /** The last byte of each record, never zero. */
    private static final byte END_MARKER = 0x5a;

    private static final int TYPE_OFFSET = 2, LENGTH_OFFSET = 3, CHECKSUM_OFFSET = 7, CONTENT_OFFSET = 11;

    /** What a record says. The numbers are part of the format. */
    enum RecordType {
        TAKEN(1),
        ATTEMPT(2),
        OUTCOME(3),
        VERDICT(4),
        ENDED(5),
        REMEMBERED(6),
        SNAPSHOT(7),
        PREVIOUS(8),
        JOINED(9);

        private static final RecordType[] BY_CODE = new RecordType[10];

        static {
            for (RecordType t : values()) {
                BY_CODE[t.code] = t;
            }
        }

        final byte code;

        RecordType(int code) {
            this.code = (byte) code;
        }

        static RecordType of(int code) {
            return code > 0 && code < BY_CODE.length ? BY_CODE[code] : null;
        }
    }

    /** What a segment's header says. */
    record Header(int version, long sequence, long salt, long createdWallMicros, BootClock bootClock) {}

    private SegmentFormat() {}

    static ByteBuffer encodeHeader(Header h) {
        ByteBuffer all = ByteBuffer.allocate(HEADER_BYTES);
        for (int at = 0; at < HEADER_BYTES; at += HEADER_COPY_BYTES) {
            all.position(at);
            all.putLong(MAGIC)
                    .putInt(h.version())
                    .putLong(h.sequence())
                    .putLong(h.salt())
                    .putLong(h.createdWallMicros());
            all.putLong(h.bootClock().bootId()).putLong(h.bootClock().offsetMicros());
            all.putInt(checksum(all, at));
        }
        return all.position(0);
    }

    private static int checksum(ByteBuffer all, int at) {
        CRC32C crc = new CRC32C();
        crc.update(all.duplicate().limit(at + HEADER_CONTENT_BYTES).position(at));
        return (int) crc.getValue();
    }

    /** The header, from whichever copy is good; null if none is. */
    static Header decodeHeader(ByteBuffer bytes) {
        for (int at = 0; at < HEADER_BYTES; at += HEADER_COPY_BYTES) {
            if (bytes.limit() >= at + HEADER_CONTENT_BYTES + 4
                    && bytes.getLong(at) == MAGIC
                    && bytes.getInt(at + HEADER_CONTENT_BYTES) == checksum(bytes, at)) {
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
    enum RecordCheck {
        VALID,
        INVALID,
        INCOMPLETE
    }

    /**
     * GOOD: a whole record stands at the position. MORE: it may be one, if the buffer held more bytes. BAD: none.
     */
    static RecordCheck checkRecord(ByteBuffer in, long salt) {
        int at = in.position();
        if (in.remaining() >= 2 && in.getShort(at) != RECORD_MARKER) {
            return RecordCheck.INVALID;
        }
        if (in.remaining() < CONTENT_OFFSET) {
            return RecordCheck.INCOMPLETE;
        }
        int length = in.getInt(at + LENGTH_OFFSET);
        if (RecordType.of(in.get(at + TYPE_OFFSET)) == null || length < 0 || length > MAX_CONTENT_BYTES) {
            return RecordCheck.INVALID;
        }
        if (in.remaining() < length + FRAME_BYTES) {
            return RecordCheck.INCOMPLETE;
        }
        boolean whole = in.get(at + length + FRAME_BYTES - 1) == END_MARKER; // else its last byte was never written
        return whole && in.getInt(at + CHECKSUM_OFFSET) == checksum(in, at, length, salt) ? RecordCheck.VALID : RecordCheck.INVALID;
    }

    /** True if the bytes end as a record does that is as long as they are. */
    static boolean endsLikeCompleteRecord(long length, ByteBuffer lastFive) {
        return length >= FRAME_BYTES
                && lastFive.remaining() == TRAILER_BYTES
                && lastFive.getInt(0) == length - FRAME_BYTES
                && lastFive.get(TRAILER_BYTES - 1) == END_MARKER;
    }

    /** The type of a good record at the position. */
    static RecordType typeAt(ByteBuffer in) {
        return RecordType.of(in.get(in.position() + TYPE_OFFSET));
    }

    /** The content of a good record at the position; moves behind it. */
    static ByteBuffer takeContent(ByteBuffer in) {
        int at = in.position();
        int length = in.getInt(at + LENGTH_OFFSET);
        ByteBuffer content = in.slice(at + CONTENT_OFFSET, length);
        in.position(at + length + FRAME_BYTES);
        return content;
    }

    private static int checksum(ByteBuffer in, int at, int length, long salt) {
        CRC32C crc = new CRC32C();
        updateWithSalt(crc, salt);
        crc.update(in.duplicate().limit(at + CHECKSUM_OFFSET).position(at + TYPE_OFFSET));
        crc.update(in.duplicate().limit(at + CONTENT_OFFSET + length).position(at + CONTENT_OFFSET));
        return (int) crc.getValue();
    }

    private static void updateWithSalt(CRC32C crc, long salt) {
        for (int shift = 56; shift >= 0; shift -= 8) {
            crc.update((int) (salt >>> shift));
        }
    }

    /** Builds records one behind the other in a buffer that grows; the checksum comes when the salt is known. */
    static final class RecordWriter {
        private ByteBuffer buffer = ByteBuffer.allocate(4096);
        private int recordStart;

        /** Forgets all. */
        RecordWriter clear() {
            buffer.clear();
            return this;
        }

        RecordWriter beginRecord(RecordType type) {
            recordStart = buffer.position();
            ensureCapacity(CONTENT_OFFSET);
            buffer.putShort(RECORD_MARKER).put(type.code).putInt(0).putInt(0);
            return this;
        }

        /** Ends the record. */
        RecordWriter endRecord() {
            ensureCapacity(TRAILER_BYTES);
            int length = buffer.position() - recordStart - CONTENT_OFFSET;
            buffer.putInt(recordStart + LENGTH_OFFSET, length);
            buffer.putInt(length).put(END_MARKER);
            return this;
        }

        RecordWriter putLong(long value) {
            ensureCapacity(8);
            buffer.putLong(value);
            return this;
        }

        RecordWriter putInt(int value) {
            ensureCapacity(4);
            buffer.putInt(value);
            return this;
        }

        RecordWriter putFlag(boolean value) {
            ensureCapacity(1);
            buffer.put((byte) (value ? 1 : 0));
            return this;
        }

        RecordWriter putText(String value) {
            return putBytes(value.getBytes(StandardCharsets.UTF_8));
        }

        RecordWriter putBytes(byte[] value) {
            putInt(value.length);
            ensureCapacity(value.length);
            buffer.put(value);
            return this;
        }

        /** Takes back all behind so many bytes. */
        void truncate(int size) {
            buffer.position(size);
        }

        /** Bytes of all records so far. */
        int size() {
            return buffer.position();
        }

        /** All records, with their checksums for a segment of this salt; valid until the next change. */
        ByteBuffer withChecksums(long salt) {
            ByteBuffer all = buffer.duplicate().flip();
            for (int at = 0; at < all.limit(); ) {
                int length = all.getInt(at + LENGTH_OFFSET);
                all.putInt(at + CHECKSUM_OFFSET, checksum(all, at, length, salt));
                at += length + FRAME_BYTES;
            }
            return all;
        }

        private void ensureCapacity(int bytes) {
            if (buffer.remaining() < bytes) {
                ByteBuffer larger = ByteBuffer.allocate(Math.max(2 * buffer.capacity(), buffer.position() + bytes));
                buffer = larger.put(buffer.flip());
            }
        }
    }

    static String readText(ByteBuffer in) {
        return new String(readBytes(in), StandardCharsets.UTF_8);
    }

    static byte[] readBytes(ByteBuffer in) {
        byte[] value = new byte[in.getInt()];
        in.get(value);
        return value;
    }

    static boolean readFlag(ByteBuffer in) {
        return in.get() != 0;
    }
}
