package lilaclever.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Collectors;
import lilaclever.program.StandInThreads;
import lilaclever.soak.SoakAccount.Violation;

/** One run of a plan: real forwarders, stand-ins around them, and the account of what they wrote and read. */
final class SoakRun implements AutoCloseable {
    private static final int SOCKETS = 384;
    /** Messages are sent until their deadlines and a restart's grace fit into the run. */
    private static final long TAIL_MILLIS = 1_000;

    private static final String ADDRESS_TEMPLATE = "127.0.0.1:0";

    /** What a run found. */
    record Result(
            SoakPlan plan,
            long accepted,
            long delivered,
            long noticed,
            long connections,
            long medianDeliveryMillis,
            Duration processorTime,
            List<Violation> violations) {
        @Override
        public String toString() {
            String verdict = violations.isEmpty() ? "all rules kept" : "BROKEN " + brokenRules();
            return String.format(
                    "seed %d: taken on %d, delivered %d, ended by a notice %d, connections opened %d, median %d ms, "
                            + "processor %.1f s, %s (%s)",
                    plan.seed(),
                    accepted,
                    delivered,
                    noticed,
                    connections,
                    medianDeliveryMillis,
                    processorTime.toMillis() / 1e3,
                    verdict,
                    plan.faults());
        }

        private Map<SoakAccount.Rule, Long> brokenRules() {
            return violations.stream().collect(Collectors.groupingBy(Violation::rule, Collectors.counting()));
        }
    }

    private final SoakPlan plan;
    private final Path folder;
    private final Path build;
    private final long startNanos = System.nanoTime();
    private final SoakAccount account = new SoakAccount(startNanos);
    private final SplittableRandom random;
    private final AtomicLong connectionCount = new AtomicLong();
    private final List<SoakEndpoint> endpoints = new ArrayList<>();
    private final List<SoakPlatform> platforms = new ArrayList<>();
    private final List<SoakForwarder> forwarders = new ArrayList<>();
    private final List<SoakClient> clients = new ArrayList<>();
    private final List<Thread> eventThreads = new ArrayList<>();
    private final IdleClients idleClients = new IdleClients();

    /** Prepares a run whose forwarders are those of the build and keep their state below the folder. */
    SoakRun(SoakPlan plan, Path build, Path folder) {
        this.plan = plan;
        this.build = build;
        this.folder = folder;
        this.random = new SplittableRandom(~plan.seed());
    }

    /** Plays the plan and returns what was found; the record of a run with a broken rule stays in the folder. */
    Result play() throws Exception {
        startEndpoints();
        startForwarders();
        startClients();
        long firstMessageNanos = System.nanoTime();
        for (SoakPlan.Event event : plan.events()) {
            sleepUntil(firstMessageNanos, event.atMillis());
            eventThreads.add(StandInThreads.start(event.toString(), () -> play(event)));
        }
        sleepUntil(firstMessageNanos, plan.seconds() * 1_000L - plan.maxDeadlineMillis() - TAIL_MILLIS);
        clients.forEach(SoakClient::stop);
        for (Thread thread : eventThreads) {
            thread.join();
        }
        Thread.sleep(
                TAIL_MILLIS + Math.max(0, (account.lastDueNanos() - System.nanoTime()) / SoakAccount.NANOS_PER_MILLI));
        return result();
    }

    private static void sleepUntil(long fromNanos, long millis) throws InterruptedException {
        Thread.sleep(Math.max(0, millis - (System.nanoTime() - fromNanos) / SoakAccount.NANOS_PER_MILLI));
    }

    private Result result() throws IOException {
        Map<String, String> limitByEndpoint = new LinkedHashMap<>();
        endpoints.forEach(endpoint -> limitByEndpoint.put(endpoint.name(), "destination " + endpoint.destination()));
        Duration processorTime =
                forwarders.stream().map(SoakForwarder::processorTime).reduce(Duration.ZERO, Duration::plus);
        List<Violation> violations = account.violations(limitByEndpoint);
        if (!violations.isEmpty()) {
            Files.write(folder.resolve("record.txt"), account.lines());
        }
        return new Result(
                plan,
                account.acceptedCount(),
                account.deliveredCount(),
                account.noticedCount(),
                connectionCount.get(),
                account.medianDeliveryMillis(),
                processorTime,
                violations);
    }

    // Start
    private void startEndpoints() throws IOException {
        for (int i = 0; i < plan.endpoints(); i++) {
            endpoints.add(new SoakEndpoint(
                    "e" + i,
                    i % plan.destinations(),
                    account,
                    plan.endpointFaults(),
                    plan.callShares(),
                    plan.load(),
                    random.split(),
                    connectionCount));
        }
    }

    private void startForwarders() throws Exception {
        List<Thread> starting = new ArrayList<>();
        for (int i = 0; i < plan.forwarders(); i++) {
            String name = "n" + i;
            SoakPlatform platform =
                    new SoakPlatform(name, account, plan.platformFaults(), plan.noticesDropped(), random.split());
            endpoints.forEach(endpoint ->
                    platform.add(endpoint.name(), endpoint.address(), typeOf(endpoint), endpoint.destination()));
            platforms.add(platform);
            SoakForwarder forwarder =
                    new SoakForwarder(name, build, Files.createDirectories(folder.resolve(name)), account);
            forwarders.add(forwarder);
            String config = config(i);
            starting.add(StandInThreads.start("start of " + name, () -> forwarder.start(config)));
        }
        for (Thread thread : starting) {
            thread.join();
        }
        if (forwarders.stream().anyMatch(forwarder -> forwarder.address() == null)) {
            throw new IOException("a forwarder did not start");
        }
    }

    /** Endpoints of even destinations take single messages, the others may take several. */
    private static String typeOf(SoakEndpoint endpoint) {
        return endpoint.destination() % 2 == 0 ? "lab" : "supplier";
    }

    private String config(int number) {
        String classes = plan.classes().stream().map(SoakRun::classJson).collect(Collectors.joining(","));
        return """
                {"name": "n%d", "listen": "%s", "discovery": "%s", "state": "%s", "seed": "%x",
                 "limits": {"disk_mb": 3, "sockets": %d}, "known": %s,
                 "settings": {"roundS": 0.002, "groupSize": %d, "shapes": ["lab", "supplier"], "zones": ["z"],
                  "discovery": "%s",
                  "familyInfo": {"callSlots": %d, "kindBatch": [1, %d], "ownLimits": [false, false]},
                  "limits": {"maxAttempts": 8, "openCap": 800, "connectTimeoutS": 1.5, "keepaliveS": 15,
                   "retryAfter": true, "maxRetryAfterS": 2, "cancel": true, "probing": true},
                  "requestClasses": [%s],
                  "rules": {"answerSlackS": 0.02, "coldFrom": 0.3, "tipMultiple": 1.5, "rampTimeS": 1,
                   "overloadForS": 3, "drainGraceS": 0.5, "askWithinS": 10}}}""".formatted(
                        number,
                        ADDRESS_TEMPLATE,
                        platforms.get(number).address(),
                        folder.resolve("n" + number),
                        plan.seed(),
                        SOCKETS,
                        platforms.get(number).wholeList(),
                        plan.forwarders(),
                        plan.polls() ? "ask" : "push",
                        plan.slots(),
                        plan.maxBatchSize(),
                        classes);
    }

    private static String classJson(SoakPlan.MessageClass messageClass) {
        String repeat = switch (messageClass.repeat()) {
            case SAFE -> "read_like";
            case KEYED -> "idempotency_key";
            case UNSAFE -> "non_idempotent";
        };
        return "{\"name\": \"" + messageClass.name() + "\", \"aimS\": " + messageClass.deadlineMillis() / 4_000.0
                + ", \"deadlineS\": " + messageClass.deadlineMillis() / 1_000.0 + ", \"repeat\": \"" + repeat
                + "\", \"repeatWindowS\": " + messageClass.windowMillis() / 1_000.0 + "}";
    }

    private void startClients() throws IOException {
        AtomicInteger messageCount = new AtomicInteger();
        for (SoakForwarder forwarder : forwarders) {
            for (int i = 0; i < plan.load().clientsPerForwarder(); i++) {
                SoakClient client = new SoakClient(forwarder, plan, account, random.split(), messageCount);
                clients.add(client);
                StandInThreads.start("client of " + forwarder.name(), client::run);
            }
            idleClients.connect(forwarder.address(), plan.idleClients(), plan.hasRestlessClients());
        }
    }

    // Events
    private void play(SoakPlan.Event event) throws IOException, InterruptedException {
        account.fault(System.nanoTime(), event.toString());
        switch (event.kind()) {
            case HANGUPS -> forwarders.get(event.target()).hangUpRepeatedly();
            case PAUSE_PROCESS -> forwarders.get(event.target()).pause();
            case DISK_FULL -> forwarders.get(event.target()).fillDisk(event.lastsMillis());
            case ENDPOINT_HANGS -> change(event, SoakEndpoint.State.HANGS);
            case ENDPOINT_FAILS -> change(event, SoakEndpoint.State.FAILS);
            case ENDPOINT_REFUSES -> change(event, SoakEndpoint.State.REFUSES);
            case ENDPOINT_LEAVES -> drain(event);
            case DISCOVERY_SILENT -> change(event, SoakPlatform.State.SILENT);
            case DISCOVERY_SLOW -> change(event, SoakPlatform.State.SLOW);
            case DISCOVERY_RESTARTED -> platforms.get(event.target()).restart();
            default -> forwarders.get(event.target()).restart(event.kind(), config(event.target()));
        }
    }

    private void change(SoakPlan.Event event, SoakEndpoint.State state) throws InterruptedException {
        endpoints.get(event.target()).setState(state);
        Thread.sleep(event.lastsMillis());
        endpoints.get(event.target()).setState(SoakEndpoint.State.WORKS);
    }

    private void change(SoakPlan.Event event, SoakPlatform.State state) throws InterruptedException {
        platforms.get(event.target()).setState(state);
        Thread.sleep(event.lastsMillis());
        platforms.get(event.target()).setState(SoakPlatform.State.WORKS);
    }

    private void drain(SoakPlan.Event event) throws InterruptedException {
        String name = endpoints.get(event.target()).name();
        platforms.forEach(platform -> platform.setStatus(name, "leaving"));
        Thread.sleep(event.lastsMillis());
        platforms.forEach(platform -> platform.setStatus(name, "left"));
    }

    @Override
    public void close() throws IOException {
        idleClients.close();
        clients.forEach(SoakClient::stop);
        forwarders.forEach(SoakForwarder::close);
        for (SoakPlatform platform : platforms) {
            platform.close();
        }
        for (SoakEndpoint endpoint : endpoints) {
            endpoint.close();
        }
    }
}
