package lilaclever.routing;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** What the journal knows of a message that was taken on and has not ended. Used from one thread at a time. */
public final class PendingMessage {
    /** Somebody who is owed the end, beside whoever handed the message in first: a front, and its id there. */
    public record Submitter(String front, String id) {}

    private final String front;
    private final Submission submission;
    private final long deadlineWallMicros;
    private int attempts;
    private boolean isInFlight;
    private String lastHost = "";
    private int lastZone;
    private long lastAttemptWallMicros;
    private boolean mayHaveRun;
    private String possibleRunHost = "";
    private int possibleRunZone;
    private long possibleRunWallMicros;
    private FinalStatus finalStatus;
    private List<Submitter> attachedSubmitters = List.of();

    /** A message just taken on; the deadline on the wall clock, microseconds. */
    public PendingMessage(String front, Submission submission, long deadlineWallMicros) {
        this.front = front;
        this.submission = submission;
        this.deadlineWallMicros = deadlineWallMicros;
    }

    /** The name of the front that it came from. */
    public String front() {
        return front;
    }

    /** What was handed in. */
    public Submission submission() {
        return submission;
    }

    /** When its time is up, on the wall clock, microseconds. */
    public long deadlineWallMicros() {
        return deadlineWallMicros;
    }

    /** Attempts made so far. */
    public int attempts() {
        return attempts;
    }

    /** True while an attempt is out. */
    public boolean isInFlight() {
        return isInFlight;
    }

    /** The endpoint of the last attempt. */
    public String lastHost() {
        return lastHost;
    }

    /** The zone of the last attempt. */
    public int lastZone() {
        return lastZone;
    }

    /** When the last attempt was made, on the wall clock. */
    public long lastAttemptWallMicros() {
        return lastAttemptWallMicros;
    }

    /** True if an attempt that has ended may have run. */
    public boolean mayHaveRun() {
        return mayHaveRun;
    }

    /** The endpoint of the first attempt that may have run; empty if not known. */
    public String possibleRunHost() {
        return possibleRunHost;
    }

    /** Its zone. */
    public int possibleRunZone() {
        return possibleRunZone;
    }

    /** When it was made, on the wall clock. */
    public long possibleRunWallMicros() {
        return possibleRunWallMicros;
    }

    /** The end that is decided and not yet told, or null. */
    public FinalStatus finalStatus() {
        return finalStatus;
    }

    /** Who else is owed the end. */
    public List<Submitter> attachedSubmitters() {
        return Collections.unmodifiableList(attachedSubmitters);
    }

    /** Somebody else is owed the end; passed over if that is known. */
    public void attach(Submitter submitter) {
        if (attachedSubmitters.isEmpty()) {
            attachedSubmitters = new ArrayList<>(1); // most messages have none
        }
        if (!attachedSubmitters.contains(submitter)) {
            attachedSubmitters.add(submitter);
        }
    }

    /** An attempt is made. */
    public void attemptStarted(String toHost, int toZone, long wallMicros) {
        attempts++;
        isInFlight = true;
        lastHost = toHost;
        lastZone = toZone;
        lastAttemptWallMicros = wallMicros;
    }

    /** The attempt that was out has ended. */
    public void attemptEnded(boolean neverRan) {
        isInFlight = false;
        if (!neverRan) {
            markPossiblyRun(lastHost, lastZone, lastAttemptWallMicros);
        }
    }

    /** An attempt may have run; only the first counts. */
    public void markPossiblyRun(String atHost, int atZone, long wallMicros) {
        if (!mayHaveRun) {
            mayHaveRun = true;
            possibleRunHost = atHost;
            possibleRunZone = atZone;
            possibleRunWallMicros = wallMicros;
        }
    }

    /** Records are lost, an attempt's among them perhaps: it counts as one made, and run, as early as can be. */
    public void assumeLostAttempt() {
        attempts = Math.max(1, attempts);
        markPossiblyRun(lastHost, lastZone, deadlineWallMicros - submission.budgetMicros());
    }

    /** The end is decided. */
    public void setFinalStatus(FinalStatus status) {
        finalStatus = status;
    }

    /** Sets all that attempts have left behind, as a record of the whole message has it. */
    public void restoreAttempts(int attemptCount, boolean attemptInFlight, String host, int zone, long wallMicros) {
        attempts = attemptCount;
        isInFlight = attemptInFlight;
        lastHost = host;
        lastZone = zone;
        lastAttemptWallMicros = wallMicros;
    }
}
