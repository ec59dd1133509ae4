package lilaclever.simulation.sockets;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import lilaclever.DecisionModule;
import lilaclever.DecisionModule.Presence;
import lilaclever.simulation.sockets.StandInConnection.HttpMessage;
import lilaclever.simulation.world.World;

/**
 * A stand-in for the platform services that one forwarder uses: the discovery agent, which serves the endpoint list and
 * watches of it, and the receiver of status notices. Each connection is read on a thread of its own; everything else
 * runs on the timeline's thread.
 */
final class PlatformStandIn {
    private static final int MAX_RETAINED_CHANGES = 4_096;
    private static final long MAX_WATCH_MILLIS = 60_000;

    /** Changed entries of the list, and the version that they lead to. */
    private record Change(long version, List<DecisionModule.EndpointEntry> entries) {}

    /** A long poll that waits for a version after the one that the forwarder has. */
    private static final class Watch {
        final StandInConnection connection;
        final long afterVersion;
        boolean isOver;

        Watch(StandInConnection connection, long afterVersion) {
            this.connection = connection;
            this.afterVersion = afterVersion;
        }
    }

    private final World world;
    private final RealTimeline timeline;
    private final ServerSocket server;
    private final Function<DecisionModule.EndpointEntry, String> endpointAddress;
    private final long startWallMillis = System.currentTimeMillis();
    private final Map<String, DecisionModule.EndpointEntry> endpoints = new LinkedHashMap<>();
    private final ArrayDeque<Change> changes = new ArrayDeque<>();
    private final List<Watch> watches = new ArrayList<>();
    private final List<StandInConnection> connections = new ArrayList<>();
    private long version;

    PlatformStandIn(World world, RealTimeline timeline, Function<DecisionModule.EndpointEntry, String> endpointAddress)
            throws IOException {
        this.world = world;
        this.timeline = timeline;
        this.endpointAddress = endpointAddress;
        server = LoopbackPorts.listen();
        SocketThreads.start("agent", () -> {
            while (true) {
                serveConnection(server.accept());
            }
        });
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    void close() throws IOException {
        server.close();
        connections.forEach(StandInConnection::close);
    }

    // Updates from the simulated directory

    /** Sets the complete list that a starting forwarder reads. */
    void setEndpoints(List<DecisionModule.EndpointEntry> entries, long newVersion) {
        endpoints.clear();
        entries.forEach(e -> endpoints.put(e.host(), e));
        changes.clear();
        version = newVersion;
    }

    /** Applies changes, answers all pending watches and retains the changes for later watches. */
    void applyChange(long newVersion, List<DecisionModule.EndpointEntry> entries) {
        version = newVersion;
        for (DecisionModule.EndpointEntry e : entries) {
            if (e.presence() == Presence.LEFT) {
                endpoints.remove(e.host());
            } else {
                endpoints.put(e.host(), e);
            }
        }
        changes.addLast(new Change(newVersion, entries));
        if (changes.size() > MAX_RETAINED_CHANGES) {
            changes.removeFirst();
        }
        List<Watch> waiting = List.copyOf(watches);
        watches.clear();
        waiting.forEach(this::answerWatch);
    }

    /** The complete list in the form that a forwarder's configuration file contains. */
    JsonObject completeList() {
        return listJson(true, endpoints.values());
    }

    private JsonObject listJson(boolean isComplete, Iterable<DecisionModule.EndpointEntry> entries) {
        JsonArray all = new JsonArray();
        for (DecisionModule.EndpointEntry e : entries) {
            JsonObject o = new JsonObject();
            o.addProperty("name", e.host());
            o.addProperty("address", endpointAddress.apply(e));
            o.addProperty("zone", ForwarderConfigJson.ZONE);
            o.addProperty("type", world.scenario().kinds().get(e.kind()).name());
            o.addProperty("group", e.destination());
            o.addProperty("status", e.presence().name().toLowerCase(java.util.Locale.ROOT));
            o.addProperty("weight", 1.0);
            o.addProperty("since_ms", e.sinceMicros() == 0 ? 0 : startWallMillis + e.sinceMicros() / 1000);
            all.add(o);
        }
        JsonObject root = new JsonObject();
        root.addProperty("index", version);
        root.addProperty("snapshot", isComplete);
        root.add("endpoints", all);
        return root;
    }

    // Requests of the forwarder

    private void serveConnection(Socket socket) throws IOException {
        StandInConnection connection = new StandInConnection(socket);
        timeline.post(() -> connections.add(connection));
        SocketThreads.start("agent", () -> {
            try {
                for (HttpMessage request = connection.readHttp(); request != null; request = connection.readHttp()) {
                    HttpMessage received = request;
                    timeline.post(() -> handleRequest(connection, received));
                }
            } finally {
                connection.close();
                timeline.post(() -> connections.remove(connection));
            }
        });
    }

    private void handleRequest(StandInConnection connection, HttpMessage request) {
        if (request.target().equals("/status")) {
            handleNotices(connection, new String(request.body(), StandardCharsets.UTF_8));
        } else if (request.target().contains("after=")) {
            Watch watch = new Watch(connection, queryNumber(request.target(), "after", -1));
            if (watch.afterVersion != version) {
                answerWatch(watch);
                return;
            }
            watches.add(watch);
            timeline.after(1000 * Math.min(MAX_WATCH_MILLIS, queryNumber(request.target(), "wait_ms", 0)), () -> {
                if (watches.remove(watch)) {
                    answerWatch(watch);
                }
            });
        } else {
            sendResponse(connection, "200 OK", completeList().toString());
        }
    }

    private static long queryNumber(String target, String key, long defaultValue) {
        java.util.regex.Matcher m =
                java.util.regex.Pattern.compile("[?&]" + key + "=(-?\\d{1,15})").matcher(target);
        return m.find() ? Long.parseLong(m.group(1)) : defaultValue;
    }

    private void answerWatch(Watch watch) {
        boolean hasAllChanges = watch.afterVersion == version
                || !changes.isEmpty() && changes.stream().anyMatch(c -> c.version() == watch.afterVersion + 1);
        if (!hasAllChanges) {
            sendResponse(watch.connection, "200 OK", completeList().toString());
            return;
        }
        Map<String, DecisionModule.EndpointEntry> changed = new LinkedHashMap<>();
        for (Change c : changes) {
            if (c.version() > watch.afterVersion) {
                c.entries().forEach(e -> changed.put(e.host(), e));
            }
        }
        sendResponse(
                watch.connection, "200 OK", listJson(false, changed.values()).toString());
    }

    private void handleNotices(StandInConnection connection, String lines) {
        for (String line : lines.lines().toList()) {
            JsonElement notice = JsonParser.parseString(line);
            String id = notice.getAsJsonObject().get("id").getAsString();
            if (world.isCurrent(id)) {
                world.onNotice(id, notice.getAsJsonObject().get("status").getAsString());
            } else {
                world.auditor().count("notices_of_no_message");
            }
        }
        sendResponse(connection, "204 No Content", "");
    }

    private static void sendResponse(StandInConnection connection, String status, String body) {
        try {
            connection.writeResponse(status, body);
        } catch (IOException e) {
            connection.close();
        }
    }
}
