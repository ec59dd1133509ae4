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
 * Classes by the numbers that they have in the module, in fronts and in the journal. Messages under way keep their
 * class, so a number never gets another meaning: a class that is new or has changed gets the next one, and one that has
 * vanished keeps its own without a name. What was renewed while running is noted, since messages outlast the process.
 */
record ClassTable(List<String> names, List<MessageClass> classes) {
    /** Numbers at most, and what the note and the one written beside it take on disk. */
    static final int MAX_CLASSES = 128;

    static final long RESERVED_BYTES = 2 * MAX_CLASSES * 256L;
    private static final String FILE = "classes";

    /** The table in which these classes are those that may be handed in. */
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
                    "with all that came before more than " + MAX_CLASSES
                            + " classes; a start with an empty state folder counts anew");
        }
        return new ClassTable(List.copyOf(allNames), List.copyOf(allClasses));
    }

    /** The table that was noted in the folder; null if there is none. */
    static ClassTable read(Path state) throws ConfigurationException {
        Path file = state.resolve(FILE);
        try {
            return Files.exists(file) ? new Gson().fromJson(Files.readString(file), ClassTable.class) : null;
        } catch (IOException | JsonParseException e) {
            // To start without it would take messages for those of another class.
            throw new ConfigurationException("state", FILE + " can't be read: " + e);
        }
    }

    /** Notes the table in so many bytes at the most: the old note stays until the new one is whole. */
    void write(Path state, long maxBytes) throws IOException {
        String text = new Gson().toJson(this);
        if (text.length() > maxBytes) {
            throw new IOException(
                    text.length() + " bytes are more than the " + maxBytes + " that limits.disk_mb leaves for it");
        }
        Config.replaceStateFile(state, FILE, text);
    }
}
