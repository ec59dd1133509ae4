package lilaclever.journal;

import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.Map;
import lilaclever.DecisionModule.KeyScope;
import lilaclever.DecisionModule.MessageClass;
import lilaclever.DecisionModule.RepeatSafety;
import lilaclever.identity.CompletedMessage;
import lilaclever.identity.Fingerprint;
import lilaclever.journal.SegmentFormat.RecordType;
import lilaclever.routing.ClassVersion;
import lilaclever.routing.FinalStatus;
import lilaclever.routing.PendingMessage;
import lilaclever.routing.Submission;
import lilaclever.routing.ZoneNames;

/** Decodes the records that {@link RecordEncoder} writes, and applies them to the state. */
final class RecordDecoder {
    private final JournalState state;
    /** Added to decoded wall times, in microseconds. */
    private long wallShiftMicros;
    /** The format version of the segment that is read. */
    private int version = SegmentFormat.VERSION;
    /** One instance of each class: messages of a class share it. */
    private final Map<ClassVersion, ClassVersion> classes = new HashMap<>();

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

    /** Sets the format version of the following records. */
    void setVersion(int formatVersion) {
        version = formatVersion;
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
                    Fingerprint fingerprint = readFingerprint(in);
                    state.put(identity, new CompletedMessage<>(status, fingerprint, untilWallMicros), segment, size);
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

    /** Returns null where there is none: duplicates of that message are then not compared by content. */
    private Fingerprint readFingerprint(ByteBuffer in) {
        boolean hasFingerprint = in.hasRemaining() && SegmentFormat.readFlag(in); // version 1 has no flag
        Fingerprint fingerprint = hasFingerprint ? new Fingerprint(in.getLong(), in.getLong()) : null;
        // An earlier fingerprint is of the class's number, which does not say whether the content is the same.
        return version >= SegmentFormat.NAMES_VERSION ? fingerprint : null;
    }

    private void applyToMessage(RecordType type, ByteBuffer in) {
        JournalState.Entry<PendingMessage> entry = state.pending.get(SegmentFormat.readText(in));
        if (entry == null) {
            return; // its message is settled, or a later snapshot covers it
        }
        switch (type) {
            case ATTEMPT -> entry.value.attemptStarted(SegmentFormat.readText(in), readZone(in), readWallMicros(in));
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
        ClassVersion messageClass = readClass(in);
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

    private ClassVersion readClass(ByteBuffer in) {
        ClassVersion read = version >= SegmentFormat.NAMES_VERSION && SegmentFormat.readFlag(in)
                ? new ClassVersion(ClassVersion.UNRESOLVED, SegmentFormat.readText(in), readDefinition(in))
                : ClassVersion.ofNumber(in.getInt());
        return classes.computeIfAbsent(read, c -> c);
    }

    /** Earlier formats have a zone's number, whose meaning is not certain. */
    private String readZone(ByteBuffer in) {
        if (version >= SegmentFormat.NAMES_VERSION) {
            return SegmentFormat.readText(in);
        }
        in.getInt();
        return ZoneNames.UNKNOWN_NAME;
    }

    private static MessageClass readDefinition(ByteBuffer in) {
        return new MessageClass(
                in.getLong(),
                in.getLong(),
                Double.longBitsToDouble(in.getLong()),
                RepeatSafety.valueOf(SegmentFormat.readText(in)),
                KeyScope.valueOf(SegmentFormat.readText(in)),
                in.getLong(),
                SegmentFormat.readFlag(in),
                Double.longBitsToDouble(in.getLong()),
                SegmentFormat.readFlag(in));
    }

    private void readAttemptsAndStatus(ByteBuffer in, PendingMessage message) {
        message.restoreAttempts(
                in.getInt(), SegmentFormat.readFlag(in), SegmentFormat.readText(in), readZone(in), readWallMicros(in));
        boolean mayHaveRun = SegmentFormat.readFlag(in);
        String host = SegmentFormat.readText(in);
        String zone = readZone(in);
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
