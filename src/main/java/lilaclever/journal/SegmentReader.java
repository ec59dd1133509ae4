package lilaclever.journal;

import java.io.IOException;
import java.nio.ByteBuffer;
import lilaclever.journal.Format.Look;
import lilaclever.journal.Format.Type;

/**
 * Reads a segment through a window as large as its largest record, so that opening a journal needs memory for live
 * records only, not for all that is on disk.
 */
final class SegmentReader implements AutoCloseable {
    private static final int WINDOW = 64 * 1024;

    /** Receives the contents of a segment in order. */
    interface Listener {
        /** Receives a valid record with its content and its full size; returns false if the content is invalid. */
        boolean record(Type type, ByteBuffer content, long position, int size);

        /** Receives a range of bytes that can't be read. */
        void damage(long from, long to);
    }

    private final Disk.DiskFile file;
    private final long length;
    private final Format.Header header;
    private ByteBuffer window = ByteBuffer.allocate(WINDOW).limit(0);
    private long windowAt;

    SegmentReader(Disk disk, String name) throws IOException {
        file = disk.open(name);
        try {
            length = disk.length(name);
            ByteBuffer bytes = ByteBuffer.allocate(Format.HEADER);
            file.fill(bytes, 0);
            header = ofSegment(name, Format.readHeader(bytes.flip()));
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
    private static Format.Header ofSegment(String name, Format.Header found) {
        long sequence = Segment.sequence(name);
        return found == null || sequence > 0 && found.sequence() != sequence ? null : found;
    }

    /** The header; null if neither copy is intact, or it belongs to another segment. */
    Format.Header header() {
        return header;
    }

    /** Where the previous segment ended, according to the first record of this one; -1 if it does not say. */
    long endOfPrevious() throws IOException {
        if (header == null) {
            return -1;
        }
        ByteBuffer at = window(Format.HEADER);
        if (look(Format.HEADER) != Look.GOOD || Format.type(at) != Type.PREVIOUS) {
            return -1;
        }
        ByteBuffer content = Format.take(at);
        return content.getLong() == header.sequence() - 1 ? content.getLong() : -1;
    }

    /**
     * Reads all records. {@code end} is their known end, or -1: then they end at the first position without a valid
     * record, unless a valid record follows or the record at this position was written completely. Returns the position
     * after the last valid record.
     */
    long read(long end, Listener to) throws IOException {
        if (header == null) {
            if (end < 0 ? lastByte(0) >= 0 : end > 0) {
                to.damage(0, end < 0 ? length : end);
            }
            return 0;
        }
        long limit = end < 0 ? length : Math.min(end, length);
        long at = Format.HEADER;
        long good = at;
        while (at < limit) {
            if (look(at) == Look.GOOD && sound(at, to)) {
                at = windowAt + window.position();
                good = at;
                continue;
            }
            long next = nextGood(at + 1, limit);
            if (next < 0) {
                if (end >= 0 || written(at)) {
                    to.damage(at, limit);
                }
                return good;
            }
            to.damage(at, next);
            at = next;
        }
        if (end > length) {
            to.damage(length, end);
        }
        return good;
    }

    private boolean sound(long at, Listener to) {
        Type type = Format.type(window);
        ByteBuffer content = Format.take(window);
        return to.record(type, content, at, content.remaining() + Format.FRAME);
    }

    /** Checks for a record at a position; enlarges the window until the answer is certain. */
    private Look look(long at) throws IOException {
        window(at);
        Look look = Format.look(window, header.salt());
        while (look == Look.MORE && windowAt + window.limit() < length) {
            refill(
                    at,
                    window.limit() - window.position() < window.capacity() ? window.capacity() : 2 * window.capacity());
            look = Format.look(window, header.salt());
        }
        return look;
    }

    private long nextGood(long from, long limit) throws IOException {
        for (long at = from; at < limit; at++) {
            if (look(at) == Look.GOOD) {
                return at;
            }
        }
        return -1;
    }

    /** An interrupted write leaves the beginning of a record; a complete record repeats its length at its end. */
    private boolean written(long at) throws IOException {
        long last = lastByte(at);
        ByteBuffer trailer = ByteBuffer.allocate(5);
        if (last - at >= trailer.capacity()) {
            file.fill(trailer, last + 1 - trailer.capacity());
        }
        return Format.endsWhole(last + 1 - at, trailer.flip());
    }

    /** The position of the last byte that is not zero, from here on; -1 if there is none. */
    private long lastByte(long from) throws IOException {
        long last = -1;
        for (long at = from; at < length; at++) {
            ByteBuffer here = window(at);
            if (!here.hasRemaining()) {
                break;
            }
            last = here.get() != 0 ? at : last;
        }
        return last;
    }

    /** Returns the window with its position at {@code at}, and refills it if it does not contain that byte. */
    private ByteBuffer window(long at) throws IOException {
        if (at < windowAt || at >= windowAt + window.limit()) {
            refill(at, window.capacity());
        }
        return window.position((int) (at - windowAt));
    }

    private void refill(long at, int capacity) throws IOException {
        if (capacity != window.capacity()) {
            window = ByteBuffer.allocate(capacity);
        }
        window.clear();
        file.fill(window, at);
        window.flip();
        windowAt = at;
    }

    @Override
    public void close() throws IOException {
        file.close();
    }
}
