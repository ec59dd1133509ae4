package lilaclever.protocol.mllp;

import java.util.ArrayList;
import java.util.List;
import lilaclever.protocol.mllp.Acknowledgements.Code;
import lilaclever.protocol.mllp.MllpSettings.Field;
import lilaclever.routing.FinalStatus;
import lilaclever.routing.FinalStatus.Kind;

/**
 * Which acknowledgement a client gets for what became of its message: by its mode, and by the outcomes that its header
 * wants to be told (MSH-15 and MSH-16). Loop thread.
 */
final class Replies {
    private final Acknowledgements acknowledgements;
    private final Field keyField;

    /**
     * Replies in the words of these acknowledgements.
     *
     * @param key the field that tells messages of a practice apart
     */
    Replies(Acknowledgements acknowledgements, Field key) {
        this.acknowledgements = acknowledgements;
        this.keyField = key;
    }

    /** For what could not be read as a message; null if none is wanted. */
    byte[] unreadable(Header to, Hl7Fault fault) {
        boolean rejected = switch (fault.code()) {
            case UNSUPPORTED_PROCESSING_ID, UNSUPPORTED_VERSION, UNSUPPORTED_EVENT -> true;
            default -> false;
        };
        Code code = notAcceptedCode(to, false, rejected);
        return code == null ? null : acknowledgements.fault(code, to, fault);
    }

    /** For a message that was not taken on, with the reason; null if none is wanted. */
    byte[] notAccepted(Header to, FinalStatus verdict) {
        boolean refused = verdict.kind() == Kind.REFUSED;
        Code code = notAcceptedCode(to, refused, false);
        if (code == null) {
            return null;
        }
        if (refused) {
            return acknowledgements.retryLater(code, to, verdict);
        }
        return verdict.kind() == Kind.CLASH
                ? acknowledgements.fault(code, to, duplicateKey())
                : acknowledgements.notConfirmed(code, to, verdict);
    }

    /**
     * The code for what was not taken on, as the sender wants to be told; null: not at all. {@code rejected}: AR in
     * place of AE.
     */
    private static Code notAcceptedCode(Header to, boolean mayComeAgain, boolean rejected) {
        if (Request.wantsAcceptAcknowledgement(to, false)) {
            return mayComeAgain ? Code.CE : Code.CR;
        }
        if (!Request.wantsApplicationAcknowledgement(to, false)) {
            return null;
        }
        return mayComeAgain || rejected ? Code.AR : Code.AE;
    }

    private Hl7Fault duplicateKey() {
        return new Hl7Fault(Hl7Fault.Code.DUPLICATE_KEY, keyField.segment(), keyField.number(), "another message has it");
    }

    /** The accept acknowledgement of a message that was taken on; null if none is wanted. */
    byte[] accepted(Header to) {
        return Request.wantsAcceptAcknowledgement(to, true) ? acknowledgements.positive(Code.CA, to) : null;
    }

    /** For a message whose end is remembered, delivered or failed: one, both or none. */
    List<byte[]> remembered(Header to, FinalStatus verdict) {
        List<byte[]> replies = new ArrayList<>();
        boolean delivered = verdict.kind() == Kind.DELIVERED;
        boolean wantsFinal = Request.wantsApplicationAcknowledgement(to, delivered);
        // Where no application acknowledgement is wanted, the accept acknowledgement is all that can tell the end.
        boolean good = delivered || Request.wantsApplicationAcknowledgement(to, false);
        if (Request.wantsAcceptAcknowledgement(to, good)) {
            replies.add(good ? acknowledgements.positive(Code.CA, to) : acknowledgements.notConfirmed(Code.CR, to, verdict));
        }
        if (wantsFinal) {
            replies.add(finalStatus(to, verdict));
        }
        return replies;
    }

    /** The application acknowledgement that tells how a message ended. */
    byte[] finalStatus(Header to, FinalStatus verdict) {
        return switch (verdict.kind()) {
            case DELIVERED -> acknowledgements.positive(Code.AA, to);
            case REFUSED -> acknowledgements.retryLater(Code.AR, to, verdict);
            default -> acknowledgements.notConfirmed(Code.AE, to, verdict);
        };
    }
}
