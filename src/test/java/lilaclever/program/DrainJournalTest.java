package lilaclever.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import lilaclever.DecisionModule;
import lilaclever.DecisionModule.ListingKind;
import lilaclever.DecisionModule.Presence;
import lilaclever.journal.BootClock;
import lilaclever.journal.Disk;
import lilaclever.journal.Durability;
import lilaclever.journal.FolderDisk;
import lilaclever.journal.JournalClocks;
import lilaclever.journal.SegmentedJournal;
import lilaclever.program.DrainChange.Status;
import lilaclever.program.DrainChange.Target;
import lilaclever.protocol.http.HttpDeliverer;
import lilaclever.routing.Call;
import lilaclever.routing.Core;
import lilaclever.routing.Counters;
import lilaclever.routing.FinalStatus;
import lilaclever.routing.Front;
import lilaclever.routing.Message;
import lilaclever.routing.Submission;
import lilaclever.transport.Transport;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** A call waits for the journal to sync its attempt, and its endpoint drains meanwhile. */
class DrainJournalTest {
    private static final int GROUP = 7;
    private static final long CONNECT_TIMEOUT_MICROS = 1_500_000,
            KEEP_ALIVE_MICROS = 15_000_000,
            MESSAGE_DEADLINE_MICROS = 10_000_000;
    private static final long DISK_BYTES = 3 << 20;

    @TempDir
    private Path state;

    private final DrainAuditor auditor = new DrainAuditor();
    private final CountDownLatch syncAllowed = new CountDownLatch(1);
    private final CountDownLatch messageEnded = new CountDownLatch(1);

    /** A disk whose syncs block until they are released. */
    private record DiskWithBlockedSync(Disk disk, CountDownLatch released) implements Disk {
        private record FileWithBlockedSync(DiskFile file, CountDownLatch released) implements DiskFile {
            @Override
            public int read(ByteBuffer into, long position) throws IOException {
                return file.read(into, position);
            }

            @Override
            public void write(ByteBuffer bytes, long position) throws IOException {
                file.write(bytes, position);
            }

            @Override
            public void truncate(long length) throws IOException {
                file.truncate(length);
            }

            @Override
            public void sync() throws IOException {
                try {
                    released.await(20, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    throw new IOException(e);
                }
                file.sync();
            }

            @Override
            public void close() throws IOException {
                file.close();
            }
        }

        @Override
        public List<String> fileNames() throws IOException {
            return disk.fileNames();
        }

        @Override
        public long length(String name) throws IOException {
            return disk.length(name);
        }

        @Override
        public DiskFile open(String name) throws IOException {
            return new FileWithBlockedSync(disk.open(name), released);
        }

        @Override
        public void rename(String from, String to) throws IOException {
            disk.rename(from, to);
        }

        @Override
        public void delete(String name) throws IOException {
            disk.delete(name);
        }

        @Override
        public void syncFolder() throws IOException {
            disk.syncFolder();
        }

        @Override
        public void close() throws IOException {
            disk.close();
        }
    }

    /** A front that only counts down when its message ends. */
    private final class QuietFront implements Front {
        @Override
        public String name() {
            return "quiet";
        }

        @Override
        public void onAccepted(Message message) {}

        @Override
        public void onRejected(Message message, FinalStatus finalStatus) {
            messageEnded.countDown();
        }

        @Override
        public void onFinalStatus(Message message, String id, FinalStatus finalStatus, Runnable settled) {
            settled.run();
            messageEnded.countDown();
        }
    }

    private Core.ListedEndpoint listed(
            String name, DrainEndpoint endpoint, Presence presence, HttpDeliverer deliverer) {
        return new Core.ListedEndpoint(
                new DecisionModule.EndpointEntry(name, GROUP, 0, 0, presence, 1, 0),
                new Call.Endpoint(name, endpoint.address(), GROUP, 0, 1, false, deliverer));
    }

    private static DrainChange change(int version, String name, DrainEndpoint endpoint, Status status) {
        return new DrainChange(version, name, endpoint.address(), GROUP, status);
    }

    private void recordChange(DrainChange change) {
        long now = System.nanoTime();
        auditor.changed(change, now);
        auditor.received("agent", change, now);
    }

    @Test
    @Timeout(30)
    void callWaitingForTheJournalIsNotWrittenToADrainingEndpoint() throws Exception {
        Config config = ForwarderSetup.config("127.0.0.1:9", state, null);
        try (DrainEndpoint draining = new DrainEndpoint(auditor);
                DrainEndpoint other = new DrainEndpoint(auditor);
                Transport transport = new Transport();
                SegmentedJournal journal = new SegmentedJournal(
                        new DiskWithBlockedSync(FolderDisk.lock(state), syncAllowed),
                        DISK_BYTES,
                        new Durability(Durability.Mode.GROUP, 0),
                        new JournalClocks(
                                Core::monotonicMicros,
                                Core::wallMicros,
                                BootClock.read(Core::monotonicMicros, Core::wallMicros)),
                        new SplittableRandom(1))) {
            Core core = new Core(
                    config.settings(),
                    1,
                    journal,
                    new Counters(),
                    OperatorSettings.defaults(config).identity().windows());
            Front front = new QuietFront();
            core.add(front);
            HttpDeliverer deliverer = new HttpDeliverer(core, transport, CONNECT_TIMEOUT_MICROS, KEEP_ALIVE_MICROS, 1);
            deliverer.start();
            auditor.started("agent", System.nanoTime());
            recordChange(change(1, "e0", draining, Status.ACTIVE));
            recordChange(change(2, "e1", other, Status.ACTIVE));
            core.start(List.of(listed("e0", draining, Presence.ACTIVE, deliverer)), 1);
            int payment = config.classNames().indexOf("payment");
            core.post(() -> core.submit(
                    front,
                    new Submission(
                            "7-1", null, payment, GROUP, null, new byte[0], false, false, MESSAGE_DEADLINE_MICROS)));
            CountDownLatch listApplied = new CountDownLatch(1);
            awaitPendingCall(core);
            core.post(() -> {
                core.updateEndpoints(
                        ListingKind.CHANGES,
                        2,
                        List.of(
                                listed("e0", draining, Presence.LEAVING, deliverer),
                                listed("e1", other, Presence.ACTIVE, deliverer)));
                recordChange(change(3, "e0", draining, Status.LEAVING));
                listApplied.countDown();
            });
            assertTrue(listApplied.await(10, TimeUnit.SECONDS));
            // Waits past the grace and the tolerance for sockets.
            TimeUnit.NANOSECONDS.sleep(DrainAuditor.GRACE_NANOS + 2 * DrainAuditor.SOCKET_TOLERANCE_NANOS);
            syncAllowed.countDown();
            assertTrue(messageEnded.await(10, TimeUnit.SECONDS), "the message is delivered by the other endpoint");
            core.stop();
            assertEquals(List.of(), auditor.violations());
            assertEquals(Map.of(new Target(other.address(), GROUP), 1L), auditor.callsByTarget());
        } finally {
            syncAllowed.countDown();
        }
    }

    private static void awaitPendingCall(Core core) throws InterruptedException {
        String text = "";
        for (long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
                !text.contains("\ncalls 1\n") && System.nanoTime() < end; ) {
            CountDownLatch read = new CountDownLatch(1);
            String[] counterText = new String[1];
            core.post(() -> {
                counterText[0] = core.counters().toText();
                read.countDown();
            });
            read.await(1, TimeUnit.SECONDS);
            text = counterText[0];
        }
        assertTrue(text.contains("\ncalls 1\n"), text);
    }
}
