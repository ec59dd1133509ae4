package lilaclever.journal;

import java.io.IOException;
import java.nio.ByteBuffer;
import lilaclever.journal.SegmentFormat.RecordCheck;
import lilaclever.journal.SegmentFormat.RecordType;

/**
 * Reads one segment through a window that is as large as its largest record, so that opening a journal takes the
 * memory of what is live and not of what is on disk.
 */
final class SegmentReader implements AutoCloseable {
    private static final int INITIAL_WINDOW_BYTES = 64 * 1024;

    /** Hears what stands in a segment, in its order. */
    interface Listener {
        /** A good record, its content and its size with the frame; false if the content makes no sense. */
        boolean onRecord(RecordType type, ByteBuffer content, long position, int size);

        /** Bytes that can't be read, from one position to another. */
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
     * The header, if it is that of the segment by that name. Where a failure of the machine has kept a file's new name
     * and not its new header, the old one is there, and records of the file's earlier use would pass for this one's.
     */
    private static SegmentFormat.Header headerOfSegment(String name, SegmentFormat.Header found) {
        long sequence = Segment.sequenceOf(name);
        return found == null || sequence > 0 && found.sequence() != sequence ? null : found;
    }

    /** The header; null if neither of its copies can be read, or it is another segment's. */
    SegmentFormat.Header header() {
        return header;
    }

    /** Where the segment before this one ended, as this one's first record says; -1 if it does not. */
    long previousSegmentEnd() throws IOException {
        if (header == null) {
            return -1;
        }
        ByteBuffer at = moveWindow(SegmentFormat.HEADER_BYTES);
        if (checkAt(SegmentFormat.HEADER_BYTES) != RecordCheck.VALID || SegmentFormat.typeAt(at) != RecordType.PREVIOUS) {
            return -1;
        }
        ByteBuffer content = SegmentFormat.takeContent(at);
        return content.getLong() == header.sequence() - 1 ? content.getLong() : -1;
    }

    /**
     * Reads all records. {@code end} is where they are known to end, or -1: then the first place where no record
     * stands is the end, unless a good one stands behind it or what stands there was written whole.
     * Gives the position behind the last good record.
     */
    long read(long end, Listener to) throws IOException {
        if (header == null) {
            if (end < 0 ? lastNonZeroByte(0) >= 0 : end > 0) {
                to.onDamage(0, end < 0 ? lengthBytes : end);
            }
            return 0;
        }
        long limit = end < 0 ? lengthBytes : Math.min(end, lengthBytes);
        long at = SegmentFormat.HEADER_BYTES;
        long good = at;
        while (at < limit) {
            if (checkAt(at) == RecordCheck.VALID && deliverRecord(at, to)) {
                at = windowStart + window.position();
                good = at;
                continue;
            }
            long next = findNextValid(at + 1, limit);
            if (next < 0) {
                if (end >= 0 || isCompletelyWritten(at)) {
                    to.onDamage(at, limit);
                }
                return good;
            }
            to.onDamage(at, next);
            at = next;
        }
        if (end > lengthBytes) {
            to.onDamage(lengthBytes, end);
        }
        return good;
    }

    private boolean deliverRecord(long at, Listener to) {
        RecordType type = SegmentFormat.typeAt(window);
        ByteBuffer content = SegmentFormat.takeContent(window);
        return to.onRecord(type, content, at, content.remaining() + SegmentFormat.FRAME_BYTES);
    }

    /** Looks at a place, with a window that is large enough to tell. */
    private RecordCheck checkAt(long at) throws IOException {
        moveWindow(at);
        RecordCheck look = SegmentFormat.checkRecord(window, header.salt());
        while (look == RecordCheck.INCOMPLETE && windowStart + window.limit() < lengthBytes) {
            refill(
                    at,
                    window.limit() - window.position() < window.capacity() ? window.capacity() : 2 * window.capacity());
            look = SegmentFormat.checkRecord(window, header.salt());
        }
        return look;
    }

    private long findNextValid(long from, long limit) throws IOException {
        for (long at = from; at < limit; at++) {
            if (checkAt(at) == RecordCheck.VALID) {
                return at;
            }
        }
        return -1;
    }

    /** A writing that was cut short leaves the beginning of a record; a whole one says at its end how long it is. */
    private boolean isCompletelyWritten(long at) throws IOException {
        long last = lastNonZeroByte(at);
        ByteBuffer trailer = ByteBuffer.allocate(5);
        if (last - at >= trailer.capacity()) {
            file.readFully(trailer, last + 1 - trailer.capacity());
        }
        return SegmentFormat.endsLikeCompleteRecord(last + 1 - at, trailer.flip());
    }

    /** Where the last byte is, from here on, that is not zero; -1 if all are. */
    private long lastNonZeroByte(long from) throws IOException {
        long last = -1;
        for (long at = from; at < lengthBytes; at++) {
            ByteBuffer here = moveWindow(at);
            if (!here.hasRemaining()) {
                break;
            }
            last = here.get() != 0 ? at : last;
        }
        return last;
    }

    /** The window, moved so that it begins at the position or before, with its own position there. */
    private ByteBuffer moveWindow(long at) throws IOException {
        if (at < windowStart || at >= windowStart + window.limit()) {
            refill(at, window.capacity());
        }
        return window.position((int) (at - windowStart));
    }

    private void refill(long at, int capacity) throws IOException {
        if (capacity != window.capacity()) {
            window = ByteBuffer.allocate(capacity);
        }
        window.clear();
        file.readFully(window, at);
        window.flip();
        windowStart = at;
    }

    @Override
    public void close() throws IOException {
        file.close();
    }
}
