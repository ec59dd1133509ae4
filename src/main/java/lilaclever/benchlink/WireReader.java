package lilaclever.benchlink;

import java.io.BufferedReader;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import lilaclever.DecisionModule;
import lilaclever.DecisionModule.Ending;
import lilaclever.DecisionModule.Entry;
import lilaclever.DecisionModule.Event;
import lilaclever.DecisionModule.ListingKind;
import lilaclever.DecisionModule.Presence;
import lilaclever.DecisionModule.Report;

/** Reads batches of events in the simulator's line format. */
final class WireReader {
    private static final int LISTS = 16;
    private static final int MARK_AGAIN = 2;
    private static final int MARK_INHERITED = 16;

    private final BufferedReader in;
    private final Map<Integer, List<Entry>> lists = new LinkedHashMap<>();
    private long lineNumber;

    /** A decision module and its events of the current batch, since its latest start. */
    record Life(DecisionModule relay, List<Event> events) {}

    /** One batch: its time, and the modules with events by relay name, in order of their first event. */
    record Batch(long nowMicros, Map<String, Life> lives) {}

    WireReader(BufferedReader in) {
        this.in = in;
    }

    /** The next batch, or null at the end of the input. Adds and removes modules in the map as they start and crash. */
    Batch next(Map<String, DecisionModule> relays) throws IOException, WireException {
        String first;
        do {
            first = line();
            if (first == null) {
                return null;
            }
        } while (first.isEmpty());
        Fields round = new Fields(first, lineNumber);
        round.expect("ROUND");
        Batch batch = new Batch(round.time("clock"), new LinkedHashMap<>());
        while (true) {
            String text = line();
            if (text == null) {
                throw new WireException(lineNumber, "GO", "the input ended inside a batch");
            }
            Fields fields = new Fields(text, lineNumber);
            String word = fields.text("message");
            if (word.equals("GO")) {
                return batch;
            }
            event(word, fields, relays, batch);
        }
    }

    private void event(String word, Fields f, Map<String, DecisionModule> relays, Batch batch)
            throws IOException, WireException {
        if (word.equals("MANIFEST")) {
            manifest(f);
            return;
        }
        if (!List.of(
                        "HELLO",
                        "CRASH_NOW",
                        "BACKENDS_CHANGED",
                        "SUBMIT",
                        "REPLY",
                        "REMINDER",
                        "ABORTED",
                        "PROBED",
                        "HEARD",
                        "STARTED")
                .contains(word)) {
            throw new WireException(lineNumber, "message", "unknown message " + word);
        }
        String name = f.text("relay");
        if (word.equals("HELLO")) {
            long seed = f.seed("initSeed");
            DecisionModule relay = SettingsReader.relay(f.rest("conf"), seed, lineNumber);
            relays.put(name, relay);
            batch.lives().put(name, new Life(relay, new ArrayList<>()));
            return;
        }
        DecisionModule relay = relays.get(name);
        if (relay == null) {
            throw new WireException(lineNumber, "relay", "no HELLO came for " + name);
        }
        if (word.equals("CRASH_NOW")) {
            relays.remove(name);
            batch.lives().remove(name);
            return;
        }
        Event event = switch (word) {
            case "BACKENDS_CHANGED" -> listing(f);
            case "SUBMIT" -> submit(f);
            case "REPLY" -> reply(f);
            case "REMINDER" -> new Event.Timer(f.whole("ctx"));
            case "ABORTED" -> new Event.Withdrawn(f.text("msgId"));
            case "PROBED" -> probed(f);
            case "HEARD" -> new Event.Heard(f.number("from"), f.bytes("content"));
            default -> null; // STARTED concerns streams only, which none of the supported message classes uses
        };
        Life life = batch.lives().computeIfAbsent(name, n -> new Life(relay, new ArrayList<>()));
        if (event != null) {
            life.events().add(event);
        }
    }

    private void manifest(Fields f) throws IOException, WireException {
        int slot = f.number("slot");
        if (slot < 0 || slot >= LISTS) {
            throw new WireException(lineNumber, "slot", "not from 0 to " + (LISTS - 1));
        }
        int count = f.number("members");
        List<Entry> entries = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            String text = line();
            if (text == null) {
                throw new WireException(lineNumber, "members", "the input ended inside a list");
            }
            Fields item = new Fields(text, lineNumber);
            item.expect("ITEM");
            int kind = item.number("classOfHost");
            Presence presence = item.choice(
                    "stageState",
                    Map.of("active", Presence.ACTIVE, "leaving", Presence.LEAVING, "left", Presence.LEFT));
            long since = item.time("sinceS");
            String host = item.text("host");
            double weight = item.real("powerHint");
            int dest = item.number("dest");
            entries.add(new Entry(host, dest, item.number("az"), kind, presence, weight, since));
        }
        lists.put(slot, List.copyOf(entries));
    }

    private Event listing(Fields f) throws WireException {
        long version = f.whole("version");
        String slot = f.text("slot");
        ListingKind kind = f.choice(
                "mode",
                Map.of(
                        "changes",
                        ListingKind.CHANGES,
                        "all",
                        ListingKind.ALL,
                        "remembered",
                        ListingKind.REMEMBERED,
                        "refused",
                        ListingKind.REFUSED));
        if (kind == ListingKind.REFUSED) {
            return new Event.Listing(kind, version, List.of());
        }
        List<Entry> entries;
        try {
            entries = lists.get(Integer.parseInt(slot));
        } catch (NumberFormatException e) {
            throw new WireException(lineNumber, "slot", "not a whole number: " + slot);
        }
        if (entries == null) {
            throw new WireException(lineNumber, "slot", "no MANIFEST came with number " + slot);
        }
        return new Event.Listing(kind, version, entries);
    }

    private static Event submit(Fields f) throws WireException {
        String id = f.text("msgId");
        int marks = f.number("marks");
        String key = f.optional("key");
        int dest = f.number("destination");
        int messageClass = f.number("profile");
        f.time("costGuessS");
        long budget = f.time("budgetS");
        return new Event.Submit(
                id,
                messageClass,
                dest,
                f.number("customer"),
                key,
                (marks & MARK_AGAIN) != 0,
                (marks & MARK_INHERITED) != 0,
                budget);
    }

    private static Event reply(Fields f) throws WireException {
        String id = f.text("msgId");
        long elapsed = f.time("elapsedS");
        String host = f.text("host");
        int attempt = f.number("n");
        long note = f.whole("note");
        boolean over = f.bool("terminal");
        Ending ending = f.choice("status", ENDINGS);
        long wait = ending == Ending.FULL ? Math.multiplyExact(Math.max(0, note), 1000L) : 0;
        return new Event.Outcome(
                id,
                host,
                attempt,
                ending,
                elapsed,
                wait,
                ending == Ending.NOT_SENT && note == 1,
                over,
                f.report("serverStats"));
    }

    private static Event probed(Fields f) throws WireException {
        String host = f.text("host");
        long elapsed = f.time("elapsedS");
        return new Event.Probed(host, f.choice("status", ENDINGS), elapsed, f.report("serverStats"));
    }

    private static final Map<String, Ending> ENDINGS = Map.of(
            "Ok",
            Ending.DELIVERED,
            "Failed",
            Ending.ERROR,
            "QueueFull",
            Ending.FULL,
            "TimedOut",
            Ending.TIMED_OUT,
            "ConnectError",
            Ending.NO_CONNECTION,
            "ResetByPeer",
            Ending.RESET,
            "Canceled",
            Ending.CANCELED,
            "Ignored",
            Ending.NOT_SENT);

    private String line() throws IOException {
        String text = in.readLine();
        if (text != null) {
            lineNumber++;
        }
        return text;
    }

    /** The fields of one line, read in order. */
    private static final class Fields {
        private final String text;
        private final long line;
        private int at;

        Fields(String text, long line) {
            this.text = text;
            this.line = line;
        }

        WireException bad(String field, String problem) {
            return new WireException(line, field, problem);
        }

        void expect(String word) throws WireException {
            String got = text("message");
            if (!got.equals(word)) {
                throw bad("message", "expected " + word + ", got " + got);
            }
        }

        String text(String field) throws WireException {
            if (at > text.length() || at == text.length() && at > 0) {
                throw bad(field, "missing");
            }
            int end = text.indexOf(' ', at);
            end = end < 0 ? text.length() : end;
            String part = text.substring(at, end);
            at = end + 1;
            if (part.isEmpty()) {
                throw bad(field, "missing");
            }
            return part;
        }

        /** The next field; null if it is written as absent. */
        String optional(String field) throws WireException {
            String part = text(field);
            return part.equals("-") ? null : part;
        }

        String rest(String field) throws WireException {
            if (at >= text.length()) {
                throw bad(field, "missing");
            }
            return text.substring(at);
        }

        long whole(String field) throws WireException {
            String part = optional(field);
            try {
                return part == null ? 0 : Long.parseLong(part);
            } catch (NumberFormatException e) {
                throw bad(field, "not a whole number: " + part);
            }
        }

        long seed(String field) throws WireException {
            String part = text(field);
            try {
                return part.startsWith("-") ? Long.parseLong(part) : Long.parseUnsignedLong(part);
            } catch (NumberFormatException e) {
                throw bad(field, "not a whole number: " + part);
            }
        }

        int number(String field) throws WireException {
            long value = whole(field);
            if (value != (int) value) {
                throw bad(field, "out of range: " + value);
            }
            return (int) value;
        }

        double real(String field) throws WireException {
            String part = optional(field);
            try {
                double value = part == null ? 0 : Double.parseDouble(part);
                if (Double.isFinite(value)) {
                    return value;
                }
            } catch (NumberFormatException e) {
                // reported below
            }
            throw bad(field, "not a number: " + part);
        }

        long time(String field) throws WireException {
            String part = optional(field);
            try {
                return part == null ? 0 : SettingsReader.micros(part);
            } catch (ArithmeticException | NumberFormatException e) {
                throw bad(field, "not a time: " + part);
            }
        }

        boolean bool(String field) throws WireException {
            String part = text(field);
            if (part.equals("1") || part.equals("0")) {
                return part.equals("1");
            }
            throw bad(field, "not 1 or 0: " + part);
        }

        <T> T choice(String field, Map<String, T> choices) throws WireException {
            String part = text(field);
            T value = choices.get(part);
            if (value == null) {
                throw bad(field, "unknown value " + part);
            }
            return value;
        }

        byte[] bytes(String field) throws WireException {
            String part = optional(field);
            try {
                return part == null ? new byte[0] : HexFormat.of().parseHex(part);
            } catch (IllegalArgumentException e) {
                throw bad(field, "not hex digits: " + part);
            }
        }

        Report report(String field) throws WireException {
            String part = optional(field);
            if (part == null) {
                return null;
            }
            double left = 0;
            double limit = 0;
            for (String pair : part.split(",")) {
                int colon = pair.indexOf(':');
                double value;
                try {
                    value = Double.parseDouble(pair.substring(colon + 1));
                } catch (NumberFormatException e) {
                    throw bad(field, "not a number: " + pair);
                }
                if (colon < 0 || !Double.isFinite(value)) {
                    throw bad(field, "not a pair: " + pair);
                } else if (pair.startsWith("x0:")) {
                    left = value;
                } else if (pair.startsWith("x1:")) {
                    limit = value;
                }
            }
            return new Report(left, limit);
        }
    }
}
