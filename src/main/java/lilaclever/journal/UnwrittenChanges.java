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
 * Changes in memory that are not on disk because the disk failed: the messages and remembered results whose last change
 * is unwritten. Each is written later, in its state at that time.
 */
final class UnwrittenChanges {
    private final JournalState state;
    private final SegmentLog log;
    private final RecordWriter writer;
    private final Predicate<RecordWriter> append;
    private final boolean syncEnabled;
    private final Set<String> messages = new LinkedHashSet<>();
    private final Set<String> remembered = new LinkedHashSet<>();
    /** Messages and remembered results with unsynced records: written before the last sync started, and after. */
    private final Set<String> messagesBeforeSync = new LinkedHashSet<>(), messagesSinceSync = new LinkedHashSet<>();

    private final Set<String> rememberedBeforeSync = new LinkedHashSet<>(), rememberedSinceSync = new LinkedHashSet<>();
    /** True from a failed sync until everything it was to cover is written again. */
    private boolean rewriting;
    /** True until a probe sync shows that the disk works again. */
    private boolean waitingForProbe;

    /**
     * Creates an empty set of changes.
     *
     * @param writer used for each record; it keeps the last one
     * @param syncEnabled true if records are synced to the disk
     * @param append appends the records of the writer to the log; false if that is not possible now
     */
    UnwrittenChanges(
            JournalState state,
            SegmentLog log,
            RecordWriter writer,
            boolean syncEnabled,
            Predicate<RecordWriter> append) {
        this.state = state;
        this.log = log;
        this.writer = writer;
        this.append = append;
        this.syncEnabled = syncEnabled;
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
        if (syncEnabled) {
            messagesSinceSync.add(id);
        }
    }

    /** Notes that a remembered result was written. */
    void rememberedWritten(String identity) {
        if (syncEnabled) {
            rememberedSinceSync.add(identity);
        }
    }

    /** A sync of everything written so far starts. */
    void syncStarted() {
        messagesBeforeSync.addAll(messagesSinceSync);
        messagesSinceSync.clear();
        rememberedBeforeSync.addAll(rememberedSinceSync);
        rememberedSinceSync.clear();
    }

    /** Everything written before the sync started is durable. */
    void syncSucceeded() {
        messagesBeforeSync.clear();
        rememberedBeforeSync.clear();
    }

    /** True while a sync would not cover everything that tasks wait for. */
    boolean isRewriting() {
        rewriting &= waitingForProbe || count() > 0;
        return rewriting;
    }

    /** Writes nothing again until a probe sync succeeds. */
    void waitForProbe() {
        rewriting = true;
        waitingForProbe = true;
    }

    /** After a failed sync: everything that was not synced since the last successful one must be written again. */
    void addUnsynced(long lastSuccessfulSync) {
        rewriting = true;
        waitingForProbe = false;
        syncStarted();
        messages.addAll(messagesBeforeSync);
        remembered.addAll(rememberedBeforeSync);
        syncSucceeded();
        addUnsynced(state.pending, lastSuccessfulSync, messages);
        addUnsynced(state.remembered, lastSuccessfulSync, remembered);
    }

    /** Adds entries in segments written to since the last successful sync started: their records may be copies. */
    private static <T> void addUnsynced(
            Map<String, JournalState.Entry<T>> map, long lastSuccessfulSync, Set<String> target) {
        map.forEach((key, entry) -> {
            if (entry.segment != null && entry.segment.lastWrittenAtSync >= lastSuccessfulSync) {
                target.add(key);
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
            JournalState.Entry<PendingMessage> entry = state.pending.get(id);
            if (entry == null) {
                RecordEncoder.settled(writer.clear(), id);
            } else {
                RecordEncoder.snapshot(writer.clear(), entry.value);
            }
            int recordBytes = writer.size();
            if (!append.test(writer)) {
                return false;
            }
            if (entry != null) {
                state.recordMoved(state.pending, id, log.active(), recordBytes);
            }
            messageWritten(id);
            messages.remove(id);
        }
        return true;
    }

    private void writeRemembered() {
        while (!remembered.isEmpty()) {
            String identity = remembered.iterator().next();
            JournalState.Entry<CompletedMessage<FinalStatus>> entry = state.remembered.get(identity);
            if (entry != null) {
                RecordEncoder.remembered(writer.clear(), identity, entry.value);
                int recordBytes = writer.size();
                if (!append.test(writer)) {
                    return;
                }
                state.recordMoved(state.remembered, identity, log.active(), recordBytes);
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
