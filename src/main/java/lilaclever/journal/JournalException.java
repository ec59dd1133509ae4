package lilaclever.journal;

import java.io.IOException;

/** A folder that this program must not use as its journal; the message says why, and nothing was touched. */
public final class JournalException extends IOException {
    private static final long serialVersionUID = 1L;

    JournalException(String problem) {
        super(problem);
    }
}
