package lilaclever.journal;

import java.nio.ByteBuffer;
import lilaclever.identity.CompletedMessage;
import lilaclever.identity.Fingerprint;
import lilaclever.journal.SegmentFormat.Type;
import lilaclever.routing.FinalStatus;
import lilaclever.routing.PendingMessage;
import lilaclever.routing.Submission;

/** Reads the records that {@link RecordEncoder} writes, and applies them to the state. */
final class RecordDecoder {
    private final JournalState state;
    /** What to add to walls that are read, microseconds. */
    private long shift;

    RecordDecoder(JournalState state) {
        this.state = state;
    }

    /** The wall clock was set by so much since what is read from now on was written. */
    void shiftWalls(long micros) {
        shift = micros;
    }

    private long wall(ByteBuffer in) {
        return in.getLong() + shift;
    }

    /** Applies a record; false if its content makes no sense. */
    boolean apply(Type type, ByteBuffer in, Segment segment, int size) {
        try {
            switch (type) {
                case TAKEN -> state.taken(readWhole(in), segment, size);
                case SNAPSHOT -> {
                    PendingMessage o = readWhole(in);
                    readPast(in, o);
                    state.put(o, segment, size);
                }
                case REMEMBERED -> {
                    String identity = SegmentFormat.text(in);
                    FinalStatus end = readEnd(in);
                    long until = wall(in);
                    // Version 1 has no fingerprint.
                    boolean compared = in.hasRemaining() && SegmentFormat.flag(in);
                    state.put(
                            identity,
                            new CompletedMessage<>(
                                    end, compared ? new Fingerprint(in.getLong(), in.getLong()) : null, until),
                            segment,
                            size);
                }
                case ENDED -> state.drop(SegmentFormat.text(in));
                case PREVIOUS -> {}
                default -> applyToOne(type, in);
            }
            return true;
        } catch (RuntimeException e) { // too short, or a number out of its range
            return false;
        }
    }

    private void applyToOne(Type type, ByteBuffer in) {
        JournalState.Slot<PendingMessage> slot = state.owed.get(SegmentFormat.text(in));
        if (slot == null) {
            return; // its message has ended, or a later record tells all of it
        }
        switch (type) {
            case ATTEMPT -> slot.value.attemptStarted(SegmentFormat.text(in), in.getInt(), wall(in));
            case OUTCOME -> slot.value.attemptEnded(SegmentFormat.flag(in));
            case JOINED -> state.join(slot.value, new PendingMessage.Submitter(SegmentFormat.text(in), SegmentFormat.text(in)));
            default -> slot.value.setFinalStatus(readEnd(in));
        }
    }

    private PendingMessage readWhole(ByteBuffer in) {
        String front = SegmentFormat.text(in);
        String id = SegmentFormat.text(in);
        String identity = SegmentFormat.flag(in) ? SegmentFormat.text(in) : null;
        int messageClass = in.getInt();
        int destination = in.getInt();
        String key = SegmentFormat.flag(in) ? SegmentFormat.text(in) : null;
        boolean again = SegmentFormat.flag(in);
        boolean inherited = SegmentFormat.flag(in);
        long budget = in.getLong();
        long deadline = wall(in);
        return new PendingMessage(
                front,
                new Submission(
                        id, identity, messageClass, destination, key, SegmentFormat.bytes(in), again, inherited, budget),
                deadline);
    }

    private void readPast(ByteBuffer in, PendingMessage o) {
        o.restoreAttempts(in.getInt(), SegmentFormat.flag(in), SegmentFormat.text(in), in.getInt(), wall(in));
        boolean mayHaveRun = SegmentFormat.flag(in);
        String host = SegmentFormat.text(in);
        int zone = in.getInt();
        long wall = wall(in);
        if (mayHaveRun) {
            o.markPossiblyRun(host, zone, wall);
        }
        if (SegmentFormat.flag(in)) {
            o.setFinalStatus(readEnd(in));
        }
        for (int n = in.hasRemaining() ? in.getInt() : 0; n > 0; n--) { // version 1 knows nobody else
            o.attach(new PendingMessage.Submitter(SegmentFormat.text(in), SegmentFormat.text(in)));
        }
    }

    private static FinalStatus readEnd(ByteBuffer in) {
        return new FinalStatus(FinalStatus.Kind.values()[in.getInt()], in.getLong(), SegmentFormat.text(in));
    }
}
