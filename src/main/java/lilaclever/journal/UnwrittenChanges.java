package lilaclever.journal;

import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import lilaclever.identity.CompletedMessage;
import lilaclever.journal.Format.Writer;
import lilaclever.routing.FinalStatus;
import lilaclever.routing.PendingMessage;

/**
 * Changes in memory that are not on disk because the disk failed: the messages and remembered results whose last change
 * is unwritten. The state that each has then is written later.
 */
final class UnwrittenChanges {
    private final JournalState state;
    private final SegmentLog log;
    private final Writer writer;
    private final Predicate<Writer> append;
    private final boolean forces;
    private final Set<String> messages = new LinkedHashSet<>();
    private final Set<String> remembered = new LinkedHashSet<>();
    /** Messages and remembered results with unsynced records: written before the last sync started, and after. */
    private final Set<String> messagesBefore = new LinkedHashSet<>(), messagesSince = new LinkedHashSet<>();

    private final Set<String> rememberedBefore = new LinkedHashSet<>(), rememberedSince = new LinkedHashSet<>();
    /** True from a failed sync until everything it was to cover is written again. */
    private boolean unforced;
    /** True until a probe sync shows that the disk works again. */
    private boolean waitsForDisk;

    /**
     * Creates an empty set of changes.
     *
     * @param writer used for each record; it keeps the last one
     * @param forces true if records are synced to the disk
     * @param append appends the records of the writer to the log; false if that is not possible now
     */
    UnwrittenChanges(JournalState state, SegmentLog log, Writer writer, boolean forces, Predicate<Writer> append) {
        this.state = state;
        this.log = log;
        this.writer = writer;
        this.append = append;
        this.forces = forces;
    }

    /** True if the message has an unwritten change. */
    boolean hasMessage(String id) {
        return !messages.isEmpty() && messages.contains(id);
    }

    /** Notes that a change of the message could not be written. */
    void addMessage(String id) {
        messages.add(id);
    }

    /** Notes that a remembered result could not be written. */
    void addRemembered(String identity) {
        remembered.add(identity);
    }

    /** Notes a written record of the message. It must be written again if its sync fails. */
    void messageWritten(String id) {
        if (forces) {
            messagesSince.add(id);
        }
    }

    /** Notes that a remembered result was written. */
    void rememberedWritten(String identity) {
        if (forces) {
            rememberedSince.add(identity);
        }
    }

    /** A sync of everything written so far starts. */
    void forcingBegun() {
        messagesBefore.addAll(messagesSince);
        messagesSince.clear();
        rememberedBefore.addAll(rememberedSince);
        rememberedSince.clear();
    }

    /** Everything written before the sync started is durable. */
    void forcingSucceeded() {
        messagesBefore.clear();
        rememberedBefore.clear();
    }

    /** True while a sync would not cover everything that tasks wait for. */
    boolean isRewriting() {
        unforced &= waitsForDisk || count() > 0;
        return unforced;
    }

    /** Writes nothing again until a probe sync succeeds. */
    void waitForDisk() {
        unforced = true;
        waitsForDisk = true;
    }

    /** After a failed sync: everything that was not synced since the last successful one must be written again. */
    void addUnforced(long lastGood) {
        unforced = true;
        waitsForDisk = false;
        forcingBegun();
        messages.addAll(messagesBefore);
        remembered.addAll(rememberedBefore);
        forcingSucceeded();
        addUnforced(state.owed, lastGood, messages);
        addUnforced(state.remembered, lastGood, remembered);
    }

    /** Adds entries in segments written to since the last successful sync started: their records may be copies. */
    private static <T> void addUnforced(Map<String, JournalState.Slot<T>> map, long lastGood, Set<String> to) {
        map.forEach((key, slot) -> {
            if (slot.base != null && slot.base.writtenAt >= lastGood) {
                to.add(key);
            }
        });
    }

    /** Writes as many changes as possible. */
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

    /** Writes the state of the message if a change of it is unwritten; false if that is not possible now. */
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
            }
            messageWritten(id);
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
                rememberedWritten(identity);
            }
            remembered.remove(identity);
        }
    }

    /** The number of unwritten changes. */
    int count() {
        return messages.size() + remembered.size();
    }
}
