package lilaclever.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import lilaclever.DecisionModule.MessageClass;

/**
 * The message classes of this process: those that clients may submit now, and earlier versions that pending messages
 * still have. A version keeps its number until the process ends. Fronts ask for the current version of a name with each
 * message, so that a reload takes effect on all of them. Any thread; only one at a time may change the classes.
 */
public final class MessageClasses {
    /** Limit of the versions, at which reloads are refused; a start never is. */
    public static final int MAX_VERSIONS = 4096;

    /** An immutable state of the classes: {@code current} by name, as of the configuration in use. */
    private record State(List<ClassVersion> versions, Map<String, ClassVersion> current, ClassVersion unsafe) {}

    /** Classes of a reloaded configuration that have numbers already and are not in use yet. */
    public static final class Update {
        private final State state;

        private Update(State state) {
            this.state = state;
        }

        /** All versions by number, for the decision module. */
        public List<MessageClass> definitions() {
            return definitionsOf(state);
        }
    }

    /** A configuration has changed its classes too often since the start. */
    public static final class TooManyVersionsException extends Exception {
        private static final long serialVersionUID = 1;

        private TooManyVersionsException() {
            super("more than " + MAX_VERSIONS + " versions of classes since the start; a restart resets their number");
        }
    }

    private volatile State state;

    /** Starts with the classes of the configuration, in its order: their numbers are their indexes. */
    public MessageClasses(List<String> names, List<MessageClass> definitions) {
        state = withCurrent(new State(List.of(), Map.of(), null), names, definitions);
    }

    /** All versions by number, for the decision module. */
    public List<MessageClass> definitions() {
        return definitionsOf(state);
    }

    /** The version of the name that new messages get, or null if there is no such class now. */
    public ClassVersion current(String name) {
        return name == null ? null : state.current().get(name);
    }

    /**
     * The version for new messages whose class is not known: the first current one whose messages must not be repeated,
     * else the last one that there was. Null if there was none at all.
     */
    public ClassVersion unsafe() {
        return state.unsafe();
    }

    /** The version for new messages of this class, or the one for messages of an unknown class. */
    public ClassVersion currentOrUnsafe(String name) {
        ClassVersion version = current(name);
        return version == null ? unsafe() : version;
    }

    /** Adds a version that a pending message has, unless there is an equal one, and returns it with its number. */
    public synchronized ClassVersion restore(String name, MessageClass definition) {
        List<ClassVersion> versions = new ArrayList<>(state.versions());
        int countBefore = versions.size();
        ClassVersion restored = findOrAdd(versions, name, definition);
        if (versions.size() > countBefore) {
            state = new State(List.copyOf(versions), state.current(), state.unsafe());
        }
        return restored;
    }

    /**
     * Prepares a change to the classes of a reloaded configuration, which takes effect with {@link #apply}. New ones
     * have their numbers from now on, so that a further change can be prepared before this one has taken effect.
     */
    public synchronized Update prepare(List<String> names, List<MessageClass> definitions)
            throws TooManyVersionsException {
        State next = withCurrent(state, names, definitions);
        if (next.versions().size() > Math.max(MAX_VERSIONS, state.versions().size())) {
            throw new TooManyVersionsException();
        }
        state = new State(next.versions(), state.current(), state.unsafe());
        return new Update(next);
    }

    /** Puts a prepared change into effect, in the order of preparation; the decision module must know it first. */
    public synchronized void apply(Update update) {
        state = new State(state.versions(), update.state.current(), update.state.unsafe());
    }

    private static State withCurrent(State before, List<String> names, List<MessageClass> definitions) {
        List<ClassVersion> versions = new ArrayList<>(before.versions());
        Map<String, ClassVersion> current = new HashMap<>();
        ClassVersion unsafe = null;
        for (int i = 0; i < definitions.size(); i++) {
            ClassVersion version = before.versions().isEmpty()
                    ? add(versions, names.get(i), definitions.get(i))
                    : findOrAdd(versions, names.get(i), definitions.get(i));
            current.putIfAbsent(version.name(), version);
            unsafe = unsafe == null && version.isUnsafeToRepeat() ? version : unsafe;
        }
        return new State(List.copyOf(versions), Map.copyOf(current), unsafe == null ? before.unsafe() : unsafe);
    }

    private static ClassVersion findOrAdd(List<ClassVersion> versions, String name, MessageClass definition) {
        for (ClassVersion version : versions) {
            if (version.isSameAs(name, definition)) {
                return version;
            }
        }
        return add(versions, name, definition);
    }

    private static ClassVersion add(List<ClassVersion> versions, String name, MessageClass definition) {
        ClassVersion added = new ClassVersion(versions.size(), name, definition);
        versions.add(added);
        return added;
    }

    private static List<MessageClass> definitionsOf(State state) {
        return state.versions().stream().map(ClassVersion::definition).toList();
    }
}
