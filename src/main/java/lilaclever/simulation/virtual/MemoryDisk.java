package lilaclever.simulation.virtual;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.List;
import java.util.TreeMap;
import lilaclever.journal.Disk;

/** A folder in memory that keeps its files over restarts of the forwarder that uses it. */
final class MemoryDisk implements Disk {
    private static final class FileContent {
        private byte[] bytes = {};

        private void grow(int length) {
            if (length > bytes.length) {
                bytes = Arrays.copyOf(bytes, length);
            }
        }
    }

    private final TreeMap<String, FileContent> files = new TreeMap<>();

    @Override
    public List<String> fileNames() {
        return List.copyOf(files.keySet());
    }

    @Override
    public long length(String name) {
        return files.get(name).bytes.length;
    }

    @Override
    public DiskFile open(String name) {
        return new MemoryFile(files.computeIfAbsent(name, n -> new FileContent()));
    }

    @Override
    public void rename(String from, String to) {
        files.put(to, files.remove(from));
    }

    @Override
    public void delete(String name) {
        files.remove(name);
    }

    @Override
    public void syncFolder() {
        // nothing to sync: the content is in memory
    }

    @Override
    public void close() {
        // the content is retained
    }

    private record MemoryFile(FileContent content) implements DiskFile {
        @Override
        public int read(ByteBuffer into, long position) {
            int n = (int) Math.min(into.remaining(), content.bytes.length - position);
            if (n <= 0) {
                return -1;
            }
            into.put(content.bytes, (int) position, n);
            return n;
        }

        @Override
        public void write(ByteBuffer bytes, long position) {
            int n = bytes.remaining();
            content.grow((int) position + n);
            bytes.get(content.bytes, (int) position, n);
        }

        @Override
        public void truncate(long length) {
            content.bytes = Arrays.copyOf(content.bytes, (int) length);
        }

        @Override
        public void sync() {
            // nothing to sync: the content is in memory
        }

        @Override
        public void close() {
            // the content is retained
        }
    }
}
