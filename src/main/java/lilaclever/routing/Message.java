package lilaclever.routing;

import java.util.ArrayList;
import java.util.List;
import lilaclever.DecisionModule;
import lilaclever.identity.Fingerprint;
import lilaclever.identity.Identity;

/** A message in the core, from submission until it is settled. */
public final class Message {
    /** Age of an attempt whose time is not known: one day. */
    private static final long LONG_AGO = 86_400_000_000L;

    public final Submission submission;
    /** The front that submitted it first. */
    public final Front front;
    /** Deadline on the wall clock, microseconds, since it has to hold across restarts. */
    final long deadlineWall;
    /** Who is notified of the final status: the submitter, and those who submitted a duplicate since. */
    final List<DeduplicationTable.Claim> claims = new ArrayList<>(1);

    private Fingerprint content;
    boolean journaled;
    boolean told;
    boolean over;
    boolean resumed;
    int attempts;
    Call out;
    /** From when on it must not be sent with the current call, on the event loop's clock, microseconds. */
    long writeBy;

    /** Deadline on the event loop's clock, microseconds; set with each call. */
    long deadline;

    /** Whether some endpoint may have processed it; the fields below describe the first such attempt. */
    boolean mayHaveRun;
    String riskHost = "";
    int riskZone;
    long riskWall;
    FinalStatus verdict;
    /** Human-readable response of the last endpoint. */
    public String lastWord = "";

    Message(Submission submission, Front front, long deadlineWall) {
        this.submission = submission;
        this.front = front;
        this.deadlineWall = deadlineWall;
        claims.add(new DeduplicationTable.Claim(front, submission.id()));
    }

    /** The fingerprint of its content where duplicates are compared by content, else null. */
    Fingerprint content() {
        if (content == null && Identity.isShared(submission.identity())) {
            content = Fingerprint.of(submission.messageClass(), submission.destination(), submission.body());
        }
        return content;
    }

    /** The id under which the front submitted it. */
    public String id() {
        return submission.id();
    }

    /** True until the message has its final status. */
    public boolean isOpen() {
        return !over;
    }

    /** True once it is recorded durably, so that its acceptance may be reported. */
    public boolean isTakenOn() {
        return told;
    }

    /** The final status, or null while it is open. */
    public FinalStatus verdict() {
        return verdict;
    }

    void mayHaveRun(String host, int zone, long wall) {
        if (!mayHaveRun) {
            mayHaveRun = true;
            riskHost = host;
            riskZone = zone;
            riskWall = wall;
        }
    }

    DecisionModule.Event.Submit submit(long nowMono, long nowWall) {
        // An attempt in the future means that the clock was set back, so its age is not known.
        long since = nowWall < riskWall ? LONG_AGO : nowWall - riskWall;
        DecisionModule.Prior prior =
                resumed ? new DecisionModule.Prior(attempts, mayHaveRun, riskHost, riskZone, nowMono - since) : null;
        return new DecisionModule.Event.Submit(
                id(),
                submission.messageClass(),
                submission.destination(),
                0,
                null,
                submission.again(),
                submission.inherited(),
                Math.max(0, Math.min(submission.budgetMicros(), deadlineWall - nowWall)),
                prior);
    }
}
