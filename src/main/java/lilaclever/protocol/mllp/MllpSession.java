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
    private static final long MAX_UNREAD_BYTES = 256 * 1024;
    /** Frames in a row that were no message: a client that sends nothing else is sent away. */
    private static final int MAX_CONSECUTIVE_BAD_MESSAGES = 8;

    private static final long TIMEOUT_CHECK_INTERVAL_MICROS = 500_000;

    private final MllpFront front;
    private final MllpSettings.Listener listener;
    private final Connection<?> connection;
    final String address;
    private final FrameReader reader;
    private final AtomicLong unreadBytes = new AtomicLong();
    private final AtomicInteger unanswered = new AtomicInteger();
    private volatile long sinceMicros = Core.monotonicMicros();
    private volatile boolean partialFrame, closed;
    /** Selector thread. */
    private int consecutiveBadMessages;
    /** Whose it is, once a message has told; loop thread. */
    String practice;

    MllpSession(MllpFront front, MllpSettings.Listener listener, Connection<?> connection, String address) {
        this.front = front;
        this.listener = listener;
        this.connection = connection;
        this.address = address;
        reader = new FrameReader(listener.maxMessageBytes());
    }

    // ---- selector thread --------------------------------------------------------------------------------
    void onBytes(byte[] bytes) {
        if (closed) {
            return;
        }
        boolean wasPartial = partialFrame;
        try {
            for (byte[] frame : reader.read(bytes)) {
                wasPartial = false;
                onFrame(frame);
            }
            partialFrame = reader.isPartial();
            sinceMicros = partialFrame && wasPartial
                    ? sinceMicros
                    : Core.monotonicMicros(); // a frame counts from its first byte
        } catch (FrameReader.MalformedFrameException e) {
            front.recordBadClient(address, e.getMessage());
            close();
        }
    }

    private void onFrame(byte[] frame) {
        List<byte[]> messages = List.of(frame);
        Hl7Fault fault = null;
        try {
            messages = Batch.isBatch(frame) ? Batch.split(frame) : messages;
        } catch (Hl7Fault e) {
            fault = e;
        }
        for (byte[] message : messages) {
            onMessage(message, fault);
        }
        if (consecutiveBadMessages > MAX_CONSECUTIVE_BAD_MESSAGES) {
            front.recordBadClient(address, "nothing but bad messages");
            // Its last answer is on the way to the loop, and goes out before the close.
            front.core().post(() -> Transport.write(connection, new byte[0], this::close, this::close));
        }
    }

    private void onMessage(byte[] message, Hl7Fault batchFault) {
        Header header = Header.placeholder();
        try {
            if (batchFault != null) {
                throw batchFault;
            }
            header = Header.read(message);
            Request request = front.reader().read(header, message);
            consecutiveBadMessages = 0;
            boolean tooMany = unanswered.incrementAndGet() > listener.maxInFlight();
            front.core().post(() -> front.handleRequest(this, request, tooMany));
        } catch (Hl7Fault e) {
            consecutiveBadMessages++;
            Header requestHeader = header;
            front.core().post(() -> front.rejectUnreadable(this, requestHeader, e));
        }
    }

    // ---- any thread -------------------------------------------------------------------------------------
    MllpSettings.Listener listener() {
        return listener;
    }

    void close() {
        closed = true;
        connection.closeSilently();
    }

    boolean isOpen() {
        return !closed && connection.isOpen();
    }

    // ---- loop thread ------------------------------------------------------------------------------------
    /** The message has its first answer. */
    void onAnswered() {
        unanswered.decrementAndGet();
    }

    /** Writes an acknowledgement that nothing depends on: where it is lost, its client asks again. */
    void write(byte[] message) {
        write(message, () -> {}, () -> {});
    }

    /** Writes an acknowledgement; one of the two is run, on any thread. */
    void write(byte[] message, Runnable written, Runnable lost) {
        byte[] frame = FrameReader.encode(message);
        if (!isOpen()) {
            lost.run();
            return;
        }
        if (unreadBytes.addAndGet(frame.length) > MAX_UNREAD_BYTES) {
            front.recordBadClient(address, "answers are not read");
            close();
            lost.run();
            return;
        }
        Transport.write(
                connection,
                frame,
                () -> {
                    unreadBytes.addAndGet(-frame.length);
                    written.run();
                },
                () -> {
                    close();
                    lost.run();
                });
    }

    /** Looks now and then whether it has been silent or in a frame for too long. */
    void checkTimeouts() {
        if (!isOpen()) {
            return;
        }
        long nowMicros = Core.monotonicMicros();
        if (partialFrame && nowMicros - sinceMicros >= listener.frameTimeoutMicros()) {
            front.recordBadClient(address, "a frame without an end");
            close();
        } else if (!partialFrame && unanswered.get() == 0 && nowMicros - sinceMicros >= listener.idleTimeoutMicros()) {
            close();
        } else {
            front.core()
                    .deadlines()
                    .schedule(front.core().nowMicros() + TIMEOUT_CHECK_INTERVAL_MICROS, this::checkTimeouts);
        }
    }
}
