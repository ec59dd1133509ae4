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
    private final Set<String> messages = new LinkedHashSet<>();
    private final Set<String> remembered = new LinkedHashSet<>();

    /**
     * None yet.
     *
     * @param writer used for each record and left with the last
     * @param append writes what is in the writer, behind all other records; false if that is not possible now
     */
    UnwrittenChanges(JournalState state, SegmentLog log, Writer writer, Predicate<Writer> append) {
        this.state = state;
        this.log = log;
        this.writer = writer;
        this.append = append;
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

    /** Nothing that is written can be relied on. */
    void addAll() {
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
            String id = messages.iterator().next();
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
