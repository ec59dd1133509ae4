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
final class SegmentFormat {
    /**
     * Since version 2 several submitters may wait for the result of a message, and remembered results hold the
     * fingerprint of their message. Since version 3 a message's record holds its class instead of the class's number,
     * fingerprints are of the class's name, and attempts hold the name of the zone instead of its number.
     */
    static final int VERSION = 3;
    /** The first version whose records hold classes with their rules, and zones by name. */
    static final int NAMES_VERSION = 3;
    /** Offset of the first record. */
    static final int HEADER_BYTES = 128;
    /** Size of a record without its content. */
    static final int FRAME_BYTES = 16;
    /** Size of the first record of a segment, which says where the previous segment ended. */
    static final int PREVIOUS_RECORD_BYTES = FRAME_BYTES + 16;
    /** Size of what a segment holds besides its records proper. */
    static final int OVERHEAD_BYTES = HEADER_BYTES + PREVIOUS_RECORD_BYTES;
    /** A record with a longer content is invalid. */
    static final int MAX_CONTENT_BYTES = 1 << 22;
    /** File sizes are counted in blocks. */
    static final int BLOCK_BYTES = 512;

    private static final long MAGIC = 0x4c494c41434a4e4cL;
    private static final int HEADER_COPY_BYTES = 64, HEADER_CONTENT_BYTES = 52;
    private static final short RECORD_MARKER = (short) 0x4ca7;
    private static final int TRAILER_BYTES = 5;
    /** The last byte of each record, never zero. */
    private static final byte END_MARKER = 0x5a;

    private static final int TYPE_OFFSET = 2, LENGTH_OFFSET = 3, CHECKSUM_OFFSET = 7, CONTENT_OFFSET = 11;

    /**
     * The types of records; the codes are part of the format. A message is accepted (TAKEN), its attempts begin and
     * finish (ATTEMPT, OUTCOME), its final status is decided (VERDICT), and at last no result is pending (ENDED).
     * JOINED attaches another submitter to a pending message, REMEMBERED stores a result for repeated submissions,
     * SNAPSHOT holds the whole state of a message, and PREVIOUS says where the previous segment ended.
     */
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

    /** The content of a segment's header. */
    record Header(int version, long sequence, long salt, long createdWallMicros, BootClock bootClock) {}

    private SegmentFormat() {}

    static ByteBuffer encodeHeader(Header header) {
        ByteBuffer bytes = ByteBuffer.allocate(HEADER_BYTES);
        for (int at = 0; at < HEADER_BYTES; at += HEADER_COPY_BYTES) {
            bytes.position(at);
            bytes.putLong(MAGIC)
                    .putInt(header.version())
                    .putLong(header.sequence())
                    .putLong(header.salt())
                    .putLong(header.createdWallMicros());
            bytes.putLong(header.bootClock().bootId())
                    .putLong(header.bootClock().offsetMicros());
            bytes.putInt(checksum(bytes, at));
        }
        return bytes.position(0);
    }

    private static int checksum(ByteBuffer bytes, int at) {
        CRC32C crc = new CRC32C();
        crc.update(bytes.duplicate().limit(at + HEADER_CONTENT_BYTES).position(at));
        return (int) crc.getValue();
    }

    /** Decodes the header from whichever copy is intact; null if neither is. */
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

    /** The result of checking a position of a segment for a record. */
    enum RecordCheck {
        VALID,
        INVALID,
        INCOMPLETE
    }

    /**
     * Checks the position of the buffer. VALID: it holds a complete record. INCOMPLETE: this can't be decided without
     * more bytes. INVALID: it holds no valid record.
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
        // Zero: its last byte was never written. Any other value was, and is damaged if it is not the end marker.
        boolean complete = in.get(at + length + FRAME_BYTES - 1) != 0;
        return complete && in.getInt(at + CHECKSUM_OFFSET) == checksum(in, at, length, salt)
                ? RecordCheck.VALID
                : RecordCheck.INVALID;
    }

    /** True if the bytes end like a complete record of this length. */
    static boolean endsLikeCompleteRecord(long length, ByteBuffer lastFive) {
        return length >= FRAME_BYTES
                && lastFive.remaining() == TRAILER_BYTES
                && lastFive.getInt(0) == length - FRAME_BYTES
                && lastFive.get(TRAILER_BYTES - 1) == END_MARKER;
    }

    /** The type of the valid record at the position. */
    static RecordType typeAt(ByteBuffer in) {
        return RecordType.of(in.get(in.position() + TYPE_OFFSET));
    }

    /** The content of the valid record at the position; moves the position behind the record. */
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

    /** Encodes consecutive records into a growing buffer; the checksums are added when the salt is known. */
    static final class RecordWriter {
        private ByteBuffer buffer = ByteBuffer.allocate(4096);
        private int recordStart;

        /** Removes all records. */
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

        /** Completes the current record. */
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

        /** Removes everything after the first {@code size} bytes. */
        void truncate(int size) {
            buffer.position(size);
        }

        /** The size of all records so far, in bytes. */
        int size() {
            return buffer.position();
        }

        /** All records, with their checksums for a segment of this salt; valid until the next change. */
        ByteBuffer withChecksums(long salt) {
            ByteBuffer records = buffer.duplicate().flip();
            for (int at = 0; at < records.limit(); ) {
                int length = records.getInt(at + LENGTH_OFFSET);
                records.putInt(at + CHECKSUM_OFFSET, checksum(records, at, length, salt));
                at += length + FRAME_BYTES;
            }
            return records;
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
