package lilaclever.journal;

import java.nio.ByteBuffer;
import lilaclever.identity.CompletedMessage;
import lilaclever.identity.Fingerprint;
import lilaclever.journal.Format.Type;
import lilaclever.routing.FinalStatus;
import lilaclever.routing.PendingMessage;
import lilaclever.routing.Submission;

/** Decodes the records that {@link RecordEncoder} writes, and applies them to the state. */
final class RecordDecoder {
    private final JournalState state;
    /** Added to decoded wall times, in microseconds. */
    private long shift;

    RecordDecoder(JournalState state) {
        this.state = state;
    }

    /**
     * Sets the shift of wall times for the following records: by how much the wall clock was set since they were
     * written.
     */
    void shiftWalls(long micros) {
        shift = micros;
    }

    private long wall(ByteBuffer in) {
        return in.getLong() + shift;
    }

    /** Applies a record; false if its content is invalid. */
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
                    String identity = Format.text(in);
                    FinalStatus end = readEnd(in);
                    long until = wall(in);
                    // Version 1 has no fingerprint.
                    boolean compared = in.hasRemaining() && Format.flag(in);
                    state.put(
                            identity,
                            new CompletedMessage<>(
                                    end, compared ? new Fingerprint(in.getLong(), in.getLong()) : null, until),
                            segment,
                            size);
                }
                case ENDED -> state.drop(Format.text(in));
                case PREVIOUS -> {}
                default -> applyToOne(type, in);
            }
            return true;
        } catch (RuntimeException e) { // too short, or a number out of range
            return false;
        }
    }

    private void applyToOne(Type type, ByteBuffer in) {
        JournalState.Slot<PendingMessage> slot = state.owed.get(Format.text(in));
        if (slot == null) {
            return; // its message has ended, or a later snapshot covers it
        }
        switch (type) {
            case ATTEMPT -> slot.value.attempt(Format.text(in), in.getInt(), wall(in));
            case OUTCOME -> slot.value.outcome(Format.flag(in));
            case JOINED -> state.join(slot.value, new PendingMessage.Claim(Format.text(in), Format.text(in)));
            default -> slot.value.verdict(readEnd(in));
        }
    }

    private PendingMessage readWhole(ByteBuffer in) {
        String front = Format.text(in);
        String id = Format.text(in);
        String identity = Format.flag(in) ? Format.text(in) : null;
        int messageClass = in.getInt();
        int destination = in.getInt();
        String key = Format.flag(in) ? Format.text(in) : null;
        boolean again = Format.flag(in);
        boolean inherited = Format.flag(in);
        long budget = in.getLong();
        long deadline = wall(in);
        return new PendingMessage(
                front,
                new Submission(
                        id, identity, messageClass, destination, key, Format.bytes(in), again, inherited, budget),
                deadline);
    }

    private void readPast(ByteBuffer in, PendingMessage o) {
        o.past(in.getInt(), Format.flag(in), Format.text(in), in.getInt(), wall(in));
        boolean mayHaveRun = Format.flag(in);
        String host = Format.text(in);
        int zone = in.getInt();
        long wall = wall(in);
        if (mayHaveRun) {
            o.risk(host, zone, wall);
        }
        if (Format.flag(in)) {
            o.verdict(readEnd(in));
        }
        for (int n = in.hasRemaining() ? in.getInt() : 0; n > 0; n--) { // absent in version 1
            o.join(new PendingMessage.Claim(Format.text(in), Format.text(in)));
        }
    }

    private static FinalStatus readEnd(ByteBuffer in) {
        return new FinalStatus(FinalStatus.Kind.values()[in.getInt()], in.getLong(), Format.text(in));
    }
}
