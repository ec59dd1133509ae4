package lilaclever.journal;

import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.Predicate;
import lilaclever.identity.CompletedMessage;
import lilaclever.journal.Format.Writer;
import lilaclever.routing.FinalStatus;
import lilaclever.routing.PendingMessage;

/**
 * What changed in memory while the disk took no records: messages and remembered ends whose last change is not written.
 * Each is written later as its state is then.
 */
final class UnwrittenChanges {
    private final JournalState state;
    private final SegmentLog log;
    private final Writer writer;
    private final Predicate<Writer> append;
    private final boolean forces;
    private final Set<String> messages = new LinkedHashSet<>();
    private final Set<String> remembered = new LinkedHashSet<>();
    /** Messages whose end is written and not forced: since the last forcing began, and before it. */
    private Set<String> endedSince = new LinkedHashSet<>(), endedBefore = new LinkedHashSet<>();

    /** True from a failed forcing until all that it was for is written again. */
    private boolean rewriting;

    /**
     * None yet.
     *
     * @param writer used for each record and left with the last
     * @param forces true where records are forced to the disk
     * @param append writes what is in the writer, behind all other records; false if that is not possible now
     */
    UnwrittenChanges(JournalState state, SegmentLog log, Writer writer, boolean forces, Predicate<Writer> append) {
        this.state = state;
        this.log = log;
        this.writer = writer;
        this.append = append;
        this.forces = forces;
    }

    /** True if the message has a change that is not written. */
    boolean hasMessage(String id) {
        return !messages.isEmpty() && messages.contains(id);
    }

    /** A message's change could not be written. */
    void addMessage(String id) {
        messages.add(id);
    }

    /** A remembered end could not be written. */
    void addRemembered(String identity) {
        remembered.add(identity);
    }

    /** A message's end is written, and has to be written again if its forcing fails: the state has no trace of it. */
    void endWritten(String id) {
        if (forces) {
            endedSince.add(id);
        }
    }

    /** What is written so far is being forced. */
    void forcingBegun() {
        endedBefore.addAll(endedSince);
        endedSince.clear();
    }

    /** What was written before the forcing began outlasts the machine. */
    void forcingSucceeded() {
        endedBefore.clear();
    }

    /** True while a forcing would not cover all that consequences wait for. */
    boolean isRewriting() {
        rewriting &= count() > 0;
        return rewriting;
    }

    /** A forcing has failed: nothing that is written can be relied on. */
    void addAll() {
        rewriting = true;
        messages.addAll(endedBefore);
        messages.addAll(endedSince);
        endedBefore.clear();
        endedSince.clear();
        messages.addAll(state.owed.keySet());
        remembered.addAll(state.remembered.keySet());
    }

    /** Writes what it can. */
    void write() {
        if (writeMessages()) {
            writeRemembered();
        }
    }

    private boolean writeMessages() {
        while (!messages.isEmpty()) {
            if (!writeMessage(messages.iterator().next())) {
                return false;
            }
        }
        return true;
    }

    /** Writes the message's state if a change of it is not written; false if that is not possible now. */
    boolean writeMessage(String id) {
        if (hasMessage(id)) {
            JournalState.Slot<PendingMessage> slot = state.owed.get(id);
            if (slot == null) {
                RecordEncoder.ended(writer.clear(), id);
            } else {
                RecordEncoder.snapshot(writer.clear(), slot.value);
            }
            int size = writer.size();
            if (!append.test(writer)) {
                return false;
            }
            if (slot != null) {
                state.moved(state.owed, id, log.active(), size);
            } else {
                endWritten(id);
            }
            messages.remove(id);
        }
        return true;
    }

    private void writeRemembered() {
        while (!remembered.isEmpty()) {
            String identity = remembered.iterator().next();
            JournalState.Slot<CompletedMessage<FinalStatus>> slot = state.remembered.get(identity);
            if (slot != null) {
                RecordEncoder.remembered(writer.clear(), identity, slot.value);
                int size = writer.size();
                if (!append.test(writer)) {
                    return;
                }
                state.moved(state.remembered, identity, log.active(), size);
            }
            remembered.remove(identity);
        }
    }

    /** Changes that are not written. */
    int count() {
        return messages.size() + remembered.size();
    }
}
