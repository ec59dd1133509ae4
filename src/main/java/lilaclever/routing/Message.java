package lilaclever.routing;

import java.util.ArrayList;
import java.util.List;
import lilaclever.DecisionModule;
import lilaclever.identity.Fingerprint;
import lilaclever.identity.Identity;

/** A message in the core's hands. */
public final class Message {
    private static final long UNKNOWN_AGE_MICROS = 86_400_000_000L;

    /** What the front handed in. */
    public final Submission submission;
    /** Where it came from. */
    public final Front front;
    /** When its time is up, on the wall clock, microseconds: this outlasts the process. */
    final long deadlineWallMicros;
    /** Who is owed its end: whoever handed it in, and whoever handed in the same since. */
    final List<DeduplicationTable.Submitter> submitters = new ArrayList<>(1);

    private Fingerprint fingerprint;
    boolean isJournaled;
    boolean isAcceptanceDurable;
    boolean isFinished;
    boolean isResumed;
    int attemptCount;
    Call currentCall;
    /** When it must not go with that call any more, and when its time is up, by the loop's clock, microseconds. */
    long writeByMicros;

    long deadlineMicros;

    boolean mayHaveRun;
    String possibleRunHost = "";
    int possibleRunZone;
    long possibleRunWallMicros;
    FinalStatus finalStatus;
    /** What the last endpoint said, for people. */
    public String lastResponseText = "";

    Message(Submission submission, Front front, long deadlineWallMicros) {
        this.submission = submission;
        this.front = front;
        this.deadlineWallMicros = deadlineWallMicros;
        submitters.add(new DeduplicationTable.Submitter(front, submission.id()));
    }

    /** What it says, where that is compared; else null. */
    Fingerprint fingerprint() {
        if (fingerprint == null && Identity.isShared(submission.identity())) {
            fingerprint = Fingerprint.of(submission.messageClass(), submission.destination(), submission.body());
        }
        return fingerprint;
    }

    /** The id. */
    public String id() {
        return submission.id();
    }

    /** True until the message has ended. */
    public boolean isOpen() {
        return !isFinished;
    }

    /** True once it is in the journal for good: whoever asks may be told. */
    public boolean isAccepted() {
        return isAcceptanceDurable;
    }

    /** How it ended; null while it is open. */
    public FinalStatus finalStatus() {
        return finalStatus;
    }

    void markPossiblyRun(String host, int zone, long wallMicros) {
        if (!mayHaveRun) {
            mayHaveRun = true;
            possibleRunHost = host;
            possibleRunZone = zone;
            possibleRunWallMicros = wallMicros;
        }
    }

    DecisionModule.Event.Submit toSubmitEvent(long nowMicros, long nowWallMicros) {
        // An attempt can't be younger than now: the clock was set back, and it may be of any age.
        long ageMicros =
                nowWallMicros < possibleRunWallMicros ? UNKNOWN_AGE_MICROS : nowWallMicros - possibleRunWallMicros;
        DecisionModule.PriorAttempts prior = isResumed
                ? new DecisionModule.PriorAttempts(
                        attemptCount, mayHaveRun, possibleRunHost, possibleRunZone, nowMicros - ageMicros)
                : null;
        return new DecisionModule.Event.Submit(
                id(),
                submission.messageClass(),
                submission.destination(),
                0,
                null,
                submission.resubmitted(),
                submission.inherited(),
                Math.max(0, Math.min(submission.budgetMicros(), deadlineWallMicros - nowWallMicros)),
                prior);
    }
}
