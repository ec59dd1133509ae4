package lilaclever.program;

import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import lilaclever.journal.SegmentedJournal;
import lilaclever.log.Logs;
import lilaclever.routing.ClassVersion;
import lilaclever.routing.MessageClasses;

/**
 * Gives the pending messages of a recovered journal the classes that they were submitted with, whatever the
 * configuration says by now, and logs how many differ from it.
 */
final class PendingClassResolver {
    private final Config config;
    private final MessageClasses classes;
    private final EarlierClassTable earlierTable;
    /** Numbers of messages by class name: of other versions than the current one, and of earlier journal formats. */
    private final Map<String, Integer> ofOtherVersions = new TreeMap<>(), ofEarlierFormats = new TreeMap<>();

    PendingClassResolver(Config config, MessageClasses classes) {
        this.config = config;
        this.classes = classes;
        earlierTable = EarlierClassTable.read(config.state(), config.settings().classes());
    }

    void resolve(SegmentedJournal journal) {
        journal.resolveClasses(this::resolve);
        if (ofEarlierFormats.isEmpty()) {
            EarlierClassTable.delete(config.state());
        } else {
            Logs.warn(
                    "",
                    "classes-of-earlier-format",
                    "messages of an earlier journal format, by the class that they get: " + toText(ofEarlierFormats));
        }
        if (!ofOtherVersions.isEmpty()) {
            Logs.info(
                    "",
                    "classes-kept",
                    "pending messages that keep a class which the configuration has changed or removed: "
                            + toText(ofOtherVersions));
        }
    }

    private ClassVersion resolve(ClassVersion stored) {
        boolean isOfEarlierFormat = stored.definition() == null;
        ClassVersion version = isOfEarlierFormat
                ? earlierTable.resolve(stored.number(), classes)
                : classes.restore(stored.name(), stored.definition());
        if (isOfEarlierFormat) {
            ofEarlierFormats.merge(version.name(), 1, Integer::sum);
        } else if (!version.equals(classes.current(version.name()))) {
            ofOtherVersions.merge(version.name(), 1, Integer::sum);
        }
        return version;
    }

    private static String toText(Map<String, Integer> countByName) {
        return countByName.entrySet().stream()
                .map(entry -> entry.getValue() + " of " + (entry.getKey().isEmpty() ? "(no name)" : entry.getKey()))
                .collect(Collectors.joining(", "));
    }
}
