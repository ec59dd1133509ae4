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
    Replies(Acknowledgements acknowledgements, Field keyField) {
        this.acknowledgements = acknowledgements;
        this.keyField = keyField;
    }

    /** For what could not be read as a message; null if none is wanted. */
    byte[] unreadable(Header requestHeader, Hl7Fault fault) {
        boolean rejected = switch (fault.code()) {
            case UNSUPPORTED_PROCESSING_ID, UNSUPPORTED_VERSION, UNSUPPORTED_EVENT -> true;
            default -> false;
        };
        Code code = notAcceptedCode(requestHeader, false, rejected);
        return code == null ? null : acknowledgements.fault(code, requestHeader, fault);
    }

    /** For a message that was not taken on, with the reason; null if none is wanted. */
    byte[] notAccepted(Header requestHeader, FinalStatus finalStatus) {
        boolean refused = finalStatus.kind() == Kind.REFUSED;
        Code code = notAcceptedCode(requestHeader, refused, false);
        if (code == null) {
            return null;
        }
        if (refused) {
            return acknowledgements.retryLater(code, requestHeader, finalStatus);
        }
        return finalStatus.kind() == Kind.CLASH
                ? acknowledgements.fault(code, requestHeader, duplicateKey())
                : acknowledgements.notConfirmed(code, requestHeader, finalStatus);
    }

    /**
     * The code for what was not taken on, as the sender wants to be told; null: not at all. {@code rejected}: AR in
     * place of AE.
     */
    private static Code notAcceptedCode(Header requestHeader, boolean retryable, boolean rejected) {
        if (Request.wantsAcceptAcknowledgement(requestHeader, false)) {
            return retryable ? Code.CE : Code.CR;
        }
        if (!Request.wantsApplicationAcknowledgement(requestHeader, false)) {
            return null;
        }
        return retryable || rejected ? Code.AR : Code.AE;
    }

    private Hl7Fault duplicateKey() {
        return new Hl7Fault(
                Hl7Fault.Code.DUPLICATE_KEY, keyField.segment(), keyField.number(), "another message has it");
    }

    /** The accept acknowledgement of a message that was taken on; null if none is wanted. */
    byte[] accepted(Header requestHeader) {
        return Request.wantsAcceptAcknowledgement(requestHeader, true)
                ? acknowledgements.positive(Code.CA, requestHeader)
                : null;
    }

    /** For a message whose end is remembered, delivered or failed: one, both or none. */
    List<byte[]> remembered(Header requestHeader, FinalStatus finalStatus) {
        List<byte[]> replies = new ArrayList<>();
        boolean delivered = finalStatus.kind() == Kind.DELIVERED;
        boolean wantsFinal = Request.wantsApplicationAcknowledgement(requestHeader, delivered);
        // Where no application acknowledgement is wanted, the accept acknowledgement is all that can tell the end.
        boolean positive = delivered || Request.wantsApplicationAcknowledgement(requestHeader, false);
        if (Request.wantsAcceptAcknowledgement(requestHeader, positive)) {
            replies.add(
                    positive
                            ? acknowledgements.positive(Code.CA, requestHeader)
                            : acknowledgements.notConfirmed(Code.CR, requestHeader, finalStatus));
        }
        if (wantsFinal) {
            replies.add(finalStatus(requestHeader, finalStatus));
        }
        return replies;
    }

    /** The application acknowledgement that tells how a message ended. */
    byte[] finalStatus(Header requestHeader, FinalStatus finalStatus) {
        return switch (finalStatus.kind()) {
            case DELIVERED -> acknowledgements.positive(Code.AA, requestHeader);
            case REFUSED -> acknowledgements.retryLater(Code.AR, requestHeader, finalStatus);
            default -> acknowledgements.notConfirmed(Code.AE, requestHeader, finalStatus);
        };
    }
}
