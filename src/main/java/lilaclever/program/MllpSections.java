package lilaclever.program;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import lilaclever.DecisionModule;
import lilaclever.conf.ConfFile;
import lilaclever.conf.ConfFile.Section;
import lilaclever.conf.ConfigurationException;
import lilaclever.identity.Identity;
import lilaclever.protocol.mllp.MllpSettings;
import lilaclever.protocol.mllp.MllpSettings.Field;
import lilaclever.transport.AddressSet;
import lilaclever.transport.Transport;

/** Reads the HL7 sections of the operator's file; without a listener HL7 is disabled and its library not loaded. */
final class MllpSections {
    static final Set<String> SECTION_KINDS = Set.of("mllp", "hl7", "hl7-class", "hl7-destination", "practice");

    private static final long MILLISECOND_MICROS = 1000, SECOND_MICROS = 1_000_000, MINUTE_MICROS = 60 * SECOND_MICROS;
    private static final long DAY_MICROS = 24 * 60 * MINUTE_MICROS;
    /** The same limit as for HTTP: partners expect no larger messages. */
    private static final int MAX_MESSAGE_BYTES = 64 * 1024;

    private final ConfFile file;
    private final Config config;
    private final boolean sharedIdentity;

    MllpSections(ConfFile file, Config config, boolean sharedIdentity) {
        this.file = file;
        this.config = config;
        this.sharedIdentity = sharedIdentity;
    }

    /** Returns the settings, or null if there is no listener. */
    MllpSettings read() throws ConfigurationException {
        Section hl7 = file.section("hl7");
        List<MllpSettings.Listener> listeners = new ArrayList<>();
        for (Section s : file.sections("mllp")) {
            listeners.add(listener(s));
        }
        Map<String, String> practices = practicesBySender();
        Map<String, String> events = classesByEvent();
        Map<String, Integer> destinations = destinationsByReceiver();
        boolean anySender = hl7.flag("any-sender", false);
        boolean acceptsUnknownEvents = hl7.flag("unknown-events", true);
        Field key = field(hl7, "key", "MSH-10");
        Field deadline = field(hl7, "deadline", null);
        Set<String> processing = words(hl7, "processing", "P");
        Set<String> versions = words(hl7, "versions", "2.3 2.3.1 2.4 2.5 2.5.1");
        int maxPendingMessages = (int) hl7.integer("most-held", 200, 1, 1_000_000);
        long resultRetentionMicros = hl7.durationMicros("owe", 5 * DAY_MICROS, SECOND_MICROS, 30 * DAY_MICROS);
        int maxPendingResults = (int) hl7.integer("most-owed", 1000, 1, 1_000_000);
        if (listeners.isEmpty()) {
            return null;
        }
        if (!sharedIdentity) {
            throw listenerError("needs [identity] shared yes: a repeated message must be recognized on every port");
        }
        if (practices.isEmpty() && !anySender) {
            throw listenerError("nobody could send: needs a [practice NAME] with senders, or [hl7] any-sender yes");
        }
        if (destinations.isEmpty()) {
            throw listenerError("nothing could be delivered: needs a [hl7-destination NUMBER] with receivers");
        }
        if (acceptsUnknownEvents && !hasUnsafeClass()) {
            throw hl7.error("unknown-events", "no class of the settings is non_idempotent: set this to no");
        }
        return new MllpSettings(
                listeners,
                practices,
                anySender,
                events,
                acceptsUnknownEvents,
                destinations,
                key,
                deadline,
                processing,
                versions,
                maxPendingMessages,
                resultRetentionMicros,
                maxPendingResults);
    }

    private ConfigurationException listenerError(String problem) {
        return file.sections("mllp").get(0).error("address", problem);
    }

    private MllpSettings.Listener listener(Section s) throws ConfigurationException {
        String address = s.text("address", null);
        if (address == null) {
            throw s.error("address", "missing");
        }
        try {
            Transport.parseAddress(address);
        } catch (IllegalArgumentException e) {
            throw s.error("address", e.getMessage());
        }
        int connections = (int) s.integer("connections", 32, 1, 100_000);
        return new MllpSettings.Listener(
                s.qualifier(),
                address,
                networks(s),
                connections,
                (int) s.integer("connections-per-address", connections, 1, connections),
                (int) s.integer("in-flight", 16, 1, 10_000),
                (int) s.sizeBytes("largest", MAX_MESSAGE_BYTES, 512, MAX_MESSAGE_BYTES),
                s.durationMicros("idle", 10 * MINUTE_MICROS, SECOND_MICROS, 24 * 60 * MINUTE_MICROS),
                s.durationMicros("whole", 30 * SECOND_MICROS, 100 * MILLISECOND_MICROS, 10 * MINUTE_MICROS));
    }

    private static AddressSet networks(Section s) throws ConfigurationException {
        List<String> networks = s.words("networks");
        if (networks.isEmpty()) {
            throw s.error("networks", "missing: which networks may connect, such as 127.0.0.0/8 ::1");
        }
        try {
            return new AddressSet(networks);
        } catch (IllegalArgumentException e) {
            throw s.error("networks", e.getMessage());
        }
    }

    private Map<String, String> practicesBySender() throws ConfigurationException {
        Map<String, String> practices = new HashMap<>();
        for (Section s : file.sections("practice")) {
            try {
                new Identity(s.qualifier(), "x");
            } catch (IllegalArgumentException e) {
                throw s.error("senders", e.getMessage());
            }
            for (String sender : s.words("senders")) {
                if (practices.put(sender, s.qualifier()) != null) {
                    throw s.error("senders", sender + " is listed twice");
                }
            }
        }
        return practices;
    }

    private Map<String, String> classesByEvent() throws ConfigurationException {
        Map<String, String> events = new HashMap<>();
        for (Section s : file.sections("hl7-class")) {
            if (!config.classNames().contains(s.qualifier())) {
                throw s.error(
                        "events",
                        "no class of the settings: " + s.qualifier()
                                + ConfFile.suggestion(s.qualifier(), new LinkedHashSet<>(config.classNames())));
            }
            for (String event : s.words("events")) {
                if (!event.matches("[A-Z][A-Z0-9]{2}(\\^[A-Z][A-Z0-9]{2})?")) {
                    throw s.error("events", "not an event such as ORM or ORM^O01: " + event);
                }
                if (events.put(event, s.qualifier()) != null) {
                    throw s.error("events", event + " is listed twice");
                }
            }
        }
        return events;
    }

    private Map<String, Integer> destinationsByReceiver() throws ConfigurationException {
        Map<String, Integer> destinations = new HashMap<>();
        for (Section s : file.sections("hl7-destination")) {
            if (!s.qualifier().matches("[0-9]{1,9}")) {
                throw s.error("receivers", "[hl7-destination NUMBER], not " + s.qualifier());
            }
            for (String receiver : s.words("receivers")) {
                if (destinations.put(receiver, Integer.valueOf(s.qualifier())) != null) {
                    throw s.error("receivers", receiver + " is listed twice");
                }
            }
        }
        return destinations;
    }

    private boolean hasUnsafeClass() {
        return config.settings().classes().stream().anyMatch(c -> c.repeat() == DecisionModule.RepeatSafety.UNSAFE);
    }

    private static Field field(Section s, String key, String defaultValue) throws ConfigurationException {
        String text = s.text(key, defaultValue);
        Field field = text == null ? null : Field.parse(text);
        if (text != null && field == null) {
            throw s.error(key, "a field such as MSH-10 or ORC-2-1, not " + text);
        }
        return field;
    }

    private static Set<String> words(Section s, String key, String defaultWords) {
        List<String> words = s.words(key);
        return new LinkedHashSet<>(words.isEmpty() ? List.of(defaultWords.split(" ")) : words);
    }
}
