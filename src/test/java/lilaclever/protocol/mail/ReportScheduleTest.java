package lilaclever.protocol.mail;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** When reports are sent again, how many at once, and which are dropped. */
class ReportScheduleTest {
    private static final long SECOND = 1_000_000, MINUTE = 60 * SECOND, DAY = 86_400 * SECOND;
    private static final int DESTINATION = 1_000_000, OTHER_DESTINATION = 1_000_001, REPORT_BYTES = 2_000;
    private static final int MAX_IN_FLIGHT = 5;
    /** The time of a report's class, within which a server that is away is tried. */
    private static final long ROUND_MICROS = 6 * SECOND;

    private final ReportSchedule schedule = schedule(1 << 20);

    private static ReportSchedule schedule(long maxBytes) {
        return new ReportSchedule(new ReportSchedule.Limits(maxBytes, MAX_IN_FLIGHT), new SplittableRandom(1));
    }

    private static void add(ReportSchedule schedule, String id, int destination) {
        assertEquals(List.of(), schedule.add(id, destination, REPORT_BYTES, 0));
    }

    /** Fails all rounds until the given time; returns when the next one begins. */
    private long failUntil(long endMicros, List<Long> starts) {
        long nowMicros = 0;
        while (nowMicros < endMicros) {
            assertNotNull(schedule.takeDue(nowMicros));
            starts.add(nowMicros);
            schedule.failed("a", nowMicros + ROUND_MICROS, 0);
            nowMicros = schedule.nextAtMicros();
        }
        return nowMicros;
    }

    /** Guards against a report that is given up with its server away, or comes long after that is back. */
    @ParameterizedTest
    @ValueSource(longs = {12, 20, 60, 600, 3_600, 86_400, 4 * 86_400})
    void reportComesSoonAfterAnOutageOfAnyLength(long outageSeconds) {
        add(schedule, "a", DESTINATION);
        long outageMicros = outageSeconds * SECOND;
        long nextMicros = failUntil(outageMicros, new ArrayList<>());
        long allowedMicros = Math.min(outageMicros / 4, 30 * MINUTE) + ROUND_MICROS;
        assertTrue(nextMicros - outageMicros <= allowedMicros, nextMicros - outageMicros + " us after the outage");
        assertEquals("a", schedule.takeDue(nextMicros));
    }

    /** Guards against attempts in short steps for days (RFC 5321, 4.5.4.1). */
    @Test
    void delaysGrowToHalfAnHour() {
        add(schedule, "a", DESTINATION);
        List<Long> starts = new ArrayList<>();
        failUntil(DAY, starts);
        assertTrue(starts.size() < 120, starts.size() + " rounds on the first day");
        long last = starts.get(starts.size() - 1) - starts.get(starts.size() - 2);
        assertTrue(last >= 22 * MINUTE && last <= 31 * MINUTE, last + " us between the last two");
    }

    /** Guards against a server that is away and takes the slots of honest messages with thousands of reports. */
    @Test
    void serverThatFailsGetsOneReportAtATimeAndAllAtAGrowingPaceOnceItIsBack() {
        for (int i = 0; i < 400; i++) {
            add(schedule, "r" + i, DESTINATION);
        }
        String probe = schedule.takeDue(0);
        assertNull(schedule.takeDue(0));
        schedule.failed(probe, ROUND_MICROS, 0);
        assertNull(schedule.takeDue(ROUND_MICROS));
        long backMicros = schedule.nextAtMicros();
        List<String> sent = new ArrayList<>();
        List<Integer> batches = new ArrayList<>();
        for (long nowMicros = backMicros; schedule.size() > 0; nowMicros = schedule.nextAtMicros()) {
            List<String> batch = new ArrayList<>();
            for (String id = schedule.takeDue(nowMicros); id != null; id = schedule.takeDue(nowMicros)) {
                batch.add(id);
            }
            for (String id : batch) {
                schedule.delivered(id, nowMicros);
            }
            batches.add(batch.size());
            sent.addAll(batch);
        }
        assertEquals(400, sent.stream().distinct().count());
        assertEquals(List.of(1, 2, 4, 5, 5), batches.subList(0, 5));
    }

    /** Guards against clients of other servers that wait, or lose their reports, for a server that is away. */
    @Test
    void oneServerTakesNothingFromTheClientsOfAnother() {
        ReportSchedule full = schedule(10 * REPORT_BYTES);
        add(full, "other", OTHER_DESTINATION);
        List<String> dropped = new ArrayList<>();
        for (int i = 0; i < 1_000; i++) {
            dropped.addAll(full.add("r" + i, DESTINATION, REPORT_BYTES, i + 1));
        }
        assertEquals(10, full.size());
        assertTrue(full.contains("other"));
        assertEquals(991, dropped.size());
        assertEquals("r0", dropped.get(0), "the oldest goes first");
        assertEquals(10 * REPORT_BYTES, full.bytes());
        List<String> taken = new ArrayList<>();
        for (String id = full.takeDue(0); id != null; id = full.takeDue(0)) {
            taken.add(id);
        }
        assertEquals(2, taken.size());
        assertTrue(taken.contains("other"), "both servers get one: " + taken);
    }

    /** Guards against one recipient whose mailbox is full and holds up the reports to the others of its server. */
    @Test
    void reportThatIsRefusedAgainAndAgainHoldsUpNoOther() {
        add(schedule, "bad", DESTINATION);
        long nowMicros = 0;
        int badAttempts = 0;
        for (int i = 0; i < 100; i++) {
            add(schedule, "good" + i, DESTINATION);
            for (String id = schedule.takeDue(nowMicros); id != null; id = schedule.takeDue(nowMicros)) {
                if (id.equals("bad")) {
                    badAttempts++;
                    schedule.failed(id, nowMicros, 0);
                } else {
                    schedule.delivered(id, nowMicros);
                }
            }
            nowMicros += 10 * SECOND;
        }
        assertTrue(schedule.size() <= 2, schedule.size() + " are still owed");
        assertTrue(badAttempts < 40, badAttempts + " attempts for the one");
    }

    /** Guards against reports without a route, or that nobody takes, which are held for ever. */
    @Test
    void reportIsGivenUpAfterFiveDays() {
        schedule.add("lost", MailFront.NO_DESTINATION, REPORT_BYTES, 0);
        assertNull(schedule.takeDue(DAY));
        assertEquals(List.of(), schedule.takeExpired(5 * DAY - 1));
        assertEquals(5 * DAY, schedule.nextAtMicros());
        assertEquals(List.of("lost"), schedule.takeExpired(5 * DAY));
        assertEquals(0, schedule.bytes());
    }

    /** Guards against waiting out a long delay although another mail has shown that the server is back. */
    @Test
    void serverThatHasTakenAnotherMailIsTriedAtOnce() {
        add(schedule, "a", DESTINATION);
        schedule.failed(schedule.takeDue(0), MINUTE, 0);
        schedule.failed(schedule.takeDue(schedule.nextAtMicros()), 60 * MINUTE, 0);
        add(schedule, "fresh", DESTINATION);
        long nowMicros = 60 * MINUTE + SECOND;
        assertNull(schedule.takeDue(nowMicros));
        schedule.reachable(DESTINATION, nowMicros);
        assertEquals("fresh", schedule.takeDue(nowMicros));
    }
}
