package lilaclever.soak;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.SplittableRandom;
import java.util.Timer;
import java.util.TimerTask;
import lilaclever.simulation.sockets.StandInConnection;

/** The server's side of a connection, which writes answers with faults. Writing is serialized; any thread. */
final class FaultyConnection extends StandInConnection {
    private static final int MAX_PIECES = 40;
    private static final int PIECE_PAUSE_MILLIS = 2;
    private static final int MAX_IDLE_MILLIS_BEFORE_CLOSE = 400;
    private static final Timer TIMER = new Timer("faults", true);

    /** Says when the part of an answer was written that decides its request. */
    interface Decided {
        /** {@code isWritten}: else the connection ended, or will end, without an answer. */
        void accept(boolean isWritten, long nanos);
    }

    private final AnswerFaults faults;
    private final SplittableRandom random;
    /** A copy to be written once the next request has been read, or after a delay. */
    private String pendingCopy;

    FaultyConnection(Socket socket, AnswerFaults faults, SplittableRandom random) throws IOException {
        super(socket);
        this.faults = faults;
        this.random = random;
    }

    /** A request has been read: writes the copy of an earlier answer that waits for it. */
    synchronized void requestRead() throws IOException {
        writePendingCopy();
    }

    private synchronized void writePendingCopy() throws IOException {
        String copy = pendingCopy;
        pendingCopy = null;
        if (copy != null) {
            writeText(copy);
        }
    }

    /**
     * Writes an answer; returns the fault played and false for "no further requests". {@code needsWhole}: the request
     * is decided by the whole answer, not by its status line.
     */
    synchronized AnswerFaults.Kind answer(
            String status, String body, boolean needsWhole, Decided decided, String... headers)
            throws IOException, InterruptedException {
        if (!isOpen()) {
            decided.accept(false, System.nanoTime());
            throw new IOException("one side has ended the connection: nothing that is written now is read");
        }
        AnswerFaults.Kind kind = faults.draw(random);
        String answer = text(status, body, body.length(), headers);
        switch (kind) {
            case RESET -> {
                decided.accept(false, System.nanoTime());
                reset();
            }
            case CUT -> {
                decided.accept(!needsWhole, System.nanoTime());
                writeText(answer.substring(0, answer.length() - 2));
                close();
            }
            case NEVER_ENDED -> {
                decided.accept(!needsWhole, System.nanoTime());
                writeText(answer.substring(0, answer.length() - 2));
            }
            case WRONG_LENGTH -> {
                decided.accept(!needsWhole, System.nanoTime());
                writeText(text(status, body, body.length() + 7, headers));
            }
            case INTERIM -> {
                writeText("HTTP/1.1 100 Continue\r\n\r\n");
                decided.accept(true, System.nanoTime());
                writeText(answer);
            }
            case IN_PIECES -> {
                decided.accept(true, System.nanoTime());
                writeInPieces(answer);
            }
            default -> {
                decided.accept(true, System.nanoTime());
                writeText(answer);
                repeat(kind, answer);
            }
        }
        return kind;
    }

    private void repeat(AnswerFaults.Kind kind, String answer) {
        int delayMillis = faults.maxRepeatDelayMillis() == 0 ? 0 : random.nextInt(faults.maxRepeatDelayMillis() + 1);
        switch (kind) {
            case REPEATED_LATER -> later(delayMillis, () -> writeText(answer));
            case REPEATED_AFTER_NEXT_REQUEST -> {
                pendingCopy = answer;
                later(faults.maxRepeatDelayMillis(), this::writePendingCopy);
            }
            case REPEATED_CUT -> {
                String part = answer.substring(0, 1 + random.nextInt(answer.length() - 1));
                later(delayMillis, () -> writeText(part));
            }
            case REPEATED_IN_PIECES -> later(delayMillis, () -> writeInPieces(answer));
            case CLOSED_IDLE -> later(random.nextInt(MAX_IDLE_MILLIS_BEFORE_CLOSE), this::close);
            default -> {}
        }
    }

    private interface Write {
        void run() throws IOException, InterruptedException;
    }

    private void later(int delayMillis, Write write) {
        TIMER.schedule(
                new TimerTask() {
                    @Override
                    public void run() {
                        try {
                            synchronized (FaultyConnection.this) {
                                write.run();
                            }
                        } catch (IOException | InterruptedException e) {
                            // the other side has closed the connection
                        }
                    }
                },
                delayMillis);
    }

    private void writeInPieces(String answer) throws IOException, InterruptedException {
        int pieceLength = Math.max(1, answer.length() / MAX_PIECES);
        for (int at = 0; at < answer.length(); at += pieceLength) {
            writeText(answer.substring(at, Math.min(answer.length(), at + pieceLength)));
            Thread.sleep(PIECE_PAUSE_MILLIS); // a slow network
        }
    }

    private static String text(String status, String body, int announcedLength, String... headers) {
        StringBuilder text = new StringBuilder("HTTP/1.1 " + status + "\r\n");
        for (String header : headers) {
            text.append(header).append("\r\n");
        }
        if (!status.startsWith("204")) {
            text.append("Content-Length: ").append(announcedLength).append("\r\n");
        }
        String head = text.append("\r\n").toString();
        return head + new String(body.getBytes(StandardCharsets.UTF_8), StandardCharsets.ISO_8859_1);
    }
}
