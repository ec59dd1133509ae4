package lilaclever.protocol.mllp;

import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import lilaclever.routing.Core;
import lilaclever.transport.Transport;
import org.glassfish.grizzly.Connection;

/**
 * One client's connection. Bytes are read on the selector thread, messages are taken and answered on the loop's; the
 * fields that both use are volatile or atomic.
 */
final class MllpSession {
    /** Answers that the client has not read yet, bytes. */
    private static final long MOST_UNREAD = 256 * 1024;
    /** Frames in a row that were no message: a client that sends nothing else is sent away. */
    private static final int MOST_BAD = 8;

    private static final long LOOK = 500_000;

    private final MllpFront front;
    private final MllpSettings.Listener listener;
    private final Connection<?> connection;
    final String address;
    private final FrameReader reader;
    private final AtomicLong unread = new AtomicLong();
    private final AtomicInteger unanswered = new AtomicInteger();
    private volatile long since = Core.monotonicMicros();
    private volatile boolean partial, over;
    /** Selector thread. */
    private int bad;
    /** Whose it is, once a message has told; loop thread. */
    String practice;

    MllpSession(MllpFront front, MllpSettings.Listener listener, Connection<?> connection, String address) {
        this.front = front;
        this.listener = listener;
        this.connection = connection;
        this.address = address;
        reader = new FrameReader(listener.largest());
    }

    // ---- selector thread --------------------------------------------------------------------------------
    void bytes(byte[] in) {
        if (over) {
            return;
        }
        boolean was = partial;
        try {
            for (byte[] frame : reader.read(in)) {
                was = false;
                frame(frame);
            }
            partial = reader.isPartial();
            since = partial && was ? since : Core.monotonicMicros(); // a frame counts from its first byte
        } catch (FrameReader.MalformedFrameException e) {
            front.bad(address, e.getMessage());
            close();
        }
    }

    private void frame(byte[] frame) {
        List<byte[]> messages = List.of(frame);
        Hl7Fault fault = null;
        try {
            messages = Batch.isBatch(frame) ? Batch.split(frame) : messages;
        } catch (Hl7Fault e) {
            fault = e;
        }
        for (byte[] message : messages) {
            message(message, fault);
        }
        if (bad > MOST_BAD) {
            front.bad(address, "nothing but bad messages");
            // Its last answer is on the way to the loop, and goes out before the close.
            front.core().post(() -> Transport.write(connection, new byte[0], this::close, this::close));
        }
    }

    private void message(byte[] message, Hl7Fault batchFault) {
        Header header = Header.placeholder();
        try {
            if (batchFault != null) {
                throw batchFault;
            }
            header = Header.read(message);
            Request request = front.reader().read(header, message);
            bad = 0;
            boolean tooMany = unanswered.incrementAndGet() > listener.inFlight();
            front.core().post(() -> front.take(this, request, tooMany));
        } catch (Hl7Fault e) {
            bad++;
            Header to = header;
            front.core().post(() -> front.refuse(this, to, e));
        }
    }

    // ---- any thread -------------------------------------------------------------------------------------
    MllpSettings.Listener listener() {
        return listener;
    }

    void close() {
        over = true;
        connection.closeSilently();
    }

    boolean isOpen() {
        return !over && connection.isOpen();
    }

    // ---- loop thread ------------------------------------------------------------------------------------
    /** The message has its first answer. */
    void answered() {
        unanswered.decrementAndGet();
    }

    /** Writes an acknowledgement that nothing depends on: where it is lost, its client asks again. */
    void write(byte[] message) {
        write(message, () -> {}, () -> {});
    }

    /** Writes an acknowledgement; one of the two is run, on any thread. */
    void write(byte[] message, Runnable written, Runnable lost) {
        byte[] frame = FrameReader.frame(message);
        if (!isOpen()) {
            lost.run();
            return;
        }
        if (unread.addAndGet(frame.length) > MOST_UNREAD) {
            front.bad(address, "answers are not read");
            close();
            lost.run();
            return;
        }
        Transport.write(
                connection,
                frame,
                () -> {
                    unread.addAndGet(-frame.length);
                    written.run();
                },
                () -> {
                    close();
                    lost.run();
                });
    }

    /** Looks now and then whether it has been silent or in a frame for too long. */
    void look() {
        if (!isOpen()) {
            return;
        }
        long now = Core.monotonicMicros();
        if (partial && now - since >= listener.wholeMicros()) {
            front.bad(address, "a frame without an end");
            close();
        } else if (!partial && unanswered.get() == 0 && now - since >= listener.idleMicros()) {
            close();
        } else {
            front.core().deadlines().schedule(front.core().nowMicros() + LOOK, this::look);
        }
    }
}
