package lilaclever.protocol.mail;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.random.RandomGenerator;
import lilaclever.DecisionModule.MessageClass;
import lilaclever.DecisionModule.RepeatSafety;
import lilaclever.log.Logs;
import lilaclever.routing.Core;
import lilaclever.routing.Deadlines;
import lilaclever.routing.FinalStatus;
import lilaclever.routing.Front;
import lilaclever.routing.Message;
import lilaclever.routing.MessageClasses;
import lilaclever.routing.Submission;

/**
 * Owes delivery status notifications to clients that were told that a mail is accepted. A report is in the journal
 * until a server has taken it or refuses it permanently, or it is dropped, which is logged. Meanwhile it is submitted
 * again and again, each time for the time of its class, as {@link ReportSchedule} says. Event loop.
 */
public final class ReportFront implements Front {
    private static final String ID_PREFIX = "report-";
    private static final long RECORD_RETRY_DELAY_MICROS = 1_000_000;
    /** What a report takes in the journal and in memory in addition to its body. */
    private static final int OVERHEAD_BYTES = 1_024;
    /** Share of the pending messages, and of the slots, that reports may take. */
    private static final int PENDING_DIVISOR = 8, SLOTS_DIVISOR = 4;
    /** Share of the journal, and of the heap, that reports may take. */
    private static final int JOURNAL_DIVISOR = 4, HEAP_DIVISOR = 32;

    /** A report whose client is not told yet: its last end, to be settled or taken up again. */
    private record Owed(Message ended, Runnable settled) {}

    /** A report that is not in the journal yet. */
    private record Unrecorded(Submission submission, Runnable recorded) {}

    private final Core core;
    private final MailSettings settings;
    private final MessageClasses classes;
    private final ReportSchedule schedule;
    private final Map<String, Owed> owed = new HashMap<>();
    private final ArrayDeque<Unrecorded> unrecorded = new ArrayDeque<>();
    private boolean isRecording;
    private Deadlines.Key timer;
    private long deliveredCount, retriedCount, droppedCount;

    /** Creates a front that owes nothing yet. */
    ReportFront(
            Core core,
            MailSettings settings,
            MessageClasses classes,
            ReportSchedule.Limits limits,
            RandomGenerator random) {
        this.core = core;
        this.settings = settings;
        this.classes = classes;
        this.schedule = new ReportSchedule(limits, random);
        core.counters().entryGauge("reports_owed", () -> owed.size() + unrecorded.size());
        core.counters().entryGauge("reports_in_flight", schedule::inFlight);
        core.counters().valueGauge("reports_owed_bytes", schedule::bytes);
        core.counters().valueGauge("reports_delivered", () -> deliveredCount);
        core.counters().valueGauge("reports_retried", () -> retriedCount);
        core.counters().valueGauge("reports_dropped", () -> droppedCount);
    }

    /**
     * Creates a front whose reports take at most a share of the capacity for messages.
     *
     * @param journalBytes the quota of the journal
     * @param maxPending the maximum number of pending messages
     * @param slots the maximum number of calls
     */
    public static ReportFront create(
            Core core,
            MailSettings settings,
            MessageClasses classes,
            long journalBytes,
            int maxPending,
            int slots,
            RandomGenerator random) {
        long maxBytes =
                Math.min(journalBytes / JOURNAL_DIVISOR, Runtime.getRuntime().maxMemory() / HEAP_DIVISOR);
        int maxInFlight = Math.max(1, Math.min(maxPending / PENDING_DIVISOR, slots / SLOTS_DIVISOR));
        return new ReportFront(core, settings, classes, new ReportSchedule.Limits(maxBytes, maxInFlight), random);
    }

    @Override
    public String name() {
        return "report";
    }

    @Override
    public boolean retriesRefused() {
        return true;
    }

    @Override
    public int destinationOf(Submission accepted) {
        return destinationFor(Mail.decode(accepted.body()));
    }

    private int destinationFor(Mail report) {
        MailSettings.Route route = settings.route(report.recipient());
        return route == null ? MailFront.NO_DESTINATION : route.destination();
    }

    /** How many reports wait to be sent; the journal retains them. */
    public int waitingCount() {
        return schedule.size() - schedule.inFlight();
    }

    /** A server of the destination has taken a mail. */
    void onServerReachable(int destination) {
        schedule.reachable(destination, core.nowMicros());
        restartTimer();
    }

    // Recording

    /**
     * Reports a failure to the reverse path, which must not be empty.
     *
     * @param recorded run once the report is in the journal
     */
    void report(String failedId, Mail failed, FinalStatus finalStatus, Runnable recorded) {
        Mail report =
                DeliveryStatusNotification.create(settings.hostName(), failed, finalStatus, failedId, MailFront.date());
        record(ID_PREFIX + failedId, report, recorded);
    }

    /** Owes a report that an earlier version of the program submitted as an ordinary mail. */
    void takeOver(String failedId, Mail report, Runnable recorded) {
        record(ID_PREFIX + failedId, report, recorded);
    }

    private void record(String id, Mail report, Runnable recorded) {
        var messageClass = classes.currentOrUnsafe(settings.dsnClass());
        Submission submission = new Submission(
                id,
                null,
                messageClass,
                destinationFor(report),
                null,
                report.encode(),
                false,
                false,
                messageClass.definition().deadlineMicros());
        unrecorded.add(new Unrecorded(submission, recorded));
        if (!isRecording) {
            isRecording = true;
            // After a restart the reports that were recorded earlier are known by then.
            core.post(this::recordAll);
        }
    }

    private void recordAll() {
        while (!unrecorded.isEmpty()) {
            Unrecorded next = unrecorded.peek();
            if (!owed.containsKey(next.submission().id()) && !core.recordOwed(this, next.submission())) {
                core.deadlines().schedule(core.nowMicros() + RECORD_RETRY_DELAY_MICROS, this::recordAll);
                return;
            }
            unrecorded.remove();
            core.whenDurable(next.recorded());
        }
        isRecording = false;
    }

    // Notifications from the core

    @Override
    public void onAccepted(Message message) {}

    @Override
    public void onRejected(Message message, FinalStatus finalStatus) {
        throw new IllegalStateException("reports are recorded before they are submitted");
    }

    @Override
    public void onFinalStatus(Message message, String id, FinalStatus finalStatus, Runnable settled) {
        owed.put(id, new Owed(message, settled));
        switch (finalStatus.kind()) {
            case DELIVERED, GONE -> {
                deliveredCount++;
                schedule.delivered(id, core.nowMicros());
                settle(id);
            }
            case REFUSED -> onRefused(message, id, finalStatus);
            default -> drop(id, isPermanent(finalStatus) ? "refused: " + finalStatus.detail() : "may have been taken");
        }
        restartTimer();
    }

    private static boolean isPermanent(FinalStatus finalStatus) {
        Reply reply = Reply.parse(finalStatus.detail());
        return reply != null && reply.isPermanentFailure();
    }

    private void onRefused(Message message, String id, FinalStatus finalStatus) {
        if (message.mayHaveRun() && !isSafeToRepeat(message)) {
            drop(id, "may have been taken");
        } else if (schedule.contains(id)) {
            retriedCount++;
            schedule.failed(id, core.nowMicros(), finalStatus.retryAfterMicros());
        } else {
            addToSchedule(message, id);
        }
    }

    private static boolean isSafeToRepeat(Message message) {
        MessageClass definition = message.submission.messageClass().definition();
        return definition != null && definition.repeat() == RepeatSafety.SAFE;
    }

    private void addToSchedule(Message message, String id) {
        Mail report = Mail.decode(message.submission.body());
        int destination = destinationFor(report);
        if (destination == MailFront.NO_DESTINATION) {
            Logs.warn("", "no-route", "no route for " + id + " to " + report.recipient(), "message", id);
        }
        long ageMicros = Math.max(0, Core.wallMicros() - message.submittedWallMicros());
        int bytes = message.submission.body().length + OVERHEAD_BYTES;
        schedule.add(id, destination, bytes, core.nowMicros() - ageMicros)
                .forEach(dropped -> drop(dropped, "no space for more reports"));
    }

    private void drop(String id, String reason) {
        String recipient = Mail.decode(owed.get(id).ended().submission.body()).recipient();
        Logs.warn("", "report-dropped", id + " to " + recipient + " is dropped: " + reason, "message", id);
        droppedCount++;
        schedule.remove(id);
        settle(id);
    }

    private void settle(String id) {
        owed.remove(id).settled().run();
    }

    // Sending

    private void restartTimer() {
        core.deadlines().cancel(timer);
        long nextAtMicros = schedule.nextAtMicros();
        timer = nextAtMicros == Long.MAX_VALUE
                ? null
                : core.deadlines().schedule(Math.max(nextAtMicros, core.nowMicros() + 1), this::sendDue);
    }

    private void sendDue() {
        long nowMicros = core.nowMicros();
        schedule.takeExpired(nowMicros).forEach(id -> drop(id, "not delivered within its lifetime"));
        for (String id = schedule.takeDue(nowMicros); id != null; id = schedule.takeDue(nowMicros)) {
            if (!core.reopen(owed.get(id).ended())) {
                schedule.postponed(id, nowMicros);
            }
        }
        restartTimer();
    }
}
