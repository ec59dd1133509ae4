package lilaclever.journal;

import lilaclever.DecisionModule.MessageClass;
import lilaclever.identity.CompletedMessage;
import lilaclever.journal.SegmentFormat.RecordType;
import lilaclever.journal.SegmentFormat.RecordWriter;
import lilaclever.routing.ClassVersion;
import lilaclever.routing.FinalStatus;
import lilaclever.routing.PendingMessage;
import lilaclever.routing.Submission;

/** Encodes records; {@link RecordDecoder} decodes them. */
final class RecordEncoder {
    /** Maximum number of characters stored of the explanation that an endpoint gave. */
    static final int MAX_DETAIL_CHARS = 160;

    private RecordEncoder() {}

    /** A message was accepted. */
    static void accepted(RecordWriter out, PendingMessage message) {
        out.beginRecord(RecordType.TAKEN);
        putMessage(out, message);
        out.endRecord();
    }

    /** An attempt begins at this wall time, in microseconds. */
    static void attempt(RecordWriter out, String id, String host, String zone, long wallMicros) {
        out.beginRecord(RecordType.ATTEMPT)
                .putText(id)
                .putText(host)
                .putText(zone)
                .putLong(wallMicros)
                .endRecord();
    }

    /** The attempt in flight has finished. */
    static void outcome(RecordWriter out, String id, boolean neverRan) {
        out.beginRecord(RecordType.OUTCOME).putText(id).putFlag(neverRan).endRecord();
    }

    /** The final status of the message is decided. */
    static void finalStatus(RecordWriter out, String id, FinalStatus status) {
        out.beginRecord(RecordType.VERDICT).putText(id);
        putFinalStatus(out, status);
        out.endRecord();
    }

    /** The message is finished: no result is pending any more. */
    static void settled(RecordWriter out, String id) {
        out.beginRecord(RecordType.ENDED).putText(id).endRecord();
    }

    /** The result remembered under an identity. */
    static void remembered(RecordWriter out, String identity, CompletedMessage<FinalStatus> result) {
        out.beginRecord(RecordType.REMEMBERED).putText(identity);
        putFinalStatus(out, result.finalStatus());
        out.putLong(result.untilWallMicros()).putFlag(result.fingerprint() != null);
        if (result.fingerprint() != null) {
            out.putLong(result.fingerprint().high())
                    .putLong(result.fingerprint().low());
        }
        out.endRecord();
    }

    /** Another submitter waits for the result of the message. */
    static void attached(RecordWriter out, String id, PendingMessage.Submitter submitter) {
        out.beginRecord(RecordType.JOINED)
                .putText(id)
                .putText(submitter.front())
                .putText(submitter.id())
                .endRecord();
    }

    /** The whole state of a message in one record. */
    static void snapshot(RecordWriter out, PendingMessage message) {
        out.beginRecord(RecordType.SNAPSHOT);
        putMessage(out, message);
        out.putInt(message.attempts())
                .putFlag(message.isInFlight())
                .putText(message.lastHost())
                .putText(message.lastZone())
                .putLong(message.lastAttemptWallMicros());
        out.putFlag(message.mayHaveRun())
                .putText(message.uncertainHost())
                .putText(message.uncertainZone())
                .putLong(message.uncertainSentWallMicros());
        out.putFlag(message.finalStatus() != null);
        if (message.finalStatus() != null) {
            putFinalStatus(out, message.finalStatus());
        }
        out.putInt(message.attachedSubmitters().size());
        message.attachedSubmitters()
                .forEach(submitter -> out.putText(submitter.front()).putText(submitter.id()));
        out.endRecord();
    }

    /** Where the previous segment ended. */
    static void previous(RecordWriter out, long sequence, long endOffset) {
        out.beginRecord(RecordType.PREVIOUS)
                .putLong(sequence)
                .putLong(endOffset)
                .endRecord();
    }

    private static void putMessage(RecordWriter out, PendingMessage message) {
        Submission submission = message.submission();
        out.putText(message.front()).putText(submission.id()).putFlag(submission.identity() != null);
        if (submission.identity() != null) {
            out.putText(submission.identity());
        }
        putClass(out, submission.messageClass());
        out.putInt(submission.destination()).putFlag(submission.key() != null);
        if (submission.key() != null) {
            out.putText(submission.key());
        }
        out.putFlag(submission.resubmitted())
                .putFlag(submission.inherited())
                .putLong(submission.budgetMicros())
                .putLong(message.deadlineWallMicros())
                .putBytes(submission.body());
    }

    /** The class with all its rules: what a record says must not depend on any other file or configuration. */
    private static void putClass(RecordWriter out, ClassVersion messageClass) {
        MessageClass definition = messageClass.definition();
        out.putFlag(definition != null);
        if (definition == null) {
            out.putInt(messageClass.number());
            return;
        }
        out.putText(messageClass.name())
                .putLong(definition.aimMicros())
                .putLong(definition.deadlineMicros())
                .putLong(Double.doubleToLongBits(definition.worth()))
                .putText(definition.repeat().name())
                .putText(definition.group().name())
                .putLong(definition.repeatWindowMicros())
                .putFlag(definition.ordered())
                .putLong(Double.doubleToLongBits(definition.lateShare()))
                .putFlag(definition.halves());
    }

    /** The size of a class in a record, in bytes. */
    static int classBytes(ClassVersion messageClass) {
        RecordWriter out = new RecordWriter();
        putClass(out, messageClass);
        return out.size();
    }

    private static void putFinalStatus(RecordWriter out, FinalStatus status) {
        String detail = status.detail().substring(0, Math.min(status.detail().length(), MAX_DETAIL_CHARS));
        out.putInt(status.kind().ordinal()).putLong(status.retryAfterMicros()).putText(detail);
    }
}
