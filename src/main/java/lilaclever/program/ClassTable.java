package lilaclever.program;

import com.google.gson.Gson;
import com.google.gson.JsonParseException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import lilaclever.DecisionModule.MessageClass;
import lilaclever.conf.ConfigurationException;

/**
 * Message classes by their numbers, which the decision module, the fronts and the journal use. Pending messages keep
 * their class, so a number never changes its meaning: a new or changed class gets the next number, and a removed class
 * keeps its number without a name. A table that changes at run time is saved, since messages outlast the process.
 */
record ClassTable(List<String> names, List<MessageClass> classes) {
    /** Limit of the numbers in use. */
    static final int MAX_CLASSES = 128;

    /** Disk space for the file and the new one that is written beside it. */
    static final long RESERVED_BYTES = 2 * MAX_CLASSES * 256L;

    private static final String FILE = "classes";

    /** Returns a table in which exactly these classes have names, so that messages of them can be submitted. */
    ClassTable withCurrentClasses(List<String> currentNames, List<MessageClass> current) throws ConfigurationException {
        List<String> allNames = new ArrayList<>(Collections.nCopies(classes.size(), ""));
        List<MessageClass> allClasses = new ArrayList<>(classes);
        for (int i = 0; i < current.size(); i++) {
            String name = currentNames.get(i);
            int number = names.indexOf(name);
            if (number >= 0 && classes.get(number).equals(current.get(i))) {
                allNames.set(number, name);
            } else {
                allNames.add(name);
                allClasses.add(current.get(i));
            }
        }
        if (allClasses.size() > MAX_CLASSES) {
            throw new ConfigurationException(
                    "settings.requestClasses",
                    "more than " + MAX_CLASSES
                            + " classes, with all earlier ones; a start with an empty state folder resets the numbers");
        }
        return new ClassTable(List.copyOf(allNames), List.copyOf(allClasses));
    }

    /** Reads the table saved in the folder; returns null if there is none. */
    static ClassTable read(Path state) throws ConfigurationException {
        Path file = state.resolve(FILE);
        try {
            return Files.exists(file) ? new Gson().fromJson(Files.readString(file), ClassTable.class) : null;
        } catch (IOException | JsonParseException e) {
            // A start without the file would assign messages to wrong classes.
            throw new ConfigurationException("state", FILE + " can't be read: " + e);
        }
    }

    /** Saves the table, with a size limit; the old file stays until the new one is complete. */
    void write(Path state, long maxBytes) throws IOException {
        String text = new Gson().toJson(this);
        if (text.length() > maxBytes) {
            throw new IOException(
                    text.length() + " bytes exceed the " + maxBytes + " that limits.disk_mb leaves for it");
        }
        Config.replaceStateFile(state, FILE, text);
    }
}
