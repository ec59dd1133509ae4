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

/** One way to keep what is owed, as the core uses it: what a turn wrote is in a file before the turn's end. */
interface Store extends AutoCloseable {
    long MOST = 8L << 30;

    void taken(String id, byte[] body);

    void attempt(String id);

    void outcome(String id);

    void ended(String id);

    /** The end of a turn: a slice of the store's own work. */
    void turn();

    int owed();

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

    /** The journal of this project. */
    final class Segments implements Store {
        private final Journal journal;

        Segments(Path folder) throws IOException {
            journal = new SegmentedJournal(
                    FolderDisk.lock(folder),
                    MOST,
                    Durability.NONE,
                    new JournalClocks(() -> System.nanoTime() / 1000, () -> 0, BootClock.UNKNOWN),
                    new SplittableRandom(1));
        }

        @Override
        public void taken(String id, byte[] body) {
            if (!journal.taken("http", submission(id, body), 99, 0)) {
                throw new IllegalStateException("no room");
            }
        }

        @Override
        public void attempt(String id) {
            journal.attempt(id, "endpoint-7", 0, 1);
        }

        @Override
        public void outcome(String id) {
            journal.outcome(id, true);
        }

        @Override
        public void ended(String id) {
            journal.ended(id);
        }

        @Override
        public void turn() {
            journal.tidy(0);
        }

        @Override
        public int owed() {
            return journal.owed().size();
        }

        @Override
        public void close() throws IOException {
            journal.close();
        }
    }

    /** The journal as it was. */
    final class OneFile implements Store {
        private final OneFileJournal journal;

        OneFile(Path folder) throws IOException {
            journal = new OneFileJournal(folder, MOST);
        }

        @Override
        public void taken(String id, byte[] body) {
            if (!journal.taken("http", submission(id, body), 99, 0)) {
                throw new IllegalStateException("no room");
            }
        }

        @Override
        public void attempt(String id) {
            journal.attempt(id, "endpoint-7", 0, 1);
        }

        @Override
        public void outcome(String id) {
            journal.outcome(id, true);
        }

        @Override
        public void ended(String id) {
            journal.ended(id);
        }

        @Override
        public void turn() {
            journal.tidy(0);
        }

        @Override
        public int owed() {
            return journal.owed.size();
        }

        @Override
        public void close() throws IOException {
            journal.close();
        }
    }

    /** H2's MVStore: an entry a message, changed in place; a commit a turn, compaction by its own thread. */
    final class H2 implements Store {
        private final MVStore store;
        private final MVMap<String, byte[]> owed;

        H2(Path folder) throws IOException {
            java.nio.file.Files.createDirectories(folder);
            store = new MVStore.Builder()
                    .fileName(folder.resolve("store.mv").toString())
                    .cacheSize(64)
                    .open();
            owed = store.openMap("owed");
        }

        @Override
        public void taken(String id, byte[] body) {
            SegmentFormat.RecordWriter w = new SegmentFormat.RecordWriter();
            RecordEncoder.accepted(w, new lilaclever.routing.PendingMessage("http", submission(id, body), 99));
            ByteBuffer all = w.withChecksums(0);
            byte[] bytes = new byte[all.remaining() + 60];
            all.get(bytes, 0, all.remaining());
            owed.put(id, bytes);
        }

        private void change(String id, String what) {
            byte[] bytes = owed.get(id).clone();
            byte[] mark = what.getBytes(StandardCharsets.US_ASCII);
            System.arraycopy(mark, 0, bytes, bytes.length - mark.length, mark.length);
            owed.put(id, bytes);
        }

        @Override
        public void attempt(String id) {
            change(id, "endpoint-7 out");
        }

        @Override
        public void outcome(String id) {
            change(id, "endpoint-7 ran");
        }

        @Override
        public void ended(String id) {
            owed.remove(id);
        }

        @Override
        public void turn() {
            store.commit();
        }

        @Override
        public int owed() {
            return owed.size();
        }

        @Override
        public void close() {
            store.closeImmediately(); // as a killed process leaves it
        }
    }
}
