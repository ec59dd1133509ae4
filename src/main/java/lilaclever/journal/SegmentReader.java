package lilaclever.journal;

import java.io.IOException;
import java.nio.ByteBuffer;
import lilaclever.journal.SegmentFormat.Look;
import lilaclever.journal.SegmentFormat.Type;

/**
 * Reads one segment through a window that is as large as its largest record, so that opening a journal takes the
 * memory of what is live and not of what is on disk.
 */
final class SegmentReader implements AutoCloseable {
    private static final int WINDOW = 64 * 1024;

    /** Hears what stands in a segment, in its order. */
    interface Listener {
        /** A good record, its content and its size with the frame; false if the content makes no sense. */
        boolean record(Type type, ByteBuffer content, long position, int size);

        /** Bytes that can't be read, from one position to another. */
        void damage(long from, long to);
    }

    private final Disk.DiskFile file;
    private final long length;
    private final SegmentFormat.Header header;
    private ByteBuffer window = ByteBuffer.allocate(WINDOW).limit(0);
    private long windowAt;

    SegmentReader(Disk disk, String name) throws IOException {
        file = disk.open(name);
        try {
            length = disk.length(name);
            ByteBuffer bytes = ByteBuffer.allocate(SegmentFormat.HEADER);
            file.fill(bytes, 0);
            header = ofSegment(name, SegmentFormat.readHeader(bytes.flip()));
        } catch (IOException | RuntimeException e) {
            file.close();
            throw e;
        }
    }

    /**
     * The header, if it is that of the segment by that name. Where a failure of the machine has kept a file's new name
     * and not its new header, the old one is there, and records of the file's earlier use would pass for this one's.
     */
    private static SegmentFormat.Header ofSegment(String name, SegmentFormat.Header found) {
        long sequence = Segment.sequence(name);
        return found == null || sequence > 0 && found.sequence() != sequence ? null : found;
    }

    /** The header; null if neither of its copies can be read, or it is another segment's. */
    SegmentFormat.Header header() {
        return header;
    }

    /** Where the segment before this one ended, as this one's first record says; -1 if it does not. */
    long endOfPrevious() throws IOException {
        if (header == null) {
            return -1;
        }
        ByteBuffer at = window(SegmentFormat.HEADER);
        if (look(SegmentFormat.HEADER) != Look.GOOD || SegmentFormat.type(at) != Type.PREVIOUS) {
            return -1;
        }
        ByteBuffer content = SegmentFormat.take(at);
        return content.getLong() == header.sequence() - 1 ? content.getLong() : -1;
    }

    /**
     * Reads all records. {@code end} is where they are known to end, or -1: then the first place where no record
     * stands is the end, unless a good one stands behind it or what stands there was written whole.
     * Gives the position behind the last good record.
     */
    long read(long end, Listener to) throws IOException {
        if (header == null) {
            if (end < 0 ? lastByte(0) >= 0 : end > 0) {
                to.damage(0, end < 0 ? length : end);
            }
            return 0;
        }
        long limit = end < 0 ? length : Math.min(end, length);
        long at = SegmentFormat.HEADER;
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
        Type type = SegmentFormat.type(window);
        ByteBuffer content = SegmentFormat.take(window);
        return to.record(type, content, at, content.remaining() + SegmentFormat.FRAME);
    }

    /** Looks at a place, with a window that is large enough to tell. */
    private Look look(long at) throws IOException {
        window(at);
        Look look = SegmentFormat.look(window, header.salt());
        while (look == Look.MORE && windowAt + window.limit() < length) {
            refill(
                    at,
                    window.limit() - window.position() < window.capacity() ? window.capacity() : 2 * window.capacity());
            look = SegmentFormat.look(window, header.salt());
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

    /** A writing that was cut short leaves the beginning of a record; a whole one says at its end how long it is. */
    private boolean written(long at) throws IOException {
        long last = lastByte(at);
        ByteBuffer trailer = ByteBuffer.allocate(5);
        if (last - at >= trailer.capacity()) {
            file.fill(trailer, last + 1 - trailer.capacity());
        }
        return SegmentFormat.endsWhole(last + 1 - at, trailer.flip());
    }

    /** Where the last byte is, from here on, that is not zero; -1 if all are. */
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

    /** The window, moved so that it begins at the position or before, with its own position there. */
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
