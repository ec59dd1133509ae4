package lilaclever.journal;

import lilaclever.identity.CompletedMessage;
import lilaclever.journal.Format.Type;
import lilaclever.journal.Format.Writer;
import lilaclever.routing.FinalStatus;
import lilaclever.routing.PendingMessage;
import lilaclever.routing.Submission;

/** How each record is written; {@link RecordDecoder} reads them. */
final class RecordEncoder {
    /** Of what an endpoint said for people, so many characters outlast the process. */
    static final int MOST_DETAIL = 160;

    private RecordEncoder() {}

    /** A message is taken on. */
    static void taken(Writer out, PendingMessage o) {
        out.begin(Type.TAKEN);
        whole(out, o);
        out.end();
    }

    /** An attempt has begun, at that time of the wall clock, microseconds. */
    static void attempt(Writer out, String id, String host, int zone, long wall) {
        out.begin(Type.ATTEMPT).text(id).text(host).small(zone).number(wall).end();
    }

    /** The attempt that was out is over. */
    static void outcome(Writer out, String id, boolean neverRan) {
        out.begin(Type.OUTCOME).text(id).flag(neverRan).end();
    }

    /** How the message has ended. */
    static void verdict(Writer out, String id, FinalStatus v) {
        out.begin(Type.VERDICT).text(id);
        end(out, v);
        out.end();
    }

    /** The message is over for good. */
    static void ended(Writer out, String id) {
        out.begin(Type.ENDED).text(id).end();
    }

    /** An end that is remembered, under its identity. */
    static void remembered(Writer out, String identity, CompletedMessage<FinalStatus> p) {
        out.begin(Type.REMEMBERED).text(identity);
        end(out, p.result());
        out.number(p.untilWallMicros()).flag(p.fingerprint() != null);
        if (p.fingerprint() != null) {
            out.number(p.fingerprint().high()).number(p.fingerprint().low());
        }
        out.end();
    }

    /** Somebody else is owed the end of a message. */
    static void joined(Writer out, String id, PendingMessage.Submitter claim) {
        out.begin(Type.JOINED).text(id).text(claim.front()).text(claim.id()).end();
    }

    /** All that is known of a message, in one record. */
    static void snapshot(Writer out, PendingMessage o) {
        out.begin(Type.SNAPSHOT);
        whole(out, o);
        out.small(o.attempts())
                .flag(o.isInFlight())
                .text(o.lastHost())
                .small(o.lastZone())
                .number(o.lastAttemptWallMicros());
        out.flag(o.mayHaveRun())
                .text(o.possibleRunHost())
                .small(o.possibleRunZone())
                .number(o.possibleRunWallMicros());
        out.flag(o.finalStatus() != null);
        if (o.finalStatus() != null) {
            end(out, o.finalStatus());
        }
        out.small(o.attachedSubmitters().size());
        o.attachedSubmitters().forEach(claim -> out.text(claim.front()).text(claim.id()));
        out.end();
    }

    /** Where the segment before this one ended. */
    static void previous(Writer out, long sequence, long end) {
        out.begin(Type.PREVIOUS).number(sequence).number(end).end();
    }

    private static void whole(Writer out, PendingMessage o) {
        Submission h = o.submission();
        out.text(o.front()).text(h.id()).flag(h.identity() != null);
        if (h.identity() != null) {
            out.text(h.identity());
        }
        out.small(h.messageClass()).small(h.destination()).flag(h.key() != null);
        if (h.key() != null) {
            out.text(h.key());
        }
        out.flag(h.resubmitted())
                .flag(h.inherited())
                .number(h.budgetMicros())
                .number(o.deadlineWallMicros())
                .bytes(h.body());
    }

    private static void end(Writer out, FinalStatus v) {
        String detail = v.detail().substring(0, Math.min(v.detail().length(), MOST_DETAIL));
        out.small(v.kind().ordinal()).number(v.retryAfterMicros()).text(detail);
    }
}
