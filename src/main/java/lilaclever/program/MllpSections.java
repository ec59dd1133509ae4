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

/** The sections of the operator's file for the HL7 ports; without a listener they are off, and no library is loaded. */
final class MllpSections {
    /** The kinds of sections read here. */
    static final Set<String> KINDS = Set.of("mllp", "hl7", "hl7-class", "hl7-destination", "practice");

    private static final long MS = 1000, SECOND = 1_000_000, MINUTE = 60 * SECOND;
    /** What HTTP takes too: partners are told no larger ones. */
    private static final int LARGEST = 64 * 1024;

    private final ConfFile file;
    private final Config config;
    private final boolean shared;

    MllpSections(ConfFile file, Config config, boolean shared) {
        this.file = file;
        this.config = config;
        this.shared = shared;
    }

    /** The settings; null if there is no listener. */
    MllpSettings read() throws ConfigurationException {
        Section hl7 = file.section("hl7");
        List<MllpSettings.Listener> listeners = new ArrayList<>();
        for (Section s : file.sections("mllp")) {
            listeners.add(listener(s));
        }
        Map<String, String> practices = practices();
        Map<String, Integer> events = events();
        Map<String, Integer> destinations = destinations();
        boolean anySender = hl7.flag("any-sender", false);
        int unsafe = hl7.flag("unknown-events", true) ? unsafeClass(hl7, !listeners.isEmpty()) : -1;
        Field key = field(hl7, "key", "MSH-10");
        Field deadline = field(hl7, "deadline", null);
        Set<String> processing = words(hl7, "processing", "P");
        Set<String> versions = words(hl7, "versions", "2.3 2.3.1 2.4 2.5 2.5.1");
        int mostHeld = (int) hl7.whole("most-held", 200, 1, 1_000_000);
        long owe = hl7.time("owe", 10 * MINUTE, SECOND, 24 * 60 * MINUTE);
        int mostOwed = (int) hl7.whole("most-owed", 1000, 1, 1_000_000);
        if (listeners.isEmpty()) {
            return null;
        }
        if (!shared) {
            throw listenerFault(
                    "needs [identity] shared yes: a message must be known again on whichever port it comes");
        }
        if (practices.isEmpty() && !anySender) {
            throw listenerFault("nobody could send: needs a [practice NAME] with senders, or [hl7] any-sender yes");
        }
        if (destinations.isEmpty()) {
            throw listenerFault("nothing could be delivered: needs a [hl7-destination NUMBER] with receivers");
        }
        return new MllpSettings(
                listeners,
                practices,
                anySender,
                events,
                unsafe,
                destinations,
                config.settings().classes().stream()
                        .map(DecisionModule.MessageClass::deadlineMicros)
                        .toList(),
                key,
                deadline,
                processing,
                versions,
                mostHeld,
                owe,
                mostOwed);
    }

    private ConfigurationException listenerFault(String problem) {
        return file.sections("mllp").get(0).bad("address", problem);
    }

    private MllpSettings.Listener listener(Section s) throws ConfigurationException {
        String address = s.text("address", null);
        if (address == null) {
            throw s.bad("address", "missing");
        }
        try {
            Transport.parseAddress(address);
        } catch (IllegalArgumentException e) {
            throw s.bad("address", e.getMessage());
        }
        int connections = (int) s.whole("connections", 32, 1, 100_000);
        return new MllpSettings.Listener(
                s.which(),
                address,
                networks(s),
                connections,
                (int) s.whole("connections-per-address", connections, 1, connections),
                (int) s.whole("in-flight", 16, 1, 10_000),
                (int) s.size("largest", LARGEST, 512, LARGEST),
                s.time("idle", 10 * MINUTE, SECOND, 24 * 60 * MINUTE),
                s.time("whole", 30 * SECOND, 100 * MS, 10 * MINUTE));
    }

    private static AddressSet networks(Section s) throws ConfigurationException {
        List<String> networks = s.words("networks");
        if (networks.isEmpty()) {
            throw s.bad("networks", "missing: which networks may connect, such as 127.0.0.0/8 ::1");
        }
        try {
            return new AddressSet(networks);
        } catch (IllegalArgumentException e) {
            throw s.bad("networks", e.getMessage());
        }
    }

    private Map<String, String> practices() throws ConfigurationException {
        Map<String, String> practices = new HashMap<>();
        for (Section s : file.sections("practice")) {
            try {
                new Identity(s.which(), "x");
            } catch (IllegalArgumentException e) {
                throw s.bad("senders", e.getMessage());
            }
            for (String sender : s.words("senders")) {
                if (practices.put(sender, s.which()) != null) {
                    throw s.bad("senders", sender + " stands twice");
                }
            }
        }
        return practices;
    }

    private Map<String, Integer> events() throws ConfigurationException {
        Map<String, Integer> events = new HashMap<>();
        for (Section s : file.sections("hl7-class")) {
            int number = config.classNames().indexOf(s.which());
            if (number < 0) {
                throw s.bad(
                        "events",
                        "no class of the settings: " + s.which()
                                + ConfFile.nearest(s.which(), new LinkedHashSet<>(config.classNames())));
            }
            for (String event : s.words("events")) {
                if (!event.matches("[A-Z][A-Z0-9]{2}(\\^[A-Z][A-Z0-9]{2})?")) {
                    throw s.bad("events", "not an event such as ORM or ORM^O01: " + event);
                }
                if (events.put(event, number) != null) {
                    throw s.bad("events", event + " stands twice");
                }
            }
        }
        return events;
    }

    private Map<String, Integer> destinations() throws ConfigurationException {
        Map<String, Integer> destinations = new HashMap<>();
        for (Section s : file.sections("hl7-destination")) {
            if (!s.which().matches("[0-9]{1,9}")) {
                throw s.bad("receivers", "[hl7-destination NUMBER], not " + s.which());
            }
            for (String receiver : s.words("receivers")) {
                if (destinations.put(receiver, Integer.valueOf(s.which())) != null) {
                    throw s.bad("receivers", receiver + " stands twice");
                }
            }
        }
        return destinations;
    }

    private int unsafeClass(Section hl7, boolean needed) throws ConfigurationException {
        List<DecisionModule.MessageClass> classes = config.settings().classes();
        for (int i = 0; i < classes.size(); i++) {
            if (classes.get(i).repeat() == DecisionModule.RepeatSafety.UNSAFE) {
                return i;
            }
        }
        if (needed) {
            throw hl7.bad("unknown-events", "no class of the settings may not be repeated: set it to no");
        }
        return -1;
    }

    private static Field field(Section s, String key, String otherwise) throws ConfigurationException {
        String text = s.text(key, otherwise);
        Field field = text == null ? null : Field.parse(text);
        if (text != null && field == null) {
            throw s.bad(key, "a field such as MSH-10 or ORC-2-1, not " + text);
        }
        return field;
    }

    private static Set<String> words(Section s, String key, String otherwise) {
        List<String> words = s.words(key);
        return new LinkedHashSet<>(words.isEmpty() ? List.of(otherwise.split(" ")) : words);
    }
}
