package lilaclever.protocol.mllp;

import lilaclever.protocol.mllp.Acknowledgements.Code;
import lilaclever.protocol.mllp.MllpSettings.Field;
import lilaclever.routing.FinalStatus;
import lilaclever.routing.FinalStatus.Kind;

/**
 * Chooses the acknowledgement for the outcome of a message, by the client's mode and the acknowledgement conditions in
 * its header (MSH-15 and MSH-16). Event loop.
 */
final class Replies {
    private final Acknowledgements acknowledgements;
    private final Field keyField;

    /**
     * Creates replies with {@code acknowledgements}.
     *
     * @param keyField the field that identifies a message within its practice
     */
    Replies(Acknowledgements acknowledgements, Field keyField) {
        this.acknowledgements = acknowledgements;
        this.keyField = keyField;
    }

    /** The reply to input that could not be read as an acceptable message, or null if none is wanted. */
    byte[] unreadable(Header requestHeader, Hl7Fault fault) {
        boolean rejected = switch (fault.code()) {
            case UNSUPPORTED_PROCESSING_ID, UNSUPPORTED_VERSION, UNSUPPORTED_EVENT -> true;
            default -> false;
        };
        Code code = notAcceptedCode(requestHeader, false, rejected);
        return code == null ? null : acknowledgements.fault(code, requestHeader, fault);
    }

    /** The reply, with the reason, to a message that was not accepted, or null if none is wanted. */
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
     * The code for a message that was not accepted, or null if the sender wants no acknowledgement. {@code rejected}
     * chooses AR instead of AE.
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

    /** The accept acknowledgement of an accepted message, or null if none is wanted. */
    byte[] accepted(Header requestHeader) {
        return Request.wantsAcceptAcknowledgement(requestHeader, true)
                ? acknowledgements.positive(Code.CA, requestHeader)
                : null;
    }

    /**
     * The accept acknowledgement of a repeat of a message remembered as delivered or failed, or null if none is
     * wanted.
     */
    byte[] rememberedAccept(Header requestHeader, FinalStatus finalStatus) {
        boolean delivered = finalStatus.kind() == Kind.DELIVERED;
        // Without an application acknowledgement, only the accept acknowledgement can report the failure.
        boolean positive = delivered || Request.wantsApplicationAcknowledgement(requestHeader, false);
        if (!Request.wantsAcceptAcknowledgement(requestHeader, positive)) {
            return null;
        }
        return positive
                ? acknowledgements.positive(Code.CA, requestHeader)
                : acknowledgements.notConfirmed(Code.CR, requestHeader, finalStatus);
    }

    /** The application acknowledgement for the final status of a message. */
    byte[] finalStatus(Header requestHeader, FinalStatus finalStatus) {
        return switch (finalStatus.kind()) {
            case DELIVERED -> acknowledgements.positive(Code.AA, requestHeader);
            case REFUSED -> acknowledgements.retryLater(Code.AR, requestHeader, finalStatus);
            default -> acknowledgements.notConfirmed(Code.AE, requestHeader, finalStatus);
        };
    }
}
