package lilaclever.routing;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** The journal's state of a message that was accepted and is not settled. Used from one thread at a time. */
public final class PendingMessage {
    /** A further submitter to be notified of the final status: a front, and the message's id there. */
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

    /** A message that was just accepted; the deadline is on the wall clock, microseconds. */
    public PendingMessage(String front, Submission submission, long deadlineWall) {
        this.front = front;
        this.submission = submission;
        this.deadlineWall = deadlineWall;
    }

    /** The name of the front that submitted it first. */
    public String front() {
        return front;
    }

    /** The message as it was submitted. */
    public Submission submission() {
        return submission;
    }

    /** The deadline on the wall clock, microseconds. */
    public long deadlineWallMicros() {
        return deadlineWall;
    }

    /** Attempts made so far. */
    public int attempts() {
        return attempts;
    }

    /** True while an attempt is in flight. */
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

    /** When the last attempt was made, wall clock, microseconds. */
    public long lastAttemptWallMicros() {
        return sentWall;
    }

    /** True if an endpoint may have processed the message in an attempt that has ended. */
    public boolean mayHaveRun() {
        return mayHaveRun;
    }

    /** The endpoint of the first attempt that may have been processed; empty if not known. */
    public String possibleRunHost() {
        return riskHost;
    }

    /** The zone of that attempt. */
    public int possibleRunZone() {
        return riskZone;
    }

    /** When that attempt was made, wall clock, microseconds. */
    public long possibleRunWallMicros() {
        return riskWall;
    }

    /** The final status of which not all submitters are notified yet, or null. */
    public FinalStatus finalStatus() {
        return verdict;
    }

    /** Submitters to be notified beside the first. */
    public List<Submitter> attachedSubmitters() {
        return Collections.unmodifiableList(joined);
    }

    /** Adds a submitter; no effect if it is there already. */
    public void attach(Submitter claim) {
        if (joined.isEmpty()) {
            joined = new ArrayList<>(1); // most messages have no further submitter
        }
        if (!joined.contains(claim)) {
            joined.add(claim);
        }
    }

    /** Notes an attempt that is made. */
    public void attemptStarted(String toHost, int toZone, long wall) {
        attempts++;
        out = true;
        host = toHost;
        zone = toZone;
        sentWall = wall;
    }

    /** Notes the end of the attempt in flight. */
    public void attemptEnded(boolean neverRan) {
        out = false;
        if (!neverRan) {
            markPossiblyRun(host, zone, sentWall);
        }
    }

    /** Notes an attempt that may have been processed; only the first one is kept. */
    public void markPossiblyRun(String atHost, int atZone, long atWall) {
        if (!mayHaveRun) {
            mayHaveRun = true;
            riskHost = atHost;
            riskZone = atZone;
            riskWall = atWall;
        }
    }

    /**
     * Assumes an attempt whose record may be lost: at least one was made and may have been processed, at the earliest
     * possible time.
     */
    public void assumeLostAttempt() {
        attempts = Math.max(1, attempts);
        markPossiblyRun(host, zone, deadlineWall - submission.budgetMicros());
    }

    public void setFinalStatus(FinalStatus end) {
        verdict = end;
    }

    /** Restores the state of the attempts from a record of the whole message. */
    public void restoreAttempts(int made, boolean isOut, String lastHost, int lastZone, long lastWall) {
        attempts = made;
        out = isOut;
        host = lastHost;
        zone = lastZone;
        sentWall = lastWall;
    }
}
