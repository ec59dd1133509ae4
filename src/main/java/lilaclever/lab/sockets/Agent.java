package lilaclever.lab.sockets;

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
import lilaclever.lab.sockets.StandInConnection.HttpMessage;
import lilaclever.lab.world.World;

/**
 * The platform as one forwarder sees it: the directory's agent beside it, with its list and its watch, and where
 * notices go. It knows what it has been told. A thread for each connection reads; the rest runs on the timeline's
 * thread.
 */
final class Agent {
    private static final int MOST_CHANGES = 4_096;
    private static final long MOST_WAIT = 60_000;

    private record Change(long version, List<DecisionModule.EndpointEntry> entries) {}

    private static final class Watch {
        final StandInConnection wire;
        final long after;
        boolean over;

        Watch(StandInConnection wire, long after) {
            this.wire = wire;
            this.after = after;
        }
    }

    private final World world;
    private final RealTime time;
    private final ServerSocket server;
    private final Function<DecisionModule.EndpointEntry, String> address;
    private final long wallMillis = System.currentTimeMillis();
    private final Map<String, DecisionModule.EndpointEntry> list = new LinkedHashMap<>();
    private final ArrayDeque<Change> changes = new ArrayDeque<>();
    private final List<Watch> watches = new ArrayList<>();
    private final List<StandInConnection> wires = new ArrayList<>();
    private long version;

    Agent(World world, RealTime time, Function<DecisionModule.EndpointEntry, String> address) throws IOException {
        this.world = world;
        this.time = time;
        this.address = address;
        server = Ports.listen();
        Threads.start("agent", () -> {
            while (true) {
                serve(server.accept());
            }
        });
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    void close() throws IOException {
        server.close();
        wires.forEach(StandInConnection::close);
    }

    // ---- what it is told --------------------------------------------------------------------------------
    /** The whole list, as a forwarder's start has it. */
    void set(List<DecisionModule.EndpointEntry> all, long now) {
        list.clear();
        all.forEach(e -> list.put(e.host(), e));
        changes.clear();
        version = now;
    }

    /** Changes, for whoever watches and whoever asks later. */
    void change(long now, List<DecisionModule.EndpointEntry> entries) {
        version = now;
        for (DecisionModule.EndpointEntry e : entries) {
            if (e.presence() == Presence.LEFT) {
                list.remove(e.host());
            } else {
                list.put(e.host(), e);
            }
        }
        changes.addLast(new Change(now, entries));
        if (changes.size() > MOST_CHANGES) {
            changes.removeFirst();
        }
        List<Watch> waiting = List.copyOf(watches);
        watches.clear();
        waiting.forEach(this::tell);
    }

    /** The list as a configuration file has it. */
    JsonObject known() {
        return list(true, list.values());
    }

    private JsonObject list(boolean whole, Iterable<DecisionModule.EndpointEntry> entries) {
        JsonArray all = new JsonArray();
        for (DecisionModule.EndpointEntry e : entries) {
            JsonObject o = new JsonObject();
            o.addProperty("name", e.host());
            o.addProperty("address", address.apply(e));
            o.addProperty("zone", Settings.ZONE);
            o.addProperty("type", world.scenario().kinds().get(e.kind()).name());
            o.addProperty("group", e.destination());
            o.addProperty("status", e.presence().name().toLowerCase(java.util.Locale.ROOT));
            o.addProperty("weight", 1.0);
            o.addProperty("since_ms", e.sinceMicros() == 0 ? 0 : wallMillis + e.sinceMicros() / 1000);
            all.add(o);
        }
        JsonObject root = new JsonObject();
        root.addProperty("index", version);
        root.addProperty("snapshot", whole);
        root.add("endpoints", all);
        return root;
    }

    // ---- what it is asked -------------------------------------------------------------------------------
    private void serve(Socket socket) throws IOException {
        StandInConnection wire = new StandInConnection(socket);
        time.post(() -> wires.add(wire));
        Threads.start("agent", () -> {
            try {
                for (HttpMessage h = wire.readHttp(); h != null; h = wire.readHttp()) {
                    HttpMessage read = h;
                    time.post(() -> asked(wire, read));
                }
            } finally {
                wire.close();
                time.post(() -> wires.remove(wire));
            }
        });
    }

    private void asked(StandInConnection wire, HttpMessage h) {
        if (h.target().equals("/status")) {
            notices(wire, new String(h.body(), StandardCharsets.UTF_8));
        } else if (h.target().contains("after=")) {
            Watch watch = new Watch(wire, number(h.target(), "after", -1));
            if (watch.after != version) {
                tell(watch);
                return;
            }
            watches.add(watch);
            time.after(1000 * Math.min(MOST_WAIT, number(h.target(), "wait_ms", 0)), () -> {
                if (watches.remove(watch)) {
                    tell(watch);
                }
            });
        } else {
            answer(wire, "200 OK", known().toString());
        }
    }

    private static long number(String target, String key, long otherwise) {
        java.util.regex.Matcher m =
                java.util.regex.Pattern.compile("[?&]" + key + "=(-?\\d{1,15})").matcher(target);
        return m.find() ? Long.parseLong(m.group(1)) : otherwise;
    }

    private void tell(Watch watch) {
        boolean inOrder = watch.after == version
                || !changes.isEmpty() && changes.stream().anyMatch(c -> c.version() == watch.after + 1);
        if (!inOrder) {
            answer(watch.wire, "200 OK", known().toString());
            return;
        }
        Map<String, DecisionModule.EndpointEntry> changed = new LinkedHashMap<>();
        for (Change c : changes) {
            if (c.version() > watch.after) {
                c.entries().forEach(e -> changed.put(e.host(), e));
            }
        }
        answer(watch.wire, "200 OK", list(false, changed.values()).toString());
    }

    private void notices(StandInConnection wire, String lines) {
        for (String line : lines.lines().toList()) {
            JsonElement read = JsonParser.parseString(line);
            String id = read.getAsJsonObject().get("id").getAsString();
            if (world.isCurrent(id)) {
                world.onNotice(id, read.getAsJsonObject().get("status").getAsString());
            } else {
                world.auditor().count("notices_of_no_message");
            }
        }
        answer(wire, "204 No Content", "");
    }

    private static void answer(StandInConnection wire, String status, String body) {
        try {
            wire.writeResponse(status, body);
        } catch (IOException e) {
            wire.close();
        }
    }
}
