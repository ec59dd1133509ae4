package lilaclever.scale;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.BlockingQueue;
import java.util.stream.IntStream;
import lilaclever.DecisionModule;
import lilaclever.identity.IdempotencyWindows;
import lilaclever.journal.BootClock;
import lilaclever.journal.Disk;
import lilaclever.journal.Durability;
import lilaclever.journal.FolderDisk;
import lilaclever.journal.JournalClocks;
import lilaclever.journal.SegmentedJournal;
import lilaclever.routing.Call;
import lilaclever.routing.Clock;
import lilaclever.routing.Core;
import lilaclever.routing.Counters;
import lilaclever.routing.Deliverer;
import lilaclever.routing.FinalStatus;
import lilaclever.routing.Front;
import lilaclever.routing.Message;
import lilaclever.routing.Submission;

/**
 * A forwarder without sockets: the real core, decision module and journal in virtual time, on the caller's thread. Each
 * endpoint has a destination of its own; its calls are delivered, or fail to connect if the destination is down.
 */
final class SocketlessForwarder implements Front, Deliverer, Clock, AutoCloseable {
    static final long SECOND_MICROS = 1_000_000, ROUND_MICROS = 5_000, DAY_MICROS = 86_400 * SECOND_MICROS;
    /** The wall clock at virtual time 0; an arbitrary date. */
    private static final long WALL_CLOCK_START_MICROS = 1_767_225_600L * SECOND_MICROS;

    private static final int SLOTS = 64, MAX_ATTEMPTS = 1_000_000, FLEET_FORWARDERS = 19_000;
    private static final long MAX_DISK_BYTES = 64L << 30;
    private static final long SEED = 7;

    private final Disk disk;
    private final SegmentedJournal journal;
    private final Counters counters = new Counters();
    private final Core core;
    /** Destinations from this number on are down. */
    private final int firstDown;

    private long nowMicros;
    private long nextMessageNumber;

    /**
     * Opens the folder's journal and starts with {@code destinations} listed destinations, of which those from
     * {@code firstDown} on are down.
     */
    SocketlessForwarder(Path folder, int destinations, int firstDown, int maxPendingMessages) throws IOException {
        this(FolderDisk.lock(folder), destinations, firstDown, maxPendingMessages);
    }

    SocketlessForwarder(Disk disk, int destinations, int firstDown, int maxPendingMessages) throws IOException {
        this.firstDown = firstDown;
        this.disk = disk;
        journal = new SegmentedJournal(
                disk,
                MAX_DISK_BYTES,
                Durability.NONE,
                new JournalClocks(this::monotonicMicros, this::wallMicros, BootClock.UNKNOWN),
                new SplittableRandom(SEED));
        core = new Core(
                settings(maxPendingMessages),
                SEED,
                journal,
                counters,
                new IdempotencyWindows(Map.of(), SECOND_MICROS, 1),
                this);
        core.add(this);
        core.runFirstTurn(listedEndpoints(destinations), 1);
    }

    private static DecisionModule.Settings settings(int maxPendingMessages) {
        DecisionModule.MessageClass repeatable = new DecisionModule.MessageClass(
                SECOND_MICROS, DAY_MICROS, 1, DecisionModule.RepeatSafety.SAFE, DecisionModule.KeyScope.ALL, 0, false);
        return new DecisionModule.Settings(
                0,
                FLEET_FORWARDERS,
                0,
                1,
                ROUND_MICROS,
                false,
                DecisionModule.WeightMeaning.NONE,
                false,
                0.1,
                List.of(repeatable),
                List.of(new DecisionModule.EndpointKind(false, 1)),
                List.of(),
                new DecisionModule.Limits(
                        MAX_ATTEMPTS,
                        maxPendingMessages,
                        SLOTS,
                        true,
                        false,
                        false,
                        1,
                        SECOND_MICROS,
                        5 * SECOND_MICROS,
                        true,
                        2 * SECOND_MICROS),
                new DecisionModule.Rules(
                        20_000,
                        10 * SECOND_MICROS,
                        SECOND_MICROS / 2,
                        0.24,
                        9_500_000,
                        1.5,
                        3 * SECOND_MICROS,
                        100_000));
    }

    private List<Core.ListedEndpoint> listedEndpoints(int destinations) {
        return IntStream.range(0, destinations)
                .mapToObj(i -> listedEndpoint(i, DecisionModule.Presence.ACTIVE))
                .toList();
    }

    private Core.ListedEndpoint listedEndpoint(int destination, DecisionModule.Presence presence) {
        String host = "endpoint-" + destination;
        return new Core.ListedEndpoint(
                new DecisionModule.EndpointEntry(host, destination, 0, 0, presence, 1, 0),
                new Call.Endpoint(host, "127.0.0.1:9", destination, 0, 1, false, this));
    }

    /** Applies a change of the endpoint list that contains one endpoint, and runs a turn. */
    void updateEndpoint(int destination, long version) {
        core.updateEndpoints(
                DecisionModule.ListingKind.CHANGES,
                version,
                List.of(listedEndpoint(destination, DecisionModule.Presence.ACTIVE)));
        turn();
    }

    /** Submits one message; its result is reported in later turns. */
    void submit(int destination, byte[] body) {
        String id = "message-" + nextMessageNumber++;
        core.submit(this, new Submission(id, null, 0, destination, "key-" + id, body, false, false, DAY_MICROS));
    }

    /** Runs one turn of the event loop, the minimum time after the last one. */
    void turn() {
        nowMicros += ROUND_MICROS;
        core.runTurn();
    }

    /** Advances time and returns the number of turns of the event loop. */
    int advance(long micros) {
        int turns = 0;
        for (long untilMicros = nowMicros + micros; nowMicros < untilMicros; turns++) {
            nowMicros = Math.max(nowMicros + ROUND_MICROS, Math.min(untilMicros, core.nextTurnMicros()));
            core.runTurn();
        }
        return turns;
    }

    int pendingMessages() {
        return journal.pendingMessages().size();
    }

    long counter(Counters.Name name) {
        return counters.get(name);
    }

    /** Size of the journal's files. */
    long diskBytes() {
        return journal.allocatedBytes();
    }

    // Clock
    @Override
    public long monotonicMicros() {
        return nowMicros;
    }

    @Override
    public long wallMicros() {
        return WALL_CLOCK_START_MICROS + nowMicros;
    }

    @Override
    public Runnable awaitTask(BlockingQueue<Runnable> ready, long untilMicros) {
        throw new IllegalStateException("the caller runs the event loop");
    }

    @Override
    public void sleep(long micros) {
        throw new IllegalStateException("the caller runs the event loop");
    }

    @Override
    public void taskPosted() {
        // the next turn runs the task
    }

    // Front
    @Override
    public String name() {
        return "http";
    }

    @Override
    public void onAccepted(Message message) {
        // no client waits for the answer
    }

    @Override
    public void onRejected(Message message, FinalStatus status) {
        throw new IllegalStateException(message.id() + " was rejected: " + status);
    }

    @Override
    public void onFinalStatus(Message message, String id, FinalStatus status, Runnable settled) {
        settled.run();
    }

    // Deliverer
    @Override
    public void start(Call call) {
        DecisionModule.AttemptResult result = call.endpoint.destination() < firstDown
                ? DecisionModule.AttemptResult.DELIVERED
                : DecisionModule.AttemptResult.NO_CONNECTION;
        List<Message> messages = new ArrayList<>(call.messages);
        core.post(() -> messages.forEach(message -> core.attemptEnded(call, message, result, 0, false, false)));
    }

    /** No endpoint drains here. */
    @Override
    public void cancelUnsent(Call call) {}

    @Override
    public void abort(Call call) {
        List<Message> messages = new ArrayList<>(call.messages);
        core.post(() -> messages.forEach(message ->
                core.attemptEnded(call, message, DecisionModule.AttemptResult.NO_CONNECTION, 0, false, false)));
    }

    @Override
    public void closeIdle(Call.Endpoint endpoint) {
        // there are no connections
    }

    @Override
    public void probe(Call.Endpoint endpoint) {
        core.post(() -> core.probeEnded(endpoint.host(), DecisionModule.AttemptResult.NO_CONNECTION, 0));
    }

    @Override
    public void close() throws IOException {
        journal.close();
        disk.close();
    }
}
