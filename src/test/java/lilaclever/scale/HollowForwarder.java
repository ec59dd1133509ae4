package lilaclever.scale;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
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
 * A forwarder without sockets: the real core, decision module and journal in virtual time, on the thread of whoever
 * uses it. Each endpoint has a destination of its own; its calls are delivered, or refused where the destination is
 * down.
 */
final class HollowForwarder implements Front, Deliverer, Clock, AutoCloseable {
    static final long SECOND = 1_000_000, ROUND = 5_000, DAY = 86_400 * SECOND;
    /** The wall clock at virtual time 0: any day will do. */
    private static final long WALL = 1_767_225_600L * SECOND;

    private static final int SLOTS = 64, MAX_ATTEMPTS = 1_000_000, FLEET = 19_000;
    private static final long MOST_DISK = 64L << 30;
    private static final long SEED = 7;

    private final Disk disk;
    private final SegmentedJournal journal;
    private final Counters counters = new Counters();
    private final Core core;
    /** Destinations from this number on are down. */
    private final int firstDown;

    private long now;
    private long next;

    /**
     * Opens the folder's journal and starts with so many destinations listed, of which those from {@code firstDown} on
     * are down.
     */
    HollowForwarder(Path folder, int destinations, int firstDown, int mostHeld) throws IOException {
        this(FolderDisk.take(folder), destinations, firstDown, mostHeld);
    }

    HollowForwarder(Disk disk, int destinations, int firstDown, int mostHeld) throws IOException {
        this.firstDown = firstDown;
        this.disk = disk;
        journal = new SegmentedJournal(
                disk,
                MOST_DISK,
                Durability.NONE,
                new JournalClocks(this::monotonicMicros, this::wallMicros, BootClock.UNKNOWN),
                new SplittableRandom(SEED));
        core = new Core(
                settings(mostHeld), SEED, journal, counters, new IdempotencyWindows(List.of(), SECOND, 1), this);
        core.add(this);
        core.runFirstTurn(list(destinations), 1);
    }

    private static DecisionModule.Settings settings(int mostHeld) {
        DecisionModule.MessageClass repeatable = new DecisionModule.MessageClass(
                SECOND, DAY, 1, DecisionModule.RepeatSafety.SAFE, DecisionModule.KeyScope.ALL, 0, false);
        return new DecisionModule.Settings(
                0,
                FLEET,
                0,
                1,
                ROUND,
                false,
                DecisionModule.WeightMeaning.NONE,
                false,
                0.1,
                List.of(repeatable),
                List.of(new DecisionModule.EndpointKind(false, 1)),
                List.of(),
                new DecisionModule.Limits(
                        MAX_ATTEMPTS, mostHeld, SLOTS, true, false, false, 1, SECOND, 5 * SECOND, true, 2 * SECOND),
                new DecisionModule.Rules(20_000, 10 * SECOND, SECOND / 2, 0.24, 9_500_000, 1.5, 3 * SECOND, 100_000));
    }

    private List<Core.ListedEndpoint> list(int destinations) {
        return IntStream.range(0, destinations)
                .mapToObj(i -> listed(i, DecisionModule.Presence.ACTIVE))
                .toList();
    }

    private Core.ListedEndpoint listed(int destination, DecisionModule.Presence presence) {
        String host = "endpoint-" + destination;
        return new Core.ListedEndpoint(
                new DecisionModule.EndpointEntry(host, destination, 0, 0, presence, 1, 0),
                new Call.Endpoint(host, "127.0.0.1:9", destination, 0, 1, false, this));
    }

    /** Has the list tell of one endpoint, as each change of it does, and runs the turn. */
    void change(int destination, long version) {
        core.updateEndpoints(
                DecisionModule.ListingKind.CHANGES,
                version,
                List.of(listed(destination, DecisionModule.Presence.ACTIVE)));
        turn();
    }

    /** Hands one message in; what comes of it is told in later turns. */
    void handIn(int destination, byte[] body) {
        String id = "message-" + next++;
        core.submit(this, new Submission(id, null, 0, destination, "key-" + id, body, false, false, DAY));
    }

    /** One turn of the loop, the least time after the last one. */
    void turn() {
        now += ROUND;
        core.runTurn();
    }

    /** Lets the time pass; gives how many turns the loop made. */
    int pass(long micros) {
        int turns = 0;
        for (long until = now + micros; now < until; turns++) {
            now = Math.max(now + ROUND, Math.min(until, core.nextTurnMicros()));
            core.runTurn();
        }
        return turns;
    }

    int held() {
        return journal.pendingMessages().size();
    }

    long count(Counters.Name name) {
        return counters.get(name);
    }

    /** What the journal's files take, bytes. */
    long diskBytes() {
        return journal.allocated();
    }

    // ---- time -------------------------------------------------------------------------------------------
    @Override
    public long monotonicMicros() {
        return now;
    }

    @Override
    public long wallMicros() {
        return WALL + now;
    }

    @Override
    public Runnable awaitTask(BlockingQueue<Runnable> ready, long untilMicros) {
        throw new IllegalStateException("whoever uses it does the loop's part");
    }

    @Override
    public void sleep(long micros) {
        throw new IllegalStateException("whoever uses it does the loop's part");
    }

    @Override
    public void taskPosted() {
        // the next turn takes it
    }

    // ---- the front --------------------------------------------------------------------------------------
    @Override
    public String name() {
        return "http";
    }

    @Override
    public void onAccepted(Message message) {
        // nobody waits to hear it
    }

    @Override
    public void onRejected(Message message, FinalStatus verdict) {
        throw new IllegalStateException(message.id() + " was turned down: " + verdict);
    }

    @Override
    public void onFinalStatus(Message message, String id, FinalStatus verdict, Runnable settled) {
        settled.run();
    }

    // ---- calls ------------------------------------------------------------------------------------------
    @Override
    public void start(Call call) {
        DecisionModule.AttemptResult ending = call.endpoint.destination() < firstDown
                ? DecisionModule.AttemptResult.DELIVERED
                : DecisionModule.AttemptResult.NO_CONNECTION;
        List<Message> messages = new ArrayList<>(call.messages);
        core.post(() -> messages.forEach(message -> core.attemptEnded(call, message, ending, 0, false, false)));
    }

    /** Nothing drains here. */
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
