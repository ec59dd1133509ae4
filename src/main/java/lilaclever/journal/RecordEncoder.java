package lilaclever.journal;

import lilaclever.identity.CompletedMessage;
import lilaclever.journal.SegmentFormat.RecordType;
import lilaclever.journal.SegmentFormat.RecordWriter;
import lilaclever.routing.FinalStatus;
import lilaclever.routing.PendingMessage;
import lilaclever.routing.Submission;

/** How each record is written; {@link RecordDecoder} reads them. */
final class RecordEncoder {
    /** Of what an endpoint said for people, so many characters outlast the process. */
    static final int MAX_DETAIL_CHARS = 160;

    private RecordEncoder() {}

    /** A message is taken on. */
    static void accepted(RecordWriter out, PendingMessage o) {
        out.beginRecord(RecordType.TAKEN);
        putMessage(out, o);
        out.endRecord();
    }

    /** An attempt has begun, at that time of the wall clock, microseconds. */
    static void attempt(RecordWriter out, String id, String host, int zone, long wall) {
        out.beginRecord(RecordType.ATTEMPT).putText(id).putText(host).putInt(zone).putLong(wall).endRecord();
    }

    /** The attempt that was out is over. */
    static void outcome(RecordWriter out, String id, boolean neverRan) {
        out.beginRecord(RecordType.OUTCOME).putText(id).putFlag(neverRan).endRecord();
    }

    /** How the message has ended. */
    static void finalStatus(RecordWriter out, String id, FinalStatus v) {
        out.beginRecord(RecordType.VERDICT).putText(id);
        putFinalStatus(out, v);
        out.endRecord();
    }

    /** The message is over for good. */
    static void ended(RecordWriter out, String id) {
        out.beginRecord(RecordType.ENDED).putText(id).endRecord();
    }

    /** An end that is remembered, under its identity. */
    static void remembered(RecordWriter out, String identity, CompletedMessage<FinalStatus> p) {
        out.beginRecord(RecordType.REMEMBERED).putText(identity);
        putFinalStatus(out, p.result());
        out.putLong(p.untilWallMicros()).putFlag(p.fingerprint() != null);
        if (p.fingerprint() != null) {
            out.putLong(p.fingerprint().high()).putLong(p.fingerprint().low());
        }
        out.endRecord();
    }

    /** Somebody else is owed the end of a message. */
    static void joined(RecordWriter out, String id, PendingMessage.Submitter claim) {
        out.beginRecord(RecordType.JOINED).putText(id).putText(claim.front()).putText(claim.id()).endRecord();
    }

    /** All that is known of a message, in one record. */
    static void snapshot(RecordWriter out, PendingMessage o) {
        out.beginRecord(RecordType.SNAPSHOT);
        putMessage(out, o);
        out.putInt(o.attempts())
                .putFlag(o.isInFlight())
                .putText(o.lastHost())
                .putInt(o.lastZone())
                .putLong(o.lastAttemptWallMicros());
        out.putFlag(o.mayHaveRun())
                .putText(o.possibleRunHost())
                .putInt(o.possibleRunZone())
                .putLong(o.possibleRunWallMicros());
        out.putFlag(o.finalStatus() != null);
        if (o.finalStatus() != null) {
            putFinalStatus(out, o.finalStatus());
        }
        out.putInt(o.attachedSubmitters().size());
        o.attachedSubmitters().forEach(claim -> out.putText(claim.front()).putText(claim.id()));
        out.endRecord();
    }

    /** Where the segment before this one ended. */
    static void previous(RecordWriter out, long sequence, long end) {
        out.beginRecord(RecordType.PREVIOUS).putLong(sequence).putLong(end).endRecord();
    }

    private static void putMessage(RecordWriter out, PendingMessage o) {
        Submission h = o.submission();
        out.putText(o.front()).putText(h.id()).putFlag(h.identity() != null);
        if (h.identity() != null) {
            out.putText(h.identity());
        }
        out.putInt(h.messageClass()).putInt(h.destination()).putFlag(h.key() != null);
        if (h.key() != null) {
            out.putText(h.key());
        }
        out.putFlag(h.resubmitted())
                .putFlag(h.inherited())
                .putLong(h.budgetMicros())
                .putLong(o.deadlineWallMicros())
                .putBytes(h.body());
    }

    private static void putFinalStatus(RecordWriter out, FinalStatus v) {
        String detail = v.detail().substring(0, Math.min(v.detail().length(), MAX_DETAIL_CHARS));
        out.putInt(v.kind().ordinal()).putLong(v.retryAfterMicros()).putText(detail);
    }
}
