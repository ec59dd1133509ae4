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
    private final long deadlineWall;
    private int attempts;
    private boolean out;
    private String host = "";
    private int zone;
    private long sentWall;
    private boolean mayHaveRun;
    private String riskHost = "";
    private int riskZone;
    private long riskWall;
    private FinalStatus verdict;
    private List<Submitter> joined = List.of();

    /** A message just taken on; the deadline on the wall clock, microseconds. */
    public PendingMessage(String front, Submission submission, long deadlineWall) {
        this.front = front;
        this.submission = submission;
        this.deadlineWall = deadlineWall;
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
        return deadlineWall;
    }

    /** Attempts made so far. */
    public int attempts() {
        return attempts;
    }

    /** True while an attempt is out. */
    public boolean isInFlight() {
        return out;
    }

    /** The endpoint of the last attempt. */
    public String lastHost() {
        return host;
    }

    /** The zone of the last attempt. */
    public int lastZone() {
        return zone;
    }

    /** When the last attempt was made, on the wall clock. */
    public long lastAttemptWallMicros() {
        return sentWall;
    }

    /** True if an attempt that has ended may have run. */
    public boolean mayHaveRun() {
        return mayHaveRun;
    }

    /** The endpoint of the first attempt that may have run; empty if not known. */
    public String possibleRunHost() {
        return riskHost;
    }

    /** Its zone. */
    public int possibleRunZone() {
        return riskZone;
    }

    /** When it was made, on the wall clock. */
    public long possibleRunWallMicros() {
        return riskWall;
    }

    /** The end that is decided and not yet told, or null. */
    public FinalStatus finalStatus() {
        return verdict;
    }

    /** Who else is owed the end. */
    public List<Submitter> attachedSubmitters() {
        return Collections.unmodifiableList(joined);
    }

    /** Somebody else is owed the end; passed over if that is known. */
    public void attach(Submitter claim) {
        if (joined.isEmpty()) {
            joined = new ArrayList<>(1); // most messages have none
        }
        if (!joined.contains(claim)) {
            joined.add(claim);
        }
    }

    /** An attempt is made. */
    public void attemptStarted(String toHost, int toZone, long wall) {
        attempts++;
        out = true;
        host = toHost;
        zone = toZone;
        sentWall = wall;
    }

    /** The attempt that was out has ended. */
    public void attemptEnded(boolean neverRan) {
        out = false;
        if (!neverRan) {
            markPossiblyRun(host, zone, sentWall);
        }
    }

    /** An attempt may have run; only the first counts. */
    public void markPossiblyRun(String atHost, int atZone, long atWall) {
        if (!mayHaveRun) {
            mayHaveRun = true;
            riskHost = atHost;
            riskZone = atZone;
            riskWall = atWall;
        }
    }

    /** Records are lost, an attempt's among them perhaps: it counts as one made, and run, as early as can be. */
    public void assumeLostAttempt() {
        attempts = Math.max(1, attempts);
        markPossiblyRun(host, zone, deadlineWall - submission.budgetMicros());
    }

    /** The end is decided. */
    public void setFinalStatus(FinalStatus end) {
        verdict = end;
    }

    /** Sets all that attempts have left behind, as a record of the whole message has it. */
    public void restoreAttempts(int made, boolean isOut, String lastHost, int lastZone, long lastWall) {
        attempts = made;
        out = isOut;
        host = lastHost;
        zone = lastZone;
        sentWall = lastWall;
    }
}
