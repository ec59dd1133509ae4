package lilaclever.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The account of a run, kept from what clients, endpoints and platforms wrote and read: what happened to each message,
 * and which rules of the protocol page were broken. Times in nanoseconds on one clock. Any thread.
 */
final class SoakAccount {
    static final long NANOS_PER_MILLI = 1_000_000;
    /** Every time limit is this much longer on sockets. */
    static final long SOCKET_SLACK_NANOS = 50 * NANOS_PER_MILLI;

    static final long LOST_AFTER_DEADLINE_NANOS = 300 * NANOS_PER_MILLI;
    static final long RESTART_GRACE_NANOS = 1_500 * NANOS_PER_MILLI;
    static final long DRAIN_GRACE_NANOS = 500 * NANOS_PER_MILLI;
    static final long WAIT_GRACE_NANOS = 100 * NANOS_PER_MILLI;
    /** An answer that was written this long before the process was killed has been read. */
    static final long READ_BEFORE_KILL_NANOS = 150 * NANOS_PER_MILLI;

    static final long READY_LIMIT_NANOS = 30_000 * NANOS_PER_MILLI;
    private static final long NEVER = Long.MAX_VALUE / 4;

    /** Whether and how long a message may be sent again after a call that may have run. */
    enum Repeat {
        SAFE,
        KEYED,
        UNSAFE
    }

    /** How an endpoint ended a call of a message. */
    enum CallEnd {
        DELIVERED,
        NEVER_RAN,
        MAY_HAVE_RUN,
        /** The message is over: nothing more is owed, and no call may follow. */
        OVER,
        /** The message has had its attempts: its end is owed, and no call may follow. */
        NO_ATTEMPTS_LEFT;

        boolean neverRan() {
            return this == NEVER_RAN || forbidsCalls();
        }

        boolean forbidsCalls() {
            return this == OVER || this == NO_ATTEMPTS_LEFT;
        }
    }

    /** The rules, by the names of the protocol page. */
    enum Rule {
        LOST,
        DUPLICATE,
        DRAIN,
        WAIT,
        AFTER_END,
        UNANSWERED,
        CRASH,
        NOT_READY
    }

    /** A broken rule; {@code subject} is the message or the forwarder. */
    record Violation(Rule rule, String subject, String history) {
        @Override
        public String toString() {
            return rule + " " + subject + ": " + history;
        }
    }

    /** One call of a message as an endpoint read and answered it. */
    private static final class CallRecord {
        final String endpoint;
        final long firstByteNanos, lastByteNanos;
        CallEnd end;
        long endNanos = NEVER;

        CallRecord(String endpoint, long firstByteNanos, long lastByteNanos) {
            this.endpoint = endpoint;
            this.firstByteNanos = firstByteNanos;
            this.lastByteNanos = lastByteNanos;
        }

        /** Whether it may have had an effect, as known at the given time. */
        boolean mayHaveRunAt(long nanos) {
            return end == null || !end.neverRan() || endNanos > nanos;
        }
    }

    private static final class MessageRecord {
        final String forwarder;
        final Repeat repeat;
        final long sentNanos, deadlineNanos, windowNanos;
        long acceptedNanos = NEVER, deliveredNanos = NEVER, noticeNanos = NEVER, refusedNanos = NEVER;
        boolean endedWithoutAnswer;
        final List<CallRecord> calls = new ArrayList<>();
        final List<String> events = new ArrayList<>();

        MessageRecord(String forwarder, Repeat repeat, long sentNanos, long deadlineNanos, long windowNanos) {
            this.forwarder = forwarder;
            this.repeat = repeat;
            this.sentNanos = sentNanos;
            this.deadlineNanos = deadlineNanos;
            this.windowNanos = windowNanos;
        }
    }

    private record Restart(long signalNanos, long readyNanos) {}

    private record ToldWait(String forwarder, String limit, long writtenNanos, long untilNanos) {}

    private final long startNanos;
    private final Map<String, MessageRecord> messages = new LinkedHashMap<>();
    private final Map<String, List<Restart>> restarts = new LinkedHashMap<>();
    private final Map<String, Map<String, Long>> toldByForwarder = new LinkedHashMap<>();
    private final Map<String, List<Long>> killsNanos = new LinkedHashMap<>();
    private final List<ToldWait> waits = new ArrayList<>();
    private final List<Violation> processViolations = new ArrayList<>();
    private final List<String> faults = new ArrayList<>();

    /** Creates an empty account; histories show times since {@code startNanos}. */
    SoakAccount(long startNanos) {
        this.startNanos = startNanos;
    }

    // Messages
    /** A client has written a request; {@code deadlineNanos} and {@code windowNanos} are spans. */
    synchronized void handedIn(
            String id, String forwarder, Repeat repeat, long sentNanos, long deadlineNanos, long windowNanos) {
        MessageRecord message = new MessageRecord(forwarder, repeat, sentNanos, deadlineNanos, windowNanos);
        messages.put(id, message);
        note(message, sentNanos, "handed in to " + forwarder + " " + repeat);
    }

    /** A client has read the answer to its request. */
    synchronized void answered(String id, int status, long nanos) {
        MessageRecord message = messages.get(id);
        note(message, nanos, "answered " + status);
        if (status == 200 || status == 202) {
            message.acceptedNanos = Math.min(message.acceptedNanos, nanos);
        } else if (message.acceptedNanos == NEVER) {
            message.refusedNanos = Math.min(message.refusedNanos, nanos);
        }
    }

    /** The client's connection, and the one on which it sent the request once more, ended with no answer. */
    synchronized void endedWithoutAnswer(String id, long nanos) {
        MessageRecord message = messages.get(id);
        note(message, nanos, "connection ended with no answer");
        message.endedWithoutAnswer = true;
    }

    /** An endpoint has read a call of a message whole; returns the number of the call, for {@link #callEnded}. */
    synchronized int called(String id, String endpoint, long firstByteNanos, long lastByteNanos) {
        MessageRecord message = messages.get(id);
        message.calls.add(new CallRecord(endpoint, firstByteNanos, lastByteNanos));
        note(message, lastByteNanos, "called " + endpoint);
        return message.calls.size() - 1;
    }

    /** An endpoint has written what decides a call, or will write nothing. */
    synchronized void callEnded(String id, int call, CallEnd end, long nanos) {
        MessageRecord message = messages.get(id);
        CallRecord ended = message.calls.get(call);
        ended.end = end;
        ended.endNanos = nanos;
        note(message, nanos, end + " at " + ended.endpoint);
        if (end == CallEnd.DELIVERED) {
            message.deliveredNanos = Math.min(message.deliveredNanos, nanos);
        }
    }

    /** The platform has read a notice. */
    synchronized void noticed(String id, String status, long nanos) {
        MessageRecord message = messages.get(id);
        if (message != null) {
            note(message, nanos, "notice " + status);
            message.noticeNanos = Math.min(message.noticeNanos, nanos);
        }
    }

    /** Something was done to the message's connection, for its history alone. */
    synchronized void remark(String id, long nanos, String what) {
        MessageRecord message = messages.get(id);
        if (message != null) {
            note(message, nanos, what);
        }
    }

    private void note(MessageRecord message, long nanos, String what) {
        message.events.add((nanos - startNanos) / NANOS_PER_MILLI + " ms " + what);
    }

    // Forwarders and the world around them
    /** A forwarder got SIGTERM or SIGKILL, and the next process was ready at the given time. */
    synchronized void restarted(String forwarder, long signalNanos, long readyNanos) {
        restarts.computeIfAbsent(forwarder, f -> new ArrayList<>()).add(new Restart(signalNanos, readyNanos));
    }

    /** The forwarder's process was killed. */
    synchronized void killed(String forwarder, long nanos) {
        killsNanos.computeIfAbsent(forwarder, f -> new ArrayList<>()).add(nanos);
    }

    synchronized void crashed(String forwarder, String how) {
        processViolations.add(new Violation(Rule.CRASH, forwarder, how));
    }

    /** A process was started, and became ready at the given time. */
    synchronized void ready(String forwarder, long startedNanos, long readyNanos) {
        if (readyNanos - startedNanos > READY_LIMIT_NANOS) {
            processViolations.add(new Violation(
                    Rule.NOT_READY, forwarder, (readyNanos - startedNanos) / NANOS_PER_MILLI + " ms to be ready"));
        }
    }

    /** The forwarder counts as told from this time on that the endpoint drains or has left. */
    synchronized void toldOfDeparture(String forwarder, String endpoint, long nanos) {
        toldByForwarder.computeIfAbsent(forwarder, f -> new LinkedHashMap<>()).putIfAbsent(endpoint, nanos);
    }

    /**
     * An answer with a wait was written to the forwarder between the two times; {@code limit} names the endpoints that
     * it holds for.
     */
    synchronized void toldToWait(String forwarder, String limit, long fromNanos, long writtenNanos, long waitNanos) {
        waits.add(new ToldWait(forwarder, limit, writtenNanos, fromNanos + waitNanos));
        fault(writtenNanos, forwarder + " told to wait " + waitNanos / NANOS_PER_MILLI + " ms for " + limit);
    }

    /** A fault was played, for the record. */
    synchronized void fault(long nanos, String what) {
        faults.add((nanos - startNanos) / NANOS_PER_MILLI + " ms " + what);
    }

    // Verdict
    /** All broken rules. */
    synchronized List<Violation> violations(Map<String, String> limitByEndpoint) {
        List<Violation> all = new ArrayList<>(processViolations);
        messages.forEach((id, message) -> {
            addIf(all, isLost(message), Rule.LOST, id, message);
            addIf(all, isDuplicate(message), Rule.DUPLICATE, id, message);
            addIf(all, isSentToDeparted(message), Rule.DRAIN, id, message);
            addIf(all, isSentWithinWait(message, limitByEndpoint), Rule.WAIT, id, message);
            addIf(all, isSentAfterEnd(message), Rule.AFTER_END, id, message);
            addIf(all, message.endedWithoutAnswer, Rule.UNANSWERED, id, message);
        });
        return all;
    }

    private static void addIf(List<Violation> all, boolean isBroken, Rule rule, String id, MessageRecord message) {
        if (isBroken) {
            all.add(new Violation(rule, id, String.join("; ", message.events)));
        }
    }

    private boolean isLost(MessageRecord message) {
        if (message.acceptedNanos == NEVER || message.calls.stream().anyMatch(call -> call.end == CallEnd.OVER)) {
            return false;
        }
        long dueNanos = message.sentNanos + message.deadlineNanos + LOST_AFTER_DEADLINE_NANOS + SOCKET_SLACK_NANOS;
        List<Restart> ordered = new ArrayList<>(restarts.getOrDefault(message.forwarder, List.of()));
        ordered.sort(Comparator.comparingLong(Restart::signalNanos));
        for (Restart restart : ordered) {
            long overdueFromNanos = restart.readyNanos() + RESTART_GRACE_NANOS + SOCKET_SLACK_NANOS;
            if (dueNanos >= restart.signalNanos() && dueNanos < overdueFromNanos) {
                dueNanos = overdueFromNanos;
            }
        }
        return Math.min(message.deliveredNanos, message.noticeNanos) > dueNanos;
    }

    private static boolean isDuplicate(MessageRecord message) {
        if (message.repeat == Repeat.SAFE) {
            return false;
        }
        long firstMayHaveRunNanos = NEVER;
        for (CallRecord call : message.calls) {
            for (CallRecord earlier : message.calls) {
                if (earlier == call) {
                    break;
                }
                if (earlier.mayHaveRunAt(call.firstByteNanos)) {
                    firstMayHaveRunNanos = Math.min(firstMayHaveRunNanos, earlier.lastByteNanos);
                }
            }
            long allowedNanos = message.repeat == Repeat.UNSAFE ? 0 : message.windowNanos + SOCKET_SLACK_NANOS;
            if (firstMayHaveRunNanos < NEVER && call.lastByteNanos > firstMayHaveRunNanos + allowedNanos) {
                return true;
            }
        }
        return false;
    }

    /** Whether a call followed the message's notice, its refusal, or an answer that forbids further calls. */
    private boolean isSentAfterEnd(MessageRecord message) {
        long endNanos = Math.min(message.noticeNanos, message.refusedNanos);
        for (CallRecord call : message.calls) {
            if (call.end != null && call.end.forbidsCalls() && !wasKilledAt(message.forwarder, call.endNanos)) {
                endNanos = Math.min(endNanos, call.endNanos);
            }
        }
        long allowedNanos = endNanos + SOCKET_SLACK_NANOS;
        return message.calls.stream().anyMatch(call -> call.firstByteNanos > allowedNanos);
    }

    /** Whether the process was killed so soon after the time that it may not have read what was written then. */
    private boolean wasKilledAt(String forwarder, long nanos) {
        return killsNanos.getOrDefault(forwarder, List.of()).stream()
                .anyMatch(kill -> kill >= nanos && kill - nanos < READ_BEFORE_KILL_NANOS);
    }

    private boolean isSentToDeparted(MessageRecord message) {
        Map<String, Long> told = toldByForwarder.getOrDefault(message.forwarder, Map.of());
        return message.calls.stream()
                .anyMatch(call -> call.firstByteNanos
                        > told.getOrDefault(call.endpoint, NEVER) + DRAIN_GRACE_NANOS + SOCKET_SLACK_NANOS);
    }

    private boolean isSentWithinWait(MessageRecord message, Map<String, String> limitByEndpoint) {
        return message.calls.stream()
                .anyMatch(call -> waits.stream()
                        .anyMatch(wait -> wait.forwarder().equals(message.forwarder)
                                && wait.limit().equals(limitByEndpoint.get(call.endpoint))
                                && call.firstByteNanos > wait.writtenNanos() + WAIT_GRACE_NANOS + SOCKET_SLACK_NANOS
                                && call.firstByteNanos < wait.untilNanos()
                                && !isRestartBetween(message.forwarder, wait.writtenNanos(), call.firstByteNanos)));
    }

    private boolean isRestartBetween(String forwarder, long fromNanos, long toNanos) {
        return restarts.getOrDefault(forwarder, List.of()).stream()
                .anyMatch(restart -> restart.readyNanos() > fromNanos && restart.signalNanos() < toNanos);
    }

    // Figures
    synchronized long acceptedCount() {
        return messages.values().stream().filter(m -> m.acceptedNanos < NEVER).count();
    }

    synchronized long deliveredCount() {
        return messages.values().stream()
                .filter(m -> m.acceptedNanos < NEVER && m.deliveredNanos < NEVER)
                .count();
    }

    /** Messages that were taken on, not delivered and ended by a notice. */
    synchronized long noticedCount() {
        return messages.values().stream()
                .filter(m -> m.acceptedNanos < NEVER && m.deliveredNanos == NEVER && m.noticeNanos < NEVER)
                .count();
    }

    /** The median time from the first byte of a message to its delivery, in milliseconds. */
    synchronized long medianDeliveryMillis() {
        long[] spans = messages.values().stream()
                .filter(m -> m.deliveredNanos < NEVER)
                .mapToLong(m -> m.deliveredNanos - m.sentNanos)
                .sorted()
                .toArray();
        return spans.length == 0 ? 0 : spans[spans.length / 2] / NANOS_PER_MILLI;
    }

    /** When the last message that was handed in is overdue unless a restart excuses it. */
    synchronized long lastDueNanos() {
        return messages.values().stream()
                .mapToLong(m -> m.sentNanos + m.deadlineNanos + LOST_AFTER_DEADLINE_NANOS + SOCKET_SLACK_NANOS)
                .max()
                .orElse(startNanos);
    }

    /** The whole record, a line for each message and each fault. */
    synchronized List<String> lines() {
        List<String> lines = new ArrayList<>(faults);
        messages.forEach((id, message) -> lines.add(id + ": " + String.join("; ", message.events)));
        return lines;
    }
}
