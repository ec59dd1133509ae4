package lilaclever.journal;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.SplittableRandom;
import lilaclever.routing.Journal;
import lilaclever.routing.Submission;
import org.h2.mvstore.MVMap;
import org.h2.mvstore.MVStore;

/** A store of pending messages as the core uses it: what a turn wrote is in a file before the end of the turn. */
interface Store extends AutoCloseable {
    long MAX_BYTES = 8L << 30;

    void recordAccepted(String id, byte[] body);

    void recordAttempt(String id);

    void recordOutcome(String id);

    void recordSettled(String id);

    /** Ends a turn, with a slice of the store's maintenance. */
    void endTurn();

    int pendingCount();

    @Override
    void close() throws IOException;

    static Store open(String kind, Path folder) throws IOException {
        return switch (kind) {
            case "segments" -> new Segments(folder);
            case "one-file" -> new OneFile(folder);
            case "mvstore" -> new H2(folder);
            default -> throw new IllegalArgumentException(kind);
        };
    }

    private static Submission submission(String id, byte[] body) {
        return new Submission(id, null, 1, 7, "k-" + id, body, false, false, 20_000_000);
    }

    /** The segmented journal, which the program uses. */
    final class Segments implements Store {
        private final Journal journal;

        Segments(Path folder) throws IOException {
            journal = new SegmentedJournal(
                    FolderDisk.lock(folder),
                    MAX_BYTES,
                    Durability.NONE,
                    new JournalClocks(() -> System.nanoTime() / 1000, () -> 0, BootClock.UNKNOWN),
                    new SplittableRandom(1));
        }

        @Override
        public void recordAccepted(String id, byte[] body) {
            if (!journal.recordAccepted("http", submission(id, body), 99, 0)) {
                throw new IllegalStateException("no space left in the journal");
            }
        }

        @Override
        public void recordAttempt(String id) {
            journal.recordAttempt(id, "endpoint-7", 0, 1);
        }

        @Override
        public void recordOutcome(String id) {
            journal.recordOutcome(id, true);
        }

        @Override
        public void recordSettled(String id) {
            journal.recordSettled(id);
        }

        @Override
        public void endTurn() {
            journal.maintain(0);
        }

        @Override
        public int pendingCount() {
            return journal.pendingMessages().size();
        }

        @Override
        public void close() throws IOException {
            journal.close();
        }
    }

    /** The former journal of a single file. */
    final class OneFile implements Store {
        private final OneFileJournal journal;

        OneFile(Path folder) throws IOException {
            journal = new OneFileJournal(folder, MAX_BYTES);
        }

        @Override
        public void recordAccepted(String id, byte[] body) {
            if (!journal.recordAccepted("http", submission(id, body), 99, 0)) {
                throw new IllegalStateException("no space left in the journal");
            }
        }

        @Override
        public void recordAttempt(String id) {
            journal.recordAttempt(id, "endpoint-7", 0, 1);
        }

        @Override
        public void recordOutcome(String id) {
            journal.recordOutcome(id, true);
        }

        @Override
        public void recordSettled(String id) {
            journal.recordSettled(id);
        }

        @Override
        public void endTurn() {
            journal.compactIfNeeded(0);
        }

        @Override
        public int pendingCount() {
            return journal.pending.size();
        }

        @Override
        public void close() throws IOException {
            journal.close();
        }
    }

    /**
     * H2's MVStore, with one entry per message, changed in place, one commit per turn and compaction on its own thread.
     */
    final class H2 implements Store {
        private final MVStore store;
        private final MVMap<String, byte[]> pending;

        H2(Path folder) throws IOException {
            java.nio.file.Files.createDirectories(folder);
            store = new MVStore.Builder()
                    .fileName(folder.resolve("store.mv").toString())
                    .cacheSize(64)
                    .open();
            pending = store.openMap("owed");
        }

        @Override
        public void recordAccepted(String id, byte[] body) {
            SegmentFormat.RecordWriter w = new SegmentFormat.RecordWriter();
            RecordEncoder.accepted(w, new lilaclever.routing.PendingMessage("http", submission(id, body), 99));
            ByteBuffer all = w.withChecksums(0);
            byte[] bytes = new byte[all.remaining() + 60];
            all.get(bytes, 0, all.remaining());
            pending.put(id, bytes);
        }

        private void change(String id, String state) {
            byte[] bytes = pending.get(id).clone();
            byte[] mark = state.getBytes(StandardCharsets.US_ASCII);
            System.arraycopy(mark, 0, bytes, bytes.length - mark.length, mark.length);
            pending.put(id, bytes);
        }

        @Override
        public void recordAttempt(String id) {
            change(id, "endpoint-7 out");
        }

        @Override
        public void recordOutcome(String id) {
            change(id, "endpoint-7 ran");
        }

        @Override
        public void recordSettled(String id) {
            pending.remove(id);
        }

        @Override
        public void endTurn() {
            store.commit();
        }

        @Override
        public int pendingCount() {
            return pending.size();
        }

        @Override
        public void close() {
            store.closeImmediately(); // leaves the file as a killed process would
        }
    }
}
