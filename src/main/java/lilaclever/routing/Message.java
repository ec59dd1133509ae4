package lilaclever.routing;

import java.util.ArrayList;
import java.util.List;
import lilaclever.DecisionModule;
import lilaclever.identity.Fingerprint;
import lilaclever.identity.Identity;

/** A message in the core, from submission until it is settled. */
public final class Message {
    /** Age of an attempt whose time is not known: one day. */
    private static final long UNKNOWN_AGE_MICROS = 86_400_000_000L;

    public final Submission submission;
    /** The front that submitted it first. */
    public final Front front;
    /** Deadline on the wall clock, microseconds, since it has to hold across restarts. */
    final long deadlineWallMicros;
    /** Who is notified of the final status: the submitter, and those who submitted a duplicate since. */
    final List<DeduplicationTable.Submitter> submitters = new ArrayList<>(1);

    private Fingerprint fingerprint;
    boolean isJournaled;
    boolean isAcceptanceDurable;
    boolean isFinished;
    boolean isResumed;
    int attemptCount;
    Call currentCall;
    /** From when on it must not be sent with the current call, on the event loop's clock, microseconds. */
    long writeByMicros;

    /** Deadline on the event loop's clock, microseconds; set with each call. */
    long deadlineMicros;

    /** Whether some endpoint may have processed it; the fields below describe the first such attempt. */
    boolean mayHaveRun;

    String uncertainHost = "";
    int uncertainZone;
    long uncertainSentWallMicros;
    /** The last call, and when it was sent on the wall clock; set while its answer waits for confirmation. */
    private Call.Endpoint lastEndpoint;

    private long lastSentWallMicros;
    /** Whether an answer said that it was delivered, and only the end of its connection left that in doubt. */
    boolean isProbablyDelivered;

    FinalStatus finalStatus;
    /** Human-readable response of the last endpoint. */
    public String lastResponseText = "";

    Message(Submission submission, Front front, long deadlineWallMicros) {
        this.submission = submission;
        this.front = front;
        this.deadlineWallMicros = deadlineWallMicros;
        submitters.add(new DeduplicationTable.Submitter(front, submission.id()));
    }

    /** The fingerprint of its content; null where duplicates are not compared by content or its class has no name. */
    Fingerprint fingerprint() {
        String className = submission.messageClass().name();
        if (fingerprint == null && Identity.isShared(submission.identity()) && !className.isEmpty()) {
            fingerprint = Fingerprint.of(className, submission.destination(), submission.body());
        }
        return fingerprint;
    }

    /** The id under which the front submitted it. */
    public String id() {
        return submission.id();
    }

    /** True until the message has its final status. */
    public boolean isOpen() {
        return !isFinished;
    }

    /** True once it is recorded durably, so that its acceptance may be reported. */
    public boolean isAccepted() {
        return isAcceptanceDurable;
    }

    /** The final status, or null while it is open. */
    public FinalStatus finalStatus() {
        return finalStatus;
    }

    /** Whether some endpoint may have processed it since it was last submitted or reopened. */
    public boolean mayHaveRun() {
        return mayHaveRun;
    }

    /** When it was submitted, on the wall clock, microseconds. */
    public long submittedWallMicros() {
        return deadlineWallMicros - submission.budgetMicros();
    }

    void markMayHaveRun(String host, int zone, long wallMicros) {
        if (!mayHaveRun) {
            mayHaveRun = true;
            uncertainHost = host;
            uncertainZone = zone;
            uncertainSentWallMicros = wallMicros;
        }
    }

    /** Notes the call whose answer waits for confirmation. */
    void noteCall(Call call, long nowMicros, long nowWallMicros) {
        lastEndpoint = call.endpoint;
        lastSentWallMicros = nowWallMicros - (nowMicros - call.startedAtMicros);
    }

    /** The noted call may have taken effect. */
    void markLastCallMayHaveRun() {
        markMayHaveRun(lastEndpoint.host(), lastEndpoint.zone(), lastSentWallMicros);
    }

    DecisionModule.Event.Submit toSubmitEvent(long nowMicros, long nowWallMicros) {
        // An attempt in the future means that the clock was set back, so its age is not known.
        long ageMicros =
                nowWallMicros < uncertainSentWallMicros ? UNKNOWN_AGE_MICROS : nowWallMicros - uncertainSentWallMicros;
        DecisionModule.PriorAttempts prior = isResumed
                ? new DecisionModule.PriorAttempts(
                        attemptCount,
                        mayHaveRun,
                        uncertainHost,
                        uncertainZone,
                        nowMicros - ageMicros,
                        isProbablyDelivered)
                : null;
        return new DecisionModule.Event.Submit(
                id(),
                submission.messageClass().number(),
                submission.destination(),
                0,
                null,
                submission.resubmitted(),
                submission.inherited(),
                Math.max(0, Math.min(submission.budgetMicros(), deadlineWallMicros - nowWallMicros)),
                prior);
    }
}
