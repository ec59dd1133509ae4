package lilaclever.program;

import com.google.gson.Gson;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import lilaclever.DecisionModule.MessageClass;
import lilaclever.DecisionModule.RepeatSafety;
import lilaclever.log.Logs;
import lilaclever.routing.ClassVersion;
import lilaclever.routing.MessageClasses;

/**
 * Says which class a message of an earlier journal format has: those formats stored a number, and its meaning, if at
 * all, in a file beside the journal. A number whose meaning is not certain gets a class that must not be repeated, so
 * that a payment is never sent again because of a doubt.
 */
final class EarlierClassTable {
    private static final String FILE = "classes";

    /** The content of the file: a class's number is its index; the name is empty if it had been removed. */
    private record Table(List<String> names, List<MessageClass> classes) {
        boolean isComplete() {
            return names != null
                    && classes != null
                    && names.size() == classes.size()
                    && !names.contains(null)
                    && !classes.contains(null);
        }
    }

    private final Table table;
    private final List<MessageClass> configured;

    private EarlierClassTable(Table table, List<MessageClass> configured) {
        this.table = table;
        this.configured = configured;
    }

    /** Reads the file in the folder, if there is one; without it, or if it is damaged, no number is certain. */
    static EarlierClassTable read(Path state, List<MessageClass> configured) {
        return new EarlierClassTable(readFile(state.resolve(FILE)), configured);
    }

    private static Table readFile(Path file) {
        if (!Files.exists(file)) {
            return null;
        }
        try {
            Table read = new Gson().fromJson(Files.readString(file), Table.class);
            if (read != null && read.isComplete()) {
                return read;
            }
            warnUnreadable(file, "incomplete");
        } catch (IOException | RuntimeException e) { // Gson passes on what the constructors of the classes throw
            warnUnreadable(file, e.toString());
        }
        return null;
    }

    private static void warnUnreadable(Path file, String problem) {
        Logs.error(
                "",
                "classes-unreadable",
                file + " can't be read, so messages of an earlier format are not repeated: " + problem);
    }

    /** Deletes the file once no pending message needs it. */
    static void delete(Path state) {
        try {
            Files.deleteIfExists(state.resolve(FILE));
        } catch (IOException e) {
            Logs.warn("", "classes-not-deleted", FILE + " is not needed any more and can't be deleted: " + e);
        }
    }

    /** The bytes that the file takes in the folder. */
    static long sizeBytes(Path state) {
        try {
            Path file = state.resolve(FILE);
            return Files.exists(file) ? Files.size(file) : 0;
        } catch (IOException e) {
            return 0; // it can't be read either
        }
    }

    /** Returns the class of a message that has this number in the journal, and adds it to this process's classes. */
    ClassVersion resolve(int number, MessageClasses classes) {
        if (table != null && number >= 0 && number < table.classes().size()) {
            return classes.restore(table.names().get(number), table.classes().get(number));
        }
        MessageClass likely = number >= 0 && number < configured.size() ? configured.get(number) : anyConfigured();
        return classes.restore("", unsafe(likely)); // a name would make a repeat look like another message
    }

    private MessageClass anyConfigured() {
        return configured.stream()
                .filter(c -> c.repeat() == RepeatSafety.UNSAFE)
                .findFirst()
                .orElse(configured.get(0));
    }

    private static MessageClass unsafe(MessageClass likely) {
        return new MessageClass(
                likely.aimMicros(),
                likely.deadlineMicros(),
                likely.worth(),
                RepeatSafety.UNSAFE,
                likely.group(),
                likely.repeatWindowMicros(),
                likely.ordered(),
                likely.lateShare(),
                likely.halves());
    }
}
