package lilaclever.journal;

import lilaclever.identity.CompletedMessage;
import lilaclever.journal.Format.Type;
import lilaclever.journal.Format.Writer;
import lilaclever.routing.FinalStatus;
import lilaclever.routing.PendingMessage;
import lilaclever.routing.Submission;

/** Encodes records; {@link RecordDecoder} decodes them. */
final class RecordEncoder {
    /** Maximum number of characters stored of the explanation that an endpoint gave. */
    static final int MOST_DETAIL = 160;

    private RecordEncoder() {}

    /** A message was accepted. */
    static void taken(Writer out, PendingMessage o) {
        out.begin(Type.TAKEN);
        whole(out, o);
        out.end();
    }

    /** An attempt begins at this wall time, in microseconds. */
    static void attempt(Writer out, String id, String host, int zone, long wall) {
        out.begin(Type.ATTEMPT).text(id).text(host).small(zone).number(wall).end();
    }

    /** The attempt in flight has finished. */
    static void outcome(Writer out, String id, boolean neverRan) {
        out.begin(Type.OUTCOME).text(id).flag(neverRan).end();
    }

    /** The final status of the message is decided. */
    static void verdict(Writer out, String id, FinalStatus v) {
        out.begin(Type.VERDICT).text(id);
        end(out, v);
        out.end();
    }

    /** The message is finished: no result is pending any more. */
    static void ended(Writer out, String id) {
        out.begin(Type.ENDED).text(id).end();
    }

    /** The result remembered under an identity. */
    static void remembered(Writer out, String identity, CompletedMessage<FinalStatus> p) {
        out.begin(Type.REMEMBERED).text(identity);
        end(out, p.end());
        out.number(p.untilWall()).flag(p.content() != null);
        if (p.content() != null) {
            out.number(p.content().high()).number(p.content().low());
        }
        out.end();
    }

    /** Another submission waits for the result of the message. */
    static void joined(Writer out, String id, PendingMessage.Claim claim) {
        out.begin(Type.JOINED).text(id).text(claim.front()).text(claim.id()).end();
    }

    /** The whole state of a message in one record. */
    static void snapshot(Writer out, PendingMessage o) {
        out.begin(Type.SNAPSHOT);
        whole(out, o);
        out.small(o.attempts()).flag(o.isOut()).text(o.host()).small(o.zone()).number(o.sentWall());
        out.flag(o.mayHaveRun()).text(o.riskHost()).small(o.riskZone()).number(o.riskWall());
        out.flag(o.verdict() != null);
        if (o.verdict() != null) {
            end(out, o.verdict());
        }
        out.small(o.joined().size());
        o.joined().forEach(claim -> out.text(claim.front()).text(claim.id()));
        out.end();
    }

    /** Where the previous segment ended. */
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
        out.flag(h.again())
                .flag(h.inherited())
                .number(h.budgetMicros())
                .number(o.deadlineWall())
                .bytes(h.body());
    }

    private static void end(Writer out, FinalStatus v) {
        String detail = v.detail().substring(0, Math.min(v.detail().length(), MOST_DETAIL));
        out.small(v.kind().ordinal()).number(v.comeBackMicros()).text(detail);
    }
}
