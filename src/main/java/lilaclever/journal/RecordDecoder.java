package lilaclever.journal;

import java.nio.ByteBuffer;
import lilaclever.identity.CompletedMessage;
import lilaclever.identity.Fingerprint;
import lilaclever.journal.SegmentFormat.RecordType;
import lilaclever.routing.FinalStatus;
import lilaclever.routing.PendingMessage;
import lilaclever.routing.Submission;

/** Reads the records that {@link RecordEncoder} writes, and applies them to the state. */
final class RecordDecoder {
    private final JournalState state;
    /** What to add to walls that are read, microseconds. */
    private long wallShiftMicros;

    RecordDecoder(JournalState state) {
        this.state = state;
    }

    /** The wall clock was set by so much since what is read from now on was written. */
    void setWallShift(long micros) {
        wallShiftMicros = micros;
    }

    private long readWallMicros(ByteBuffer in) {
        return in.getLong() + wallShiftMicros;
    }

    /** Applies a record; false if its content makes no sense. */
    boolean apply(RecordType type, ByteBuffer in, Segment segment, int size) {
        try {
            switch (type) {
                case TAKEN -> state.addAccepted(readMessage(in), segment, size);
                case SNAPSHOT -> {
                    PendingMessage o = readMessage(in);
                    readAttemptsAndStatus(in, o);
                    state.put(o, segment, size);
                }
                case REMEMBERED -> {
                    String identity = SegmentFormat.readText(in);
                    FinalStatus end = readFinalStatus(in);
                    long until = readWallMicros(in);
                    // Version 1 has no fingerprint.
                    boolean compared = in.hasRemaining() && SegmentFormat.readFlag(in);
                    state.put(
                            identity,
                            new CompletedMessage<>(
                                    end, compared ? new Fingerprint(in.getLong(), in.getLong()) : null, until),
                            segment,
                            size);
                }
                case ENDED -> state.removeMessage(SegmentFormat.readText(in));
                case PREVIOUS -> {}
                default -> applyToMessage(type, in);
            }
            return true;
        } catch (RuntimeException e) { // too short, or a number out of its range
            return false;
        }
    }

    private void applyToMessage(RecordType type, ByteBuffer in) {
        JournalState.Entry<PendingMessage> slot = state.pending.get(SegmentFormat.readText(in));
        if (slot == null) {
            return; // its message has ended, or a later record tells all of it
        }
        switch (type) {
            case ATTEMPT -> slot.value.attemptStarted(SegmentFormat.readText(in), in.getInt(), readWallMicros(in));
            case OUTCOME -> slot.value.attemptEnded(SegmentFormat.readFlag(in));
            case JOINED -> state.addClaim(slot.value, new PendingMessage.Submitter(SegmentFormat.readText(in), SegmentFormat.readText(in)));
            default -> slot.value.setFinalStatus(readFinalStatus(in));
        }
    }

    private PendingMessage readMessage(ByteBuffer in) {
        String front = SegmentFormat.readText(in);
        String id = SegmentFormat.readText(in);
        String identity = SegmentFormat.readFlag(in) ? SegmentFormat.readText(in) : null;
        int messageClass = in.getInt();
        int destination = in.getInt();
        String key = SegmentFormat.readFlag(in) ? SegmentFormat.readText(in) : null;
        boolean again = SegmentFormat.readFlag(in);
        boolean inherited = SegmentFormat.readFlag(in);
        long budget = in.getLong();
        long deadline = readWallMicros(in);
        return new PendingMessage(
                front,
                new Submission(
                        id, identity, messageClass, destination, key, SegmentFormat.readBytes(in), again, inherited, budget),
                deadline);
    }

    private void readAttemptsAndStatus(ByteBuffer in, PendingMessage o) {
        o.restoreAttempts(in.getInt(), SegmentFormat.readFlag(in), SegmentFormat.readText(in), in.getInt(), readWallMicros(in));
        boolean mayHaveRun = SegmentFormat.readFlag(in);
        String host = SegmentFormat.readText(in);
        int zone = in.getInt();
        long wall = readWallMicros(in);
        if (mayHaveRun) {
            o.markPossiblyRun(host, zone, wall);
        }
        if (SegmentFormat.readFlag(in)) {
            o.setFinalStatus(readFinalStatus(in));
        }
        for (int n = in.hasRemaining() ? in.getInt() : 0; n > 0; n--) { // version 1 knows nobody else
            o.attach(new PendingMessage.Submitter(SegmentFormat.readText(in), SegmentFormat.readText(in)));
        }
    }

    private static FinalStatus readFinalStatus(ByteBuffer in) {
        return new FinalStatus(FinalStatus.Kind.values()[in.getInt()], in.getLong(), SegmentFormat.readText(in));
    }
}
