package lilaclever.journal;

import java.nio.ByteBuffer;
import lilaclever.identity.CompletedMessage;
import lilaclever.identity.Fingerprint;
import lilaclever.journal.SegmentFormat.RecordType;
import lilaclever.routing.FinalStatus;
import lilaclever.routing.PendingMessage;
import lilaclever.routing.Submission;

/** Decodes the records that {@link RecordEncoder} writes, and applies them to the state. */
final class RecordDecoder {
    private final JournalState state;
    /** Added to decoded wall times, in microseconds. */
    private long wallShiftMicros;

    RecordDecoder(JournalState state) {
        this.state = state;
    }

    /**
     * Sets the shift of wall times for the following records: by how much the wall clock was set since they were
     * written.
     */
    void setWallShift(long shiftMicros) {
        wallShiftMicros = shiftMicros;
    }

    private long readWallMicros(ByteBuffer in) {
        return in.getLong() + wallShiftMicros;
    }

    /** Applies a record; false if its content is invalid. */
    boolean apply(RecordType type, ByteBuffer in, Segment segment, int size) {
        try {
            switch (type) {
                case TAKEN -> state.addAccepted(readMessage(in), segment, size);
                case SNAPSHOT -> {
                    PendingMessage message = readMessage(in);
                    readAttemptsAndStatus(in, message);
                    state.put(message, segment, size);
                }
                case REMEMBERED -> {
                    String identity = SegmentFormat.readText(in);
                    FinalStatus status = readFinalStatus(in);
                    long untilWallMicros = readWallMicros(in);
                    // Version 1 has no fingerprint.
                    boolean hasFingerprint = in.hasRemaining() && SegmentFormat.readFlag(in);
                    state.put(
                            identity,
                            new CompletedMessage<>(
                                    status,
                                    hasFingerprint ? new Fingerprint(in.getLong(), in.getLong()) : null,
                                    untilWallMicros),
                            segment,
                            size);
                }
                case ENDED -> state.removeMessage(SegmentFormat.readText(in));
                case PREVIOUS -> {}
                default -> applyToMessage(type, in);
            }
            return true;
        } catch (RuntimeException e) { // too short, or a number out of range
            return false;
        }
    }

    private void applyToMessage(RecordType type, ByteBuffer in) {
        JournalState.Entry<PendingMessage> entry = state.pending.get(SegmentFormat.readText(in));
        if (entry == null) {
            return; // its message is settled, or a later snapshot covers it
        }
        switch (type) {
            case ATTEMPT -> entry.value.attemptStarted(SegmentFormat.readText(in), in.getInt(), readWallMicros(in));
            case OUTCOME -> entry.value.attemptEnded(SegmentFormat.readFlag(in));
            case JOINED ->
                state.addSubmitter(
                        entry.value,
                        new PendingMessage.Submitter(SegmentFormat.readText(in), SegmentFormat.readText(in)));
            default -> entry.value.setFinalStatus(readFinalStatus(in));
        }
    }

    private PendingMessage readMessage(ByteBuffer in) {
        String front = SegmentFormat.readText(in);
        String id = SegmentFormat.readText(in);
        String identity = SegmentFormat.readFlag(in) ? SegmentFormat.readText(in) : null;
        int messageClass = in.getInt();
        int destination = in.getInt();
        String key = SegmentFormat.readFlag(in) ? SegmentFormat.readText(in) : null;
        boolean resubmitted = SegmentFormat.readFlag(in);
        boolean inherited = SegmentFormat.readFlag(in);
        long budgetMicros = in.getLong();
        long deadlineWallMicros = readWallMicros(in);
        return new PendingMessage(
                front,
                new Submission(
                        id,
                        identity,
                        messageClass,
                        destination,
                        key,
                        SegmentFormat.readBytes(in),
                        resubmitted,
                        inherited,
                        budgetMicros),
                deadlineWallMicros);
    }

    private void readAttemptsAndStatus(ByteBuffer in, PendingMessage message) {
        message.restoreAttempts(
                in.getInt(), SegmentFormat.readFlag(in), SegmentFormat.readText(in), in.getInt(), readWallMicros(in));
        boolean mayHaveRun = SegmentFormat.readFlag(in);
        String host = SegmentFormat.readText(in);
        int zone = in.getInt();
        long wallMicros = readWallMicros(in);
        if (mayHaveRun) {
            message.markMayHaveRun(host, zone, wallMicros);
        }
        if (SegmentFormat.readFlag(in)) {
            message.setFinalStatus(readFinalStatus(in));
        }
        for (int n = in.hasRemaining() ? in.getInt() : 0; n > 0; n--) { // absent in version 1
            message.attach(new PendingMessage.Submitter(SegmentFormat.readText(in), SegmentFormat.readText(in)));
        }
    }

    private static FinalStatus readFinalStatus(ByteBuffer in) {
        return new FinalStatus(FinalStatus.Kind.values()[in.getInt()], in.getLong(), SegmentFormat.readText(in));
    }
}
