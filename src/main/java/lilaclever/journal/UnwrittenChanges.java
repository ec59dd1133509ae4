package lilaclever.journal;

import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import lilaclever.identity.CompletedMessage;
import lilaclever.journal.SegmentFormat.RecordWriter;
import lilaclever.routing.FinalStatus;
import lilaclever.routing.PendingMessage;

/**
 * What changed in memory while the disk took no records: messages and remembered ends whose last change is not written.
 * Each is written later as its state is then.
 */
final class UnwrittenChanges {
    private final JournalState state;
    private final SegmentLog log;
    private final RecordWriter writer;
    private final Predicate<RecordWriter> append;
    private final boolean syncEnabled;
    private final Set<String> messages = new LinkedHashSet<>();
    private final Set<String> remembered = new LinkedHashSet<>();
    /** Messages and remembered ends with records that are not forced: before the last forcing began, and since. */
    private final Set<String> messagesBeforeSync = new LinkedHashSet<>(), messagesSinceSync = new LinkedHashSet<>();

    private final Set<String> rememberedBeforeSync = new LinkedHashSet<>(), rememberedSinceSync = new LinkedHashSet<>();
    /** True from a failed forcing until all that it was for is written again. */
    private boolean rewriting;
    /** True while the disk is not known to force again. */
    private boolean waitingForProbe;

    /**
     * None yet.
     *
     * @param writer used for each record and left with the last
     * @param forces true where records are forced to the disk
     * @param append writes what is in the writer, behind all other records; false if that is not possible now
     */
    UnwrittenChanges(JournalState state, SegmentLog log, RecordWriter writer, boolean forces, Predicate<RecordWriter> append) {
        this.state = state;
        this.log = log;
        this.writer = writer;
        this.append = append;
        this.syncEnabled = forces;
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

    /** A record of the message is written, or of its end: it has to be written again if its forcing fails. */
    void messageWritten(String id) {
        if (syncEnabled) {
            messagesSinceSync.add(id);
        }
    }

    /** A remembered end is written. */
    void rememberedWritten(String identity) {
        if (syncEnabled) {
            rememberedSinceSync.add(identity);
        }
    }

    /** What is written so far is being forced. */
    void syncStarted() {
        messagesBeforeSync.addAll(messagesSinceSync);
        messagesSinceSync.clear();
        rememberedBeforeSync.addAll(rememberedSinceSync);
        rememberedSinceSync.clear();
    }

    /** What was written before the forcing began outlasts the machine. */
    void syncSucceeded() {
        messagesBeforeSync.clear();
        rememberedBeforeSync.clear();
    }

    /** True while a forcing would not cover all that consequences wait for. */
    boolean isRewriting() {
        rewriting &= waitingForProbe || count() > 0;
        return rewriting;
    }

    /** Nothing is written again before the disk forces again. */
    void waitForProbe() {
        rewriting = true;
        waitingForProbe = true;
    }

    /** A forcing has failed: all that is not forced since the last good one has to be written again. */
    void addUnsynced(long lastGood) {
        rewriting = true;
        waitingForProbe = false;
        syncStarted();
        messages.addAll(messagesBeforeSync);
        remembered.addAll(rememberedBeforeSync);
        syncSucceeded();
        addUnsynced(state.pending, lastGood, messages);
        addUnsynced(state.remembered, lastGood, remembered);
    }

    /** Adds what rests on a segment that was written to since the last good forcing began: it may be a copy. */
    private static <T> void addUnsynced(Map<String, JournalState.Entry<T>> map, long lastGood, Set<String> to) {
        map.forEach((key, slot) -> {
            if (slot.segment != null && slot.segment.lastWrittenAtSync >= lastGood) {
                to.add(key);
            }
        });
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
            JournalState.Entry<PendingMessage> slot = state.pending.get(id);
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
                state.recordMoved(state.pending, id, log.active(), size);
            }
            messageWritten(id);
            messages.remove(id);
        }
        return true;
    }

    private void writeRemembered() {
        while (!remembered.isEmpty()) {
            String identity = remembered.iterator().next();
            JournalState.Entry<CompletedMessage<FinalStatus>> slot = state.remembered.get(identity);
            if (slot != null) {
                RecordEncoder.remembered(writer.clear(), identity, slot.value);
                int size = writer.size();
                if (!append.test(writer)) {
                    return;
                }
                state.recordMoved(state.remembered, identity, log.active(), size);
                rememberedWritten(identity);
            }
            remembered.remove(identity);
        }
    }

    /** Changes that are not written. */
    int count() {
        return messages.size() + remembered.size();
    }
}
