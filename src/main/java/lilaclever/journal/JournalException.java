package lilaclever.journal;

import java.io.IOException;

/**
 * Thrown if this program must not use a folder as its journal; the message says why. Nothing in the folder was changed.
 */
public final class JournalException extends IOException {
    private static final long serialVersionUID = 1L;

    JournalException(String problem) {
        super(problem);
    }
}
