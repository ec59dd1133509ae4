package lilaclever.journal;

import java.io.IOException;
import java.nio.ByteBuffer;
import lilaclever.journal.SegmentFormat.RecordCheck;
import lilaclever.journal.SegmentFormat.RecordType;

/**
 * Reads a segment through a window as large as its largest record, so that opening a journal needs memory for live
 * records only, not for all that is on disk.
 */
final class SegmentReader implements AutoCloseable {
    private static final int INITIAL_WINDOW_BYTES = 64 * 1024;

    /** Receives the contents of a segment in order. */
    interface Listener {
        /** Receives a valid record with its content and its full size; returns false if the content is invalid. */
        boolean onRecord(RecordType type, ByteBuffer content, long position, int size);

        /** Receives a range of bytes that can't be read. */
        void onDamage(long from, long to);
    }

    private final Disk.DiskFile file;
    private final long lengthBytes;
    private final SegmentFormat.Header header;
    private ByteBuffer window = ByteBuffer.allocate(INITIAL_WINDOW_BYTES).limit(0);
    private long windowStart;

    SegmentReader(Disk disk, String name) throws IOException {
        file = disk.open(name);
        try {
            lengthBytes = disk.length(name);
            ByteBuffer bytes = ByteBuffer.allocate(SegmentFormat.HEADER_BYTES);
            file.readFully(bytes, 0);
            header = headerOfSegment(name, SegmentFormat.decodeHeader(bytes.flip()));
        } catch (IOException | RuntimeException e) {
            file.close();
            throw e;
        }
    }

    /**
     * Returns the header if it belongs to the segment of this name. A machine failure may preserve the new name of a
     * recycled file but not its new header; with the old header, records of the earlier use would pass for records of
     * this segment.
     */
    private static SegmentFormat.Header headerOfSegment(String name, SegmentFormat.Header decoded) {
        long sequence = Segment.sequenceOf(name);
        return decoded == null || sequence > 0 && decoded.sequence() != sequence ? null : decoded;
    }

    /** The header; null if neither copy is intact, or it belongs to another segment. */
    SegmentFormat.Header header() {
        return header;
    }

    /** Where the previous segment ended, according to the first record of this one; -1 if it does not say. */
    long previousSegmentEnd() throws IOException {
        if (header == null) {
            return -1;
        }
        ByteBuffer record = moveWindow(SegmentFormat.HEADER_BYTES);
        if (checkAt(SegmentFormat.HEADER_BYTES) != RecordCheck.VALID
                || SegmentFormat.typeAt(record) != RecordType.PREVIOUS) {
            return -1;
        }
        ByteBuffer content = SegmentFormat.takeContent(record);
        return content.getLong() == header.sequence() - 1 ? content.getLong() : -1;
    }

    /**
     * Reads all records. {@code knownEnd} is where they end, or -1: then they end at the first position without a valid
     * record, unless a valid record follows or the record at this position was written completely. Returns the position
     * after the last valid record.
     */
    long read(long knownEnd, Listener listener) throws IOException {
        if (header == null) {
            if (knownEnd < 0 ? lastNonZeroByte(0) >= 0 : knownEnd > 0) {
                listener.onDamage(0, knownEnd < 0 ? lengthBytes : knownEnd);
            }
            return 0;
        }
        long limit = knownEnd < 0 ? lengthBytes : Math.min(knownEnd, lengthBytes);
        long position = SegmentFormat.HEADER_BYTES;
        long validEnd = position;
        while (position < limit) {
            if (checkAt(position) == RecordCheck.VALID && deliverRecord(position, listener)) {
                position = windowStart + window.position();
                validEnd = position;
                continue;
            }
            long nextValid = findNextValid(position + 1, limit);
            if (nextValid < 0) {
                if (knownEnd >= 0 || isCompletelyWritten(position)) {
                    listener.onDamage(position, limit);
                }
                return validEnd;
            }
            listener.onDamage(position, nextValid);
            position = nextValid;
        }
        if (knownEnd > lengthBytes) {
            listener.onDamage(lengthBytes, knownEnd);
        }
        return validEnd;
    }

    private boolean deliverRecord(long position, Listener listener) {
        RecordType type = SegmentFormat.typeAt(window);
        ByteBuffer content = SegmentFormat.takeContent(window);
        return listener.onRecord(type, content, position, content.remaining() + SegmentFormat.FRAME_BYTES);
    }

    /** Checks for a record at a position; enlarges the window until the answer is certain. */
    private RecordCheck checkAt(long position) throws IOException {
        moveWindow(position);
        RecordCheck check = SegmentFormat.checkRecord(window, header.salt());
        while (check == RecordCheck.INCOMPLETE && windowStart + window.limit() < lengthBytes) {
            refill(
                    position,
                    window.limit() - window.position() < window.capacity() ? window.capacity() : 2 * window.capacity());
            check = SegmentFormat.checkRecord(window, header.salt());
        }
        return check;
    }

    private long findNextValid(long from, long limit) throws IOException {
        for (long position = from; position < limit; position++) {
            if (checkAt(position) == RecordCheck.VALID) {
                return position;
            }
        }
        return -1;
    }

    /** An interrupted write leaves the beginning of a record; a complete record repeats its length at its end. */
    private boolean isCompletelyWritten(long position) throws IOException {
        long lastPosition = lastNonZeroByte(position);
        ByteBuffer trailer = ByteBuffer.allocate(5);
        if (lastPosition - position >= trailer.capacity()) {
            file.readFully(trailer, lastPosition + 1 - trailer.capacity());
        }
        return SegmentFormat.endsLikeCompleteRecord(lastPosition + 1 - position, trailer.flip());
    }

    /** The position of the last byte that is not zero, from here on; -1 if there is none. */
    private long lastNonZeroByte(long from) throws IOException {
        long lastPosition = -1;
        for (long position = from; position < lengthBytes; position++) {
            ByteBuffer bytes = moveWindow(position);
            if (!bytes.hasRemaining()) {
                break;
            }
            lastPosition = bytes.get() != 0 ? position : lastPosition;
        }
        return lastPosition;
    }

    /** Moves the position of the window to a byte of the file; refills the window if it does not contain that byte. */
    private ByteBuffer moveWindow(long position) throws IOException {
        if (position < windowStart || position >= windowStart + window.limit()) {
            refill(position, window.capacity());
        }
        return window.position((int) (position - windowStart));
    }

    private void refill(long position, int capacity) throws IOException {
        if (capacity != window.capacity()) {
            window = ByteBuffer.allocate(capacity);
        }
        window.clear();
        file.readFully(window, position);
        window.flip();
        windowStart = position;
    }

    @Override
    public void close() throws IOException {
        file.close();
    }
}
