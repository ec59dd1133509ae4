package lilaclever.routing;

import lilaclever.DecisionModule.MessageClass;
import lilaclever.DecisionModule.RepeatSafety;

/**
 * A message class as one version of the configuration defines it. A message keeps the version that it was submitted
 * with, also across restarts: the journal stores the name and the definition, never the number, which holds for one
 * process only.
 *
 * @param number the index among the classes of this process's decision module, or {@link #UNRESOLVED}
 * @param name the name under which clients submit messages of this class; empty if not known
 * @param definition the rules of the class; null if only the number is known
 */
public record ClassVersion(int number, String name, MessageClass definition) {
    /** The number of a version that was read from the journal and is not part of this process's classes yet. */
    public static final int UNRESOLVED = -1;

    /** A version of which only the number is known: in journals of earlier formats, and where classes never change. */
    public static ClassVersion ofNumber(int number) {
        return new ClassVersion(number, "", null);
    }

    /** Whether a message that may have run must never be sent again; also true if the definition is not known. */
    public boolean isUnsafeToRepeat() {
        return definition == null || definition.repeat() == RepeatSafety.UNSAFE;
    }

    /** Whether both have the same name and the same rules, whatever their numbers. */
    boolean isSameAs(String otherName, MessageClass otherDefinition) {
        return name.equals(otherName) && otherDefinition.equals(definition);
    }
}
