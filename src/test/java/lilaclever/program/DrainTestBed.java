package lilaclever.program;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import lilaclever.program.DrainChange.Status;
import lilaclever.program.Peer.Wire;

/**
 * A forwarder, its discovery, its endpoints and its clients on loopback sockets, all recorded by an auditor. Endpoints
 * are numbered; each change goes to discovery, which passes it to all agents.
 */
final class DrainTestBed implements AutoCloseable {
    private static final int CLIENT_COUNT = 3;
    private static final int SUBMIT_INTERVAL_MILLIS = 50;
    private static final double DEADLINE_SECONDS = 5;

    final DrainAuditor auditor = new DrainAuditor();
    private final Path state;
    private final int maxBatchSize;
    private final List<DrainEndpoint> endpoints = new ArrayList<>();
    private final List<DrainAgent> agents = new ArrayList<>();
    private final Map<String, DrainChange> membership = new LinkedHashMap<>();
    private final List<DrainChange> history = new ArrayList<>();
    private final AtomicInteger messageCount = new AtomicInteger();
    private final Set<Integer> groups = ConcurrentHashMap.newKeySet();
    private volatile SocketAddress address;
    private volatile boolean closed;
    private volatile List<String> classes = List.of("status", "order", "payment", "payment");
    private Forwarder forwarder;
    private Process process;
    private DrainAgent watchedAgent;

    /** A test bed whose forwarders keep their state in the folder and send at most this many messages in a call. */
    DrainTestBed(Path state, int maxBatchSize) {
        this.state = state;
        this.maxBatchSize = maxBatchSize;
    }

    // Membership
    /** Adds an active endpoint and returns its number. */
    int add(int group) throws IOException {
        DrainEndpoint endpoint = new DrainEndpoint(auditor);
        endpoints.add(endpoint);
        int number = endpoints.size() - 1;
        publishChange("e" + number, endpoint.address(), group, Status.ACTIVE);
        return number;
    }

    DrainEndpoint endpoint(int number) {
        return endpoints.get(number);
    }

    void setStatus(int number, Status status) {
        DrainChange currentEntry = membership.get("e" + number);
        publishChange(currentEntry.name(), currentEntry.address(), currentEntry.group(), status);
    }

    /** Lists the endpoint's name with another address or group from now on. */
    void relist(int number, String address, int group) {
        publishChange("e" + number, address, group, Status.ACTIVE);
    }

    DrainChange current(int number) {
        return membership.get("e" + number);
    }

    private synchronized void publishChange(String name, String endpointAddress, int group, Status status) {
        DrainChange change = new DrainChange(history.size() + 1, name, endpointAddress, group, status);
        history.add(change);
        membership.put(name, change);
        auditor.changed(change, System.nanoTime());
        agents.forEach(agent -> agent.publish(change));
        groups.add(group);
    }

    /** The number of changes so far. */
    synchronized int version() {
        return history.size();
    }

    // Agents
    /** An agent that has the whole membership. */
    DrainAgent agent(long firstIndex) throws IOException {
        return agent(firstIndex, version());
    }

    /** An agent that has the first {@code changes} changes, and gets no more until it catches up. */
    DrainAgent agentBehind(long firstIndex, int changes) throws IOException {
        DrainAgent agent = agent(firstIndex, changes);
        agent.fallBehind();
        synchronized (this) {
            history.subList(changes, history.size()).forEach(agent::publish);
        }
        return agent;
    }

    private synchronized DrainAgent agent(long firstIndex, int changes) throws IOException {
        DrainAgent agent = new DrainAgent("a" + agents.size(), auditor, firstIndex, history.subList(0, changes));
        agents.add(agent);
        return agent;
    }

    // The forwarder
    /** The list that an agent with the first {@code changes} changes would send. */
    String listAfter(long index, int changes) {
        Map<String, DrainChange> all = new LinkedHashMap<>();
        history.subList(0, changes).forEach(x -> all.put(x.name(), x));
        return "{\"index\":" + index + ",\"snapshot\":true,\"endpoints\":["
                + String.join(
                        ",",
                        all.values().stream()
                                .filter(x -> x.status() != Status.LEFT)
                                .map(DrainChange::json)
                                .toList())
                + "]}";
    }

    private String configText(DrainAgent agent, String knownList) {
        return ForwarderSetup.configText(agent.address(), state, null, 3)
                .replace("\"aimS\": 1, \"deadlineS\": 28", "\"aimS\": 3, \"deadlineS\": 28")
                .replace("\"kindBatch\": [20]", "\"kindBatch\": [" + maxBatchSize + "]")
                .replace("\"known\": null", "\"known\": " + knownList);
    }

    /** Starts a forwarder in this process; {@code knownList} may be {@code "null"}. */
    void start(DrainAgent agent, String knownList) throws Exception {
        start(agent, knownList, 0);
    }

    /** Starts a forwarder in this process, after the time that a JVM would take to start. */
    void start(DrainAgent agent, String knownList, long jvmStartMillis) throws Exception {
        watchedAgent = agent;
        auditor.started(agent.name, System.nanoTime());
        Thread.sleep(jvmStartMillis);
        forwarder = Forwarder.start(Config.parse(configText(agent, knownList), Map.of()), null);
        address = forwarder.addresses().get(0);
    }

    /** Starts the real program in a process that can be killed, with these JVM options. */
    void startProcess(DrainAgent agent, String knownList, String options) throws IOException {
        watchedAgent = agent;
        auditor.started(agent.name, System.nanoTime());
        process = ForwarderSetup.startProcess(
                state, configText(agent, knownList), "export JAVA_TOOL_OPTIONS='" + options + "'");
        BufferedReader log = process.errorReader();
        String line = log.readLine();
        while (!line.contains("serves at")) {
            line = log.readLine();
        }
        address = new InetSocketAddress("127.0.0.1", Integer.parseInt(line.replaceAll(".*:(\\d+)]", "$1")));
        StandInThreads.start("log", () -> log.lines().forEach(rest -> {}));
    }

    /** Kills the process, as a crash would. */
    void kill() throws InterruptedException {
        address = null;
        process.destroyForcibly().waitFor();
        auditor.ended(System.nanoTime());
    }

    void stop() {
        address = null;
        forwarder.stop();
        forwarder = null;
        auditor.ended(System.nanoTime());
    }

    DrainAgent watchedAgent() {
        return watchedAgent;
    }

    void reload(DrainAgent agent) throws IOException {
        watchedAgent = agent;
        Path file = Files.writeString(state.resolve("config.json"), configText(agent, "null"));
        auditor.reloaded(agent.name, System.nanoTime());
        forwarder.reload(Map.of("ROUTER_CONFIG", file.toString()));
    }

    // Clients
    /** Starts clients that submit messages for all groups in turn until the test bed is closed. */
    void startClients() {
        for (int i = 0; i < CLIENT_COUNT; i++) {
            StandInThreads.start("client " + i, this::submitRepeatedly);
        }
    }

    private void submitRepeatedly() throws InterruptedException {
        while (!closed) {
            SocketAddress to = address;
            if (to != null) {
                try (Wire client = Wire.connect(to)) {
                    while (to.equals(address) && !closed) {
                        for (int group : groups) {
                            int number = messageCount.incrementAndGet();
                            String messageClass = classes.get(number % classes.size());
                            client.submit(group + "-" + number, messageClass, group, DEADLINE_SECONDS, "ok");
                        }
                        Thread.sleep(SUBMIT_INTERVAL_MILLIS); // limits the rate of the load
                    }
                } catch (IOException e) {
                    // the forwarder is stopping; the next one is tried
                }
            }
            Thread.sleep(SUBMIT_INTERVAL_MILLIS);
        }
    }

    /** Sets the classes of the messages that clients submit from now on. */
    void setClasses(String... names) {
        classes = List.of(names);
    }

    int submittedCount() {
        return messageCount.get();
    }

    /** Returns true once a call has arrived at the endpoint since the given time. */
    boolean awaitCall(int number, long sinceNanos, long withinMs) throws InterruptedException {
        long end = System.nanoTime() + withinMs * DrainAuditor.NANOS_PER_MILLI;
        while (auditor.callsSince(current(number).target(), sinceNanos) == 0) {
            if (System.nanoTime() > end) {
                return false;
            }
            Thread.sleep(5);
        }
        return true;
    }

    @Override
    public void close() throws IOException {
        closed = true;
        address = null;
        for (DrainEndpoint each : endpoints) {
            each.resumeAccepting();
        }
        if (forwarder != null) {
            forwarder.stop();
        }
        if (process != null) {
            process.destroyForcibly();
        }
        for (DrainAgent each : agents) {
            each.close();
        }
        for (DrainEndpoint each : endpoints) {
            each.close();
        }
    }
}
