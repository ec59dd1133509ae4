package lilaclever.routing;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** The journal's state of a message that was accepted and is not settled. Used from one thread at a time. */
public final class PendingMessage {
    /** A further submitter to be notified of the final status: a front, and the message's id there. */
    public record Submitter(String front, String id) {}

    private final String front;
    private Submission submission;
    private final long deadlineWallMicros;
    private int attempts;
    private boolean isInFlight;
    private String lastHost = "";
    private String lastZone = ZoneNames.UNKNOWN_NAME;
    private long lastAttemptWallMicros;
    private boolean mayHaveRun;
    private String uncertainHost = "";
    private String uncertainZone = ZoneNames.UNKNOWN_NAME;
    private long uncertainSentWallMicros;
    private FinalStatus finalStatus;
    private List<Submitter> attachedSubmitters = List.of();
    private int unrecordedClassBytes;

    /** A message that was just accepted; the deadline is on the wall clock, microseconds. */
    public PendingMessage(String front, Submission submission, long deadlineWallMicros) {
        this.front = front;
        this.submission = submission;
        this.deadlineWallMicros = deadlineWallMicros;
    }

    /** The name of the front that submitted it first. */
    public String front() {
        return front;
    }

    /** The message as it was submitted. */
    public Submission submission() {
        return submission;
    }

    /** Sets the version of its class, with the number that it has in this process. */
    public void assignClass(ClassVersion version) {
        submission = submission.withClass(version);
    }

    /** Notes the size of a class that the message's record does not hold, and a further record will. */
    public void addUnrecordedClass(int bytes) {
        unrecordedClassBytes = bytes;
    }

    /** How many bytes its class adds to the record that it has. */
    public int unrecordedClassBytes() {
        return unrecordedClassBytes;
    }

    /** The deadline on the wall clock, microseconds. */
    public long deadlineWallMicros() {
        return deadlineWallMicros;
    }

    /** Attempts made so far. */
    public int attempts() {
        return attempts;
    }

    /** True while an attempt is in flight. */
    public boolean isInFlight() {
        return isInFlight;
    }

    /** The endpoint of the last attempt. */
    public String lastHost() {
        return lastHost;
    }

    /** The name of the zone of the last attempt. */
    public String lastZone() {
        return lastZone;
    }

    /** When the last attempt was made, wall clock, microseconds. */
    public long lastAttemptWallMicros() {
        return lastAttemptWallMicros;
    }

    /** True if an endpoint may have processed the message in an attempt that has ended. */
    public boolean mayHaveRun() {
        return mayHaveRun;
    }

    /** The endpoint of the first attempt that may have been processed; empty if not known. */
    public String uncertainHost() {
        return uncertainHost;
    }

    /** The name of the zone of that attempt. */
    public String uncertainZone() {
        return uncertainZone;
    }

    /** When that attempt was made, wall clock, microseconds. */
    public long uncertainSentWallMicros() {
        return uncertainSentWallMicros;
    }

    /** The final status of which not all submitters are notified yet, or null. */
    public FinalStatus finalStatus() {
        return finalStatus;
    }

    /** Submitters to be notified beside the first. */
    public List<Submitter> attachedSubmitters() {
        return Collections.unmodifiableList(attachedSubmitters);
    }

    /** Adds a submitter; no effect if it is there already. */
    public void attach(Submitter submitter) {
        if (attachedSubmitters.isEmpty()) {
            attachedSubmitters = new ArrayList<>(1); // most messages have no further submitter
        }
        if (!attachedSubmitters.contains(submitter)) {
            attachedSubmitters.add(submitter);
        }
    }

    /** Notes an attempt that is made. One after a final status means that the message was reopened. */
    public void attemptStarted(String toHost, String toZone, long wallMicros) {
        attempts++;
        finalStatus = null;
        isInFlight = true;
        lastHost = toHost;
        lastZone = toZone;
        lastAttemptWallMicros = wallMicros;
    }

    /** Notes the end of the attempt in flight. */
    public void attemptEnded(boolean neverRan) {
        isInFlight = false;
        if (!neverRan) {
            markMayHaveRun(lastHost, lastZone, lastAttemptWallMicros);
        }
    }

    /** Notes an attempt that may have been processed; only the first one is kept. */
    public void markMayHaveRun(String atHost, String atZone, long wallMicros) {
        if (!mayHaveRun) {
            mayHaveRun = true;
            uncertainHost = atHost;
            uncertainZone = atZone;
            uncertainSentWallMicros = wallMicros;
        }
    }

    /**
     * Assumes an attempt whose record may be lost: at least one was made and may have been processed, at the earliest
     * possible time.
     */
    public void assumeLostAttempt() {
        attempts = Math.max(1, attempts);
        markMayHaveRun(lastHost, lastZone, deadlineWallMicros - submission.budgetMicros());
    }

    /** Retains only this of the body. */
    public void reduceBody(byte[] remainingBody) {
        submission = submission.withBody(remainingBody);
    }

    public void setFinalStatus(FinalStatus status) {
        finalStatus = status;
    }

    /** Restores the state of the attempts from a record of the whole message. */
    public void restoreAttempts(int attemptCount, boolean attemptInFlight, String host, String zone, long wallMicros) {
        attempts = attemptCount;
        isInFlight = attemptInFlight;
        lastHost = host;
        lastZone = zone;
        lastAttemptWallMicros = wallMicros;
    }
}
