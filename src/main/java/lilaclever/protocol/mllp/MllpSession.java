package lilaclever.protocol.mllp;

import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import lilaclever.routing.Core;
import lilaclever.transport.InputBudget;
import lilaclever.transport.PacedInput;
import lilaclever.transport.Transport;
import org.glassfish.grizzly.Connection;

/**
 * One client connection. Bytes are read on the selector thread, messages are handled and answered on the event loop;
 * fields used by both are volatile or atomic. No more messages are read than may be in flight until the event loop has
 * handled some: a client that sends faster than it is served has to wait, and its input takes neither memory nor the
 * time of others.
 */
final class MllpSession {
    /** How a connection has ended. */
    enum End {
        /** The client has closed it, and had read what was written to it. */
        IN_ORDER,
        /** It was reset, or was closed on this side. */
        BROKEN
    }

    /** Limit of acknowledgements that the client has not read yet. */
    private static final long MAX_UNREAD_BYTES = 256 * 1024;
    /** A connection with more unacceptable messages in a row than this is closed. */
    private static final int MAX_CONSECUTIVE_BAD_MESSAGES = 8;

    /** Limit of the bytes of messages that are read and not handled yet; one message more may exceed it. */
    private static final long MAX_UNHANDLED_BYTES = 64 * 1024;

    private static final long TIMEOUT_CHECK_INTERVAL_MICROS = 500_000;
    /** How long the client of an idle connection has to close its side, which confirms what was written to it. */
    private static final long ORDERLY_CLOSE_MICROS = 5_000_000;

    private final MllpFront front;
    private final MllpSettings.Listener listener;
    private final Connection<?> connection;
    final String address;
    private final FrameReader reader;
    private final PacedInput input;
    private final AtomicLong unreadBytes = new AtomicLong();
    private final AtomicInteger unansweredMessages = new AtomicInteger();
    /** When the partial frame began or, without one, when bytes were last received. */
    private volatile long sinceMicros = Core.monotonicMicros();

    private volatile boolean partialFrame, closed;
    /** Used by the selector thread only. */
    private int consecutiveBadMessages;
    /** Whether further input is dropped since the connection is about to close; selector thread. */
    private boolean dropsInput;
    /** The practice of the last request, null before the first one; used by the event loop only. */
    String practice;
    /** Null while the connection is open; used by the event loop only. */
    private End end;

    MllpSession(
            MllpFront front,
            MllpSettings.Listener listener,
            Connection<?> connection,
            String address,
            InputBudget budget) {
        this.front = front;
        this.listener = listener;
        this.connection = connection;
        this.address = address;
        reader = new FrameReader(listener.maxMessageBytes());
        input = new PacedInput(connection, budget, listener.maxInFlight(), MAX_UNHANDLED_BYTES, this::parse);
    }

    // Selector thread
    void onBytes(byte[] bytes) {
        input.received(bytes);
    }

    /** Reads one frame at most; returns the offset of the next byte, or the length if the rest is dropped. */
    private int parse(byte[] bytes, int from) {
        if (closed || dropsInput) {
            return bytes.length;
        }
        boolean wasPartial = partialFrame;
        try {
            int next = reader.read(bytes, from);
            byte[] frame = reader.takeMessage();
            if (frame != null) {
                onFrame(frame);
            }
            partialFrame = reader.isPartial();
            // The timeout of a frame runs from its first byte.
            sinceMicros = partialFrame && wasPartial ? sinceMicros : Core.monotonicMicros();
            return next;
        } catch (FrameReader.MalformedFrameException e) {
            front.recordBadClient(address, e.getMessage());
            close();
            return bytes.length;
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
            front.recordBadClient(address, "too many bad messages in a row");
            dropsInput = true;
            // The last answer is already posted to the event loop and is written before the close.
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
            if (unansweredMessages.get() >= listener.maxInFlight()) {
                Header requestHeader = header; // nothing else is read of a message that is turned away
                post(message.length, () -> front.rejectExcess(this, requestHeader));
                return;
            }
            Request request = front.reader().read(header, message);
            consecutiveBadMessages = 0;
            unansweredMessages.incrementAndGet();
            post(message.length, () -> front.handleRequest(this, request));
        } catch (Hl7Fault e) {
            consecutiveBadMessages++;
            Header requestHeader = header;
            post(message.length, () -> front.rejectUnreadable(this, requestHeader, e));
        }
    }

    /** Passes a message on to the event loop, where it counts as handled once the task has run. */
    private void post(int messageBytes, Runnable task) {
        input.begin(messageBytes);
        front.core().post(() -> {
            try {
                task.run();
            } finally {
                input.handled(messageBytes);
            }
        });
    }

    // Any thread
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

    // Event loop
    /** The connection has ended. */
    void ended(End how) {
        closed = true;
        end = how;
    }

    /** How the connection has ended, or null. */
    End end() {
        return end;
    }

    /** A message of this session has got its first answer. */
    void onAnswered() {
        unansweredMessages.decrementAndGet();
    }

    /** Writes an acknowledgement whose loss needs no handling, as the client then sends the message again. */
    void write(byte[] message) {
        write(message, () -> {}, () -> {});
    }

    /** Writes an acknowledgement, then runs either {@code written} or {@code lost}, on any thread. */
    void write(byte[] message, Runnable written, Runnable lost) {
        byte[] frame = FrameReader.encode(message);
        if (!isOpen()) {
            lost.run();
            return;
        }
        if (unreadBytes.addAndGet(frame.length) > MAX_UNREAD_BYTES) {
            front.recordBadClient(address, "client does not read its acknowledgements");
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

    /** Checks periodically whether the connection has been idle or a frame incomplete for too long. */
    void checkTimeouts() {
        if (!isOpen()) {
            return;
        }
        long nowMicros = Core.monotonicMicros();
        if (input.isPaused()) {
            sinceMicros = nowMicros; // the rest of a frame may wait in the socket
        }
        if (partialFrame && nowMicros - sinceMicros >= listener.frameTimeoutMicros()) {
            front.recordBadClient(address, "frame not completed in time");
            close();
        } else if (!partialFrame
                && unansweredMessages.get() == 0
                && nowMicros - sinceMicros >= listener.idleTimeoutMicros()) {
            closeIdle();
        } else {
            front.core()
                    .deadlines()
                    .schedule(front.core().nowMicros() + TIMEOUT_CHECK_INTERVAL_MICROS, this::checkTimeouts);
        }
    }

    private void closeIdle() {
        if (!front.awaitsConfirmation(this)) {
            close();
            return;
        }
        closed = true; // nothing is read or written any more
        Transport.shutdownOutput(connection);
        front.core().deadlines().schedule(front.core().nowMicros() + ORDERLY_CLOSE_MICROS, this::close);
    }
}
