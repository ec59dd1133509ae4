package lilaclever.protocol.mail;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * Chooses which of the reports that are owed is sent next, when, and which one is dropped for want of space. Does no
 * I/O and reads no clock; all times are in microseconds on the caller's clock.
 *
 * <p>A report that could not be delivered is sent again after a quarter of the time for which it has failed, so that
 * it arrives soon after an outage of any length. A server that has failed gets one report at a time until one is
 * delivered; each further delivery allows one more. So neither an outage nor its end takes the slots of other
 * messages.
 */
final class ReportSchedule {
    /** RFC 5321, 4.5.4.1: a sender keeps trying for four to five days. */
    static final long LIFETIME_MICROS = 5 * 86_400_000_000L;

    static final long MIN_RETRY_DELAY_MICROS = 1_000_000;
    /** RFC 5321, 4.5.4.1: the interval for one message that a sender's delays grow to. */
    static final long MAX_REPORT_DELAY_MICROS = 30 * 60_000_000L;
    /** Shorter, as a report that has not been tried yet may not share the fate of the others. */
    static final long MAX_SERVER_DELAY_MICROS = 60_000_000;
    /** The delay is this fraction of the time for which all attempts have failed. */
    private static final int FAILING_TIME_DIVISOR = 4;
    /** A random part of the delay that is left out, so that the senders of a fleet don't come at once. */
    private static final double SPREAD = 0.25;

    private static final long NEVER = Long.MAX_VALUE;

    /**
     * Limits of all reports together.
     *
     * @param maxBytes the size of all that are owed
     * @param maxInFlight how many may be sent at once
     */
    record Limits(long maxBytes, int maxInFlight) {}

    /** A series of failed attempts, at one server or of one report. */
    private final class FailureSeries {
        private final long maxDelayMicros;
        private long sinceMicros = NEVER;
        private long retryAtMicros = Long.MIN_VALUE;

        FailureSeries(long maxDelayMicros) {
            this.maxDelayMicros = maxDelayMicros;
        }

        void extend(long nowMicros, long minDelayMicros) {
            sinceMicros = Math.min(sinceMicros, nowMicros);
            long growing = Math.min((nowMicros - sinceMicros) / FAILING_TIME_DIVISOR, maxDelayMicros);
            long spread = (long) (growing * (1 - SPREAD * random.nextDouble()));
            retryAtMicros = nowMicros + Math.max(spread, Math.max(minDelayMicros, MIN_RETRY_DELAY_MICROS));
        }

        void end(long nowMicros) {
            sinceMicros = NEVER;
            retryAtMicros = nowMicros;
        }
    }

    private final class Report {
        final String id;
        final Server server;
        final int bytes;
        final long expiresAtMicros;
        final FailureSeries failures = new FailureSeries(MAX_REPORT_DELAY_MICROS);
        boolean isInFlight;

        Report(String id, Server server, int bytes, long expiresAtMicros) {
            this.id = id;
            this.server = server;
            this.bytes = bytes;
            this.expiresAtMicros = expiresAtMicros;
        }
    }

    /** The servers of one destination, and the reports owed to its clients. */
    private final class Server {
        final int destination;
        /** Oldest first; those that have failed are behind those that have not. */
        final Map<String, Report> reports = new LinkedHashMap<>();

        final FailureSeries failures = new FailureSeries(MAX_SERVER_DELAY_MICROS);
        long bytes;
        int inFlight;
        int maxInFlight = 1;

        Server(int destination) {
            this.destination = destination;
        }

        /** When it may get its next report; {@link #NEVER} before one that is in flight has ended. */
        long nextAtMicros() {
            if (inFlight >= maxInFlight || destination == MailFront.NO_DESTINATION) {
                return NEVER;
            }
            long earliest = NEVER;
            for (Report report : reports.values()) {
                if (!report.isInFlight) {
                    earliest = Math.min(earliest, report.failures.retryAtMicros);
                }
            }
            return earliest == NEVER ? NEVER : Math.max(earliest, failures.retryAtMicros);
        }

        Report firstDue(long nowMicros) {
            for (Report report : reports.values()) {
                if (!report.isInFlight && report.failures.retryAtMicros <= nowMicros) {
                    return report;
                }
            }
            return null;
        }

        Report oldestNotInFlight() {
            Report oldest = null;
            for (Report report : reports.values()) {
                if (!report.isInFlight && (oldest == null || report.expiresAtMicros < oldest.expiresAtMicros)) {
                    oldest = report;
                }
            }
            return oldest;
        }
    }

    private final Limits limits;
    private final RandomGenerator random;
    private final Map<String, Report> reports = new HashMap<>();
    private final Map<Integer, Server> servers = new HashMap<>();
    private long bytes;
    private int inFlight;

    ReportSchedule(Limits limits, RandomGenerator random) {
        this.limits = limits;
        this.random = random;
    }

    /**
     * Adds a report that is owed since the given time. Returns those that have to be dropped for it: the oldest of the
     * destination that takes most of the space, so that one outage takes nothing from the clients of other servers.
     */
    List<String> add(String id, int destination, int reportBytes, long owedSinceMicros) {
        Server server = servers.computeIfAbsent(destination, Server::new);
        Report report = new Report(id, server, reportBytes, owedSinceMicros + LIFETIME_MICROS);
        reports.put(id, report);
        server.reports.put(id, report);
        server.bytes += reportBytes;
        bytes += reportBytes;
        return dropOverLimit();
    }

    private List<String> dropOverLimit() {
        List<String> dropped = new ArrayList<>();
        while (bytes > limits.maxBytes()) {
            Report oldest = oldestOfLargest();
            if (oldest == null) {
                break; // all are in flight, and their number is limited
            }
            remove(oldest.id);
            dropped.add(oldest.id);
        }
        return dropped;
    }

    private Report oldestOfLargest() {
        Report oldest = null;
        for (Server server : servers.values()) {
            Report candidate = server.oldestNotInFlight();
            if (candidate != null && (oldest == null || server.bytes > oldest.server.bytes)) {
                oldest = candidate;
            }
        }
        return oldest;
    }

    /** The report to be sent now, which counts as in flight from then on; null if there is none. */
    String takeDue(long nowMicros) {
        if (inFlight >= limits.maxInFlight()) {
            return null;
        }
        Server longestDue = null;
        long longestDueAtMicros = NEVER;
        for (Server server : servers.values()) {
            long atMicros = server.nextAtMicros();
            if (atMicros <= nowMicros && atMicros < longestDueAtMicros) {
                longestDue = server;
                longestDueAtMicros = atMicros;
            }
        }
        if (longestDue == null) {
            return null;
        }
        Report report = longestDue.firstDue(nowMicros);
        report.isInFlight = true;
        longestDue.inFlight++;
        inFlight++;
        return report.id;
    }

    /**
     * When {@link #takeDue} or {@link #takeExpired} next has a report; {@code Long.MAX_VALUE}: not before another end.
     */
    long nextAtMicros() {
        long earliest = NEVER;
        for (Report report : reports.values()) {
            earliest = report.isInFlight ? earliest : Math.min(earliest, report.expiresAtMicros);
        }
        if (inFlight < limits.maxInFlight()) {
            for (Server server : servers.values()) {
                earliest = Math.min(earliest, server.nextAtMicros());
            }
        }
        return earliest;
    }

    /** The report was delivered. */
    void delivered(String id, long nowMicros) {
        Report report = reports.get(id);
        if (report != null) {
            report.server.maxInFlight++;
            report.server.failures.end(nowMicros);
            remove(id);
        }
    }

    /** The report could not be delivered; it is sent again, after at least the given delay. */
    void failed(String id, long nowMicros, long minDelayMicros) {
        Report report = reports.get(id);
        if (report != null) {
            land(report);
            report.server.maxInFlight = 1;
            report.server.failures.extend(nowMicros, minDelayMicros);
            report.failures.extend(nowMicros, minDelayMicros);
            report.server.reports.remove(id);
            report.server.reports.put(id, report);
        }
    }

    /** The report was not sent, for a reason that says nothing about its server. */
    void postponed(String id, long nowMicros) {
        Report report = reports.get(id);
        if (report != null) {
            land(report);
            report.server.failures.retryAtMicros = nowMicros + MIN_RETRY_DELAY_MICROS;
        }
    }

    /** A server of the destination has taken another mail, so it is worth trying. */
    void reachable(int destination, long nowMicros) {
        Server server = servers.get(destination);
        if (server != null && server.failures.sinceMicros != NEVER) {
            server.failures.end(nowMicros);
        }
    }

    private void land(Report report) {
        if (report.isInFlight) {
            report.isInFlight = false;
            report.server.inFlight--;
            inFlight--;
        }
    }

    /** Removes a report that is not owed any more. */
    void remove(String id) {
        Report report = reports.remove(id);
        if (report == null) {
            return;
        }
        land(report);
        bytes -= report.bytes;
        report.server.bytes -= report.bytes;
        report.server.reports.remove(id);
        if (report.server.reports.isEmpty()) {
            servers.remove(report.server.destination);
        }
    }

    /** Removes and returns the reports whose lifetime is over. */
    List<String> takeExpired(long nowMicros) {
        List<String> expired = new ArrayList<>();
        for (Iterator<Report> each = reports.values().iterator(); each.hasNext(); ) {
            Report report = each.next();
            if (!report.isInFlight && report.expiresAtMicros <= nowMicros) {
                expired.add(report.id);
            }
        }
        expired.forEach(this::remove);
        return expired;
    }

    /** Whether the report is owed. */
    boolean contains(String id) {
        return reports.containsKey(id);
    }

    /** How many reports are owed. */
    int size() {
        return reports.size();
    }

    /** How many reports are being sent. */
    int inFlight() {
        return inFlight;
    }

    /** The size of all reports that are owed. */
    long bytes() {
        return bytes;
    }
}
