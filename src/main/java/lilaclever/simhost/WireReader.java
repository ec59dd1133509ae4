package lilaclever.simhost;

import java.io.BufferedReader;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import lilaclever.DecisionModule;
import lilaclever.DecisionModule.AttemptResult;
import lilaclever.DecisionModule.EndpointEntry;
import lilaclever.DecisionModule.Event;
import lilaclever.DecisionModule.LimitReport;
import lilaclever.DecisionModule.ListingKind;
import lilaclever.DecisionModule.Presence;

/** Reads batches of events in the simulator's line format. */
final class WireReader {
    private static final int MAX_LISTS = 16;
    private static final int MARK_AGAIN = 2;
    private static final int MARK_INHERITED = 16;

    private final BufferedReader in;
    private final Map<Integer, List<EndpointEntry>> lists = new LinkedHashMap<>();
    private long lineNumber;

    /** A decision module and its events of the current batch, since its latest start. */
    record ModuleEvents(DecisionModule module, List<Event> events) {}

    /** One batch: its time, and the modules with events by name, in order of their first event. */
    record Batch(long nowMicros, Map<String, ModuleEvents> modules) {}

    WireReader(BufferedReader in) {
        this.in = in;
    }

    /** The next batch, or null at the end of the input. Adds and removes modules in the map as they start and crash. */
    Batch next(Map<String, DecisionModule> modules) throws IOException, WireException {
        String first;
        do {
            first = readLine();
            if (first == null) {
                return null;
            }
        } while (first.isEmpty());
        Fields round = new Fields(first, lineNumber);
        round.expect("ROUND");
        Batch batch = new Batch(round.timeMicros("clock"), new LinkedHashMap<>());
        while (true) {
            String text = readLine();
            if (text == null) {
                throw new WireException(lineNumber, "GO", "the input ended inside a batch");
            }
            Fields fields = new Fields(text, lineNumber);
            String word = fields.text("message");
            if (word.equals("GO")) {
                return batch;
            }
            readEvent(word, fields, modules, batch);
        }
    }

    private void readEvent(String word, Fields fields, Map<String, DecisionModule> modules, Batch batch)
            throws IOException, WireException {
        if (word.equals("MANIFEST")) {
            readManifest(fields);
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
        String name = fields.text("relay");
        if (word.equals("HELLO")) {
            long seed = fields.seed("initSeed");
            DecisionModule module = SettingsReader.createModule(fields.rest("conf"), seed, lineNumber);
            modules.put(name, module);
            batch.modules().put(name, new ModuleEvents(module, new ArrayList<>()));
            return;
        }
        DecisionModule module = modules.get(name);
        if (module == null) {
            throw new WireException(lineNumber, "relay", "no HELLO came for " + name);
        }
        if (word.equals("CRASH_NOW")) {
            modules.remove(name);
            batch.modules().remove(name);
            return;
        }
        Event event = switch (word) {
            case "BACKENDS_CHANGED" -> toListing(fields);
            case "SUBMIT" -> toSubmit(fields);
            case "REPLY" -> toOutcome(fields);
            case "REMINDER" -> new Event.Timer(fields.wholeNumber("ctx"));
            case "ABORTED" -> new Event.Withdrawn(fields.text("msgId"));
            case "PROBED" -> toProbeEnded(fields);
            case "HEARD" -> new Event.PeerMessage(fields.integer("from"), fields.bytes("content"));
            default -> null; // STARTED concerns streams only, which none of the supported message classes uses
        };
        ModuleEvents moduleEvents =
                batch.modules().computeIfAbsent(name, n -> new ModuleEvents(module, new ArrayList<>()));
        if (event != null) {
            moduleEvents.events().add(event);
        }
    }

    private void readManifest(Fields fields) throws IOException, WireException {
        int slot = fields.integer("slot");
        if (slot < 0 || slot >= MAX_LISTS) {
            throw new WireException(lineNumber, "slot", "not from 0 to " + (MAX_LISTS - 1));
        }
        int count = fields.integer("members");
        List<EndpointEntry> entries = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            String text = readLine();
            if (text == null) {
                throw new WireException(lineNumber, "members", "the input ended inside a list");
            }
            Fields item = new Fields(text, lineNumber);
            item.expect("ITEM");
            int kind = item.integer("classOfHost");
            Presence presence = item.choice(
                    "stageState",
                    Map.of("active", Presence.ACTIVE, "leaving", Presence.LEAVING, "left", Presence.LEFT));
            long sinceMicros = item.timeMicros("sinceS");
            String host = item.text("host");
            double weight = item.decimal("powerHint");
            int dest = item.integer("dest");
            entries.add(new EndpointEntry(host, dest, item.integer("az"), kind, presence, weight, sinceMicros));
        }
        lists.put(slot, List.copyOf(entries));
    }

    private Event toListing(Fields fields) throws WireException {
        long version = fields.wholeNumber("version");
        String slot = fields.text("slot");
        ListingKind kind = fields.choice(
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
        List<EndpointEntry> entries;
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

    private static Event toSubmit(Fields fields) throws WireException {
        String id = fields.text("msgId");
        int marks = fields.integer("marks");
        String key = fields.optional("key");
        int dest = fields.integer("destination");
        int messageClass = fields.integer("profile");
        fields.timeMicros("costGuessS");
        long budgetMicros = fields.timeMicros("budgetS");
        return new Event.Submit(
                id,
                messageClass,
                dest,
                fields.integer("customer"),
                key,
                (marks & MARK_AGAIN) != 0,
                (marks & MARK_INHERITED) != 0,
                budgetMicros);
    }

    private static Event toOutcome(Fields fields) throws WireException {
        String id = fields.text("msgId");
        long elapsedMicros = fields.timeMicros("elapsedS");
        String host = fields.text("host");
        int attempt = fields.integer("n");
        long note = fields.wholeNumber("note");
        boolean isFinished = fields.bool("terminal");
        AttemptResult result = fields.choice("status", RESULTS_BY_STATUS);
        long retryAfterMicros = result == AttemptResult.FULL ? Math.multiplyExact(Math.max(0, note), 1000L) : 0;
        return new Event.Outcome(
                id,
                host,
                attempt,
                result,
                elapsedMicros,
                retryAfterMicros,
                result == AttemptResult.NOT_SENT && note == 1,
                isFinished,
                fields.report("serverStats"));
    }

    private static Event toProbeEnded(Fields fields) throws WireException {
        String host = fields.text("host");
        long elapsedMicros = fields.timeMicros("elapsedS");
        return new Event.ProbeEnded(
                host, fields.choice("status", RESULTS_BY_STATUS), elapsedMicros, fields.report("serverStats"));
    }

    private static final Map<String, AttemptResult> RESULTS_BY_STATUS = Map.of(
            "Ok",
            AttemptResult.DELIVERED,
            "Failed",
            AttemptResult.ERROR,
            "QueueFull",
            AttemptResult.FULL,
            "TimedOut",
            AttemptResult.TIMED_OUT,
            "ConnectError",
            AttemptResult.NO_CONNECTION,
            "ResetByPeer",
            AttemptResult.RESET,
            "Canceled",
            AttemptResult.CANCELED,
            "Ignored",
            AttemptResult.NOT_SENT);

    private String readLine() throws IOException {
        String text = in.readLine();
        if (text != null) {
            lineNumber++;
        }
        return text;
    }

    /** The fields of one line, read in order. */
    private static final class Fields {
        private final String text;
        private final long lineNumber;
        private int offset;

        Fields(String text, long lineNumber) {
            this.text = text;
            this.lineNumber = lineNumber;
        }

        WireException invalid(String field, String problem) {
            return new WireException(lineNumber, field, problem);
        }

        void expect(String word) throws WireException {
            String got = text("message");
            if (!got.equals(word)) {
                throw invalid("message", "expected " + word + ", got " + got);
            }
        }

        String text(String field) throws WireException {
            if (offset > text.length() || offset == text.length() && offset > 0) {
                throw invalid(field, "missing");
            }
            int end = text.indexOf(' ', offset);
            end = end < 0 ? text.length() : end;
            String part = text.substring(offset, end);
            offset = end + 1;
            if (part.isEmpty()) {
                throw invalid(field, "missing");
            }
            return part;
        }

        /** The next field; null if it is written as absent. */
        String optional(String field) throws WireException {
            String part = text(field);
            return part.equals("-") ? null : part;
        }

        String rest(String field) throws WireException {
            if (offset >= text.length()) {
                throw invalid(field, "missing");
            }
            return text.substring(offset);
        }

        long wholeNumber(String field) throws WireException {
            String part = optional(field);
            try {
                return part == null ? 0 : Long.parseLong(part);
            } catch (NumberFormatException e) {
                throw invalid(field, "not a whole number: " + part);
            }
        }

        long seed(String field) throws WireException {
            String part = text(field);
            try {
                return part.startsWith("-") ? Long.parseLong(part) : Long.parseUnsignedLong(part);
            } catch (NumberFormatException e) {
                throw invalid(field, "not a whole number: " + part);
            }
        }

        int integer(String field) throws WireException {
            long value = wholeNumber(field);
            if (value != (int) value) {
                throw invalid(field, "out of range: " + value);
            }
            return (int) value;
        }

        double decimal(String field) throws WireException {
            String part = optional(field);
            try {
                double value = part == null ? 0 : Double.parseDouble(part);
                if (Double.isFinite(value)) {
                    return value;
                }
            } catch (NumberFormatException e) {
                // reported below
            }
            throw invalid(field, "not a number: " + part);
        }

        long timeMicros(String field) throws WireException {
            String part = optional(field);
            try {
                return part == null ? 0 : SettingsReader.parseMicros(part);
            } catch (ArithmeticException | NumberFormatException e) {
                throw invalid(field, "not a time: " + part);
            }
        }

        boolean bool(String field) throws WireException {
            String part = text(field);
            if (part.equals("1") || part.equals("0")) {
                return part.equals("1");
            }
            throw invalid(field, "not 1 or 0: " + part);
        }

        <T> T choice(String field, Map<String, T> choices) throws WireException {
            String part = text(field);
            T value = choices.get(part);
            if (value == null) {
                throw invalid(field, "unknown value " + part);
            }
            return value;
        }

        byte[] bytes(String field) throws WireException {
            String part = optional(field);
            try {
                return part == null ? new byte[0] : HexFormat.of().parseHex(part);
            } catch (IllegalArgumentException e) {
                throw invalid(field, "not hex digits: " + part);
            }
        }

        LimitReport report(String field) throws WireException {
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
                    throw invalid(field, "not a number: " + pair);
                }
                if (colon < 0 || !Double.isFinite(value)) {
                    throw invalid(field, "not a pair: " + pair);
                } else if (pair.startsWith("x0:")) {
                    left = value;
                } else if (pair.startsWith("x1:")) {
                    limit = value;
                }
            }
            return new LimitReport(left, limit);
        }
    }
}
