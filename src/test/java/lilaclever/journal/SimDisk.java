package lilaclever.journal;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * An in-memory folder that records each operation, so that a run can be cut off after any of them, inside any write,
 * and with unsynced data lost. It can also fail operations as real disks do.
 */
final class SimDisk implements Disk {
    /** An operation on the content of a file, identified by its number, or on file names. */
    record Operation(OperationKind kind, int file, String name, String to, long position, byte[] bytes) {}

    enum OperationKind {
        CREATE,
        WRITE,
        TRUNCATE,
        RENAME,
        DELETE,
        SYNC,
        /** A failed sync: earlier writes may be lost, whatever is synced later. */
        SYNC_FAILED,
        SYNC_FOLDER,
        /** Opening an existing file: changes nothing, but may fail. */
        OPEN
    }

    /** How an operation fails, and how many bytes of a write are written first. */
    record Failure(IOException problem, int bytes) {}

    /** Decides for each operation whether it fails. Called on any thread. */
    interface FaultPlan {
        /** How the operation fails, or null. */
        Failure failureOf(OperationKind kind, String name);
    }

    /** Which operations fail, in addition to those that fail because of the fields below. */
    volatile FaultPlan faults = (kind, name) -> null;

    final List<Operation> operations = new ArrayList<>();
    /** Limits on the size of all files together and of each one, in bytes; a write beyond them fails. */
    long quotaBytes = Long.MAX_VALUE, maxFileBytes = Long.MAX_VALUE;
    /** Whether all writes fail, and all syncs. */
    boolean writesFail, syncsFail;

    private final TreeMap<String, Integer> names = new TreeMap<>();
    private final Map<Integer, byte[]> contents = new HashMap<>();
    private int nextFile;

    private void apply(Operation operation) {
        switch (operation.kind()) {
            case CREATE -> {
                names.put(operation.name(), operation.file());
                contents.put(operation.file(), new byte[0]);
                nextFile = Math.max(nextFile, operation.file() + 1);
            }
            case WRITE -> {
                byte[] oldContent = contents.getOrDefault(operation.file(), new byte[0]);
                long endPosition = operation.position() + operation.bytes().length;
                byte[] newContent =
                        endPosition <= oldContent.length ? oldContent : Arrays.copyOf(oldContent, (int) endPosition);
                System.arraycopy(
                        operation.bytes(), 0, newContent, (int) operation.position(), operation.bytes().length);
                contents.put(operation.file(), newContent);
            }
            case TRUNCATE -> {
                byte[] oldContent = contents.get(operation.file());
                contents.put(operation.file(), Arrays.copyOf(oldContent, (int)
                        Math.min(oldContent.length, operation.position())));
            }
            case RENAME -> names.put(operation.to(), names.remove(operation.name()));
            case DELETE -> names.remove(operation.name());
            default -> {}
        }
    }

    private void failIfPlanned(OperationKind kind, String name) throws IOException {
        Failure failure = faults.failureOf(kind, name);
        if (failure != null) {
            throw failure.problem();
        }
    }

    /** Synchronized: writes and syncs come from two threads. */
    private synchronized void add(OperationKind kind, int file, String name, String to, long position, byte[] bytes) {
        Operation operation = new Operation(kind, file, name, to, position, bytes);
        operations.add(operation);
        apply(operation);
    }

    // Crashes

    /** The folder after a kill: the first {@code done} operations, and part of the next one if that is a write. */
    static SimDisk afterKill(List<Operation> operations, int done, int bytesOfNext) {
        SimDisk disk = new SimDisk();
        operations.subList(0, done).forEach(disk::apply);
        if (bytesOfNext > 0 && done < operations.size() && operations.get(done).kind() == OperationKind.WRITE) {
            disk.apply(partOf(operations.get(done), 0, bytesOfNext));
        }
        return disk;
    }

    private static Operation partOf(Operation operation, int from, int to) {
        return new Operation(
                operation.kind(),
                operation.file(),
                operation.name(),
                operation.to(),
                operation.position() + from,
                Arrays.copyOfRange(operation.bytes(), from, Math.min(to, operation.bytes().length)));
    }

    /**
     * The folder after a machine failure: unsynced data is there in part, in any order, in blocks of 512 bytes; changes
     * of names are kept in order, up to any of them, as in a journaling file system.
     */
    static SimDisk afterPowerCut(List<Operation> operations, int done, SplittableRandom random) {
        int lastFolderSync = 0;
        boolean[] synced = new boolean[done];
        Map<Integer, Boolean> syncedFiles = new HashMap<>();
        for (int i = done - 1; i >= 0; i--) {
            Operation operation = operations.get(i);
            if (operation.kind() == OperationKind.SYNC_FOLDER) {
                lastFolderSync = Math.max(lastFolderSync, i);
            } else if (operation.kind() == OperationKind.SYNC || operation.kind() == OperationKind.SYNC_FAILED) {
                syncedFiles.put(operation.file(), operation.kind() == OperationKind.SYNC);
            }
            synced[i] = syncedFiles.getOrDefault(operation.file(), false);
        }
        int namesUntil = lastFolderSync + random.nextInt(done - lastFolderSync + 1);
        SimDisk disk = new SimDisk();
        Set<Integer> existing = new HashSet<>();
        for (int i = 0; i < done; i++) {
            Operation operation = operations.get(i);
            boolean changesNames = operation.kind() == OperationKind.CREATE
                    || operation.kind() == OperationKind.RENAME
                    || operation.kind() == OperationKind.DELETE;
            if (changesNames && i < namesUntil) {
                disk.apply(operation);
                existing.add(operation.file());
            } else if (!changesNames && existing.contains(operation.file())) {
                if (synced[i] || operation.kind() == OperationKind.TRUNCATE) {
                    disk.apply(operation);
                } else if (operation.kind() == OperationKind.WRITE) {
                    for (int at = 0; at < operation.bytes().length; ) {
                        int to = at
                                + SegmentFormat.BLOCK_BYTES
                                - (int) ((operation.position() + at) % SegmentFormat.BLOCK_BYTES);
                        if (random.nextBoolean()) {
                            disk.apply(partOf(operation, at, to));
                        }
                        at = to;
                    }
                }
            }
        }
        return disk;
    }

    // Operations of the journal

    long totalBytes() {
        return names.values().stream()
                .mapToLong(f -> SpacePolicy.roundUpToBlocks(contents.get(f).length))
                .sum();
    }

    byte[] content(String name) {
        return contents.get(names.get(name));
    }

    void putFile(String name, byte[] content) {
        add(OperationKind.CREATE, nextFile, name, null, 0, null);
        add(OperationKind.WRITE, names.get(name), name, null, 0, content);
    }

    @Override
    public List<String> fileNames() {
        return List.copyOf(names.keySet());
    }

    @Override
    public long length(String name) {
        return content(name).length;
    }

    @Override
    public DiskFile open(String name) throws IOException {
        failIfPlanned(names.containsKey(name) ? OperationKind.OPEN : OperationKind.CREATE, name);
        if (!names.containsKey(name)) {
            add(OperationKind.CREATE, nextFile, name, null, 0, null);
        }
        return new File(names.get(name), name);
    }

    @Override
    public void rename(String from, String to) throws IOException {
        failIfPlanned(OperationKind.RENAME, from);
        if (!names.containsKey(from)) {
            throw new IOException("no file " + from);
        }
        add(OperationKind.RENAME, names.get(from), from, to, 0, null);
    }

    @Override
    public void delete(String name) throws IOException {
        failIfPlanned(OperationKind.DELETE, name);
        if (names.containsKey(name)) {
            add(OperationKind.DELETE, names.get(name), name, null, 0, null);
        }
    }

    @Override
    public void syncFolder() throws IOException {
        failIfPlanned(OperationKind.SYNC_FOLDER, null);
        if (syncsFail) {
            throw new IOException("Input/output error");
        }
        add(OperationKind.SYNC_FOLDER, -1, null, null, 0, null);
    }

    @Override
    public void close() {}

    private final class File implements DiskFile {
        private final int number;
        private final String name;

        File(int number, String name) {
            this.number = number;
            this.name = name;
        }

        @Override
        public int read(ByteBuffer into, long position) {
            byte[] all = contents.get(number);
            int n = (int) Math.min(into.remaining(), all.length - position);
            if (n <= 0) {
                return -1;
            }
            into.put(all, (int) position, n);
            return n;
        }

        @Override
        public void write(ByteBuffer bytes, long position) throws IOException {
            if (writesFail) {
                throw new IOException("Input/output error");
            }
            Failure failure = faults.failureOf(OperationKind.WRITE, name);
            if (failure != null) {
                writePart(bytes, position, failure);
                throw failure.problem();
            }
            long length = contents.get(number).length;
            long writableBytes = Math.min(maxFileBytes - position, bytes.remaining());
            if (quotaBytes < Long.MAX_VALUE && position + writableBytes > length) {
                writableBytes = Math.min(
                        writableBytes,
                        SpacePolicy.roundUpToBlocks(length) + Math.max(0, quotaBytes - totalBytes()) - position);
            }
            byte[] all = new byte[(int) Math.max(0, writableBytes)];
            int requestedBytes = bytes.remaining();
            bytes.get(all);
            if (all.length > 0) {
                add(OperationKind.WRITE, number, null, null, position, all);
            }
            if (all.length < requestedBytes) {
                throw new IOException(
                        position + all.length >= maxFileBytes ? "File too large" : "No space left on device");
            }
        }

        private void writePart(ByteBuffer bytes, long position, Failure failure) {
            byte[] part = new byte[Math.max(0, Math.min(failure.bytes(), bytes.remaining() - 1))];
            bytes.get(part);
            if (part.length > 0 && position + part.length <= contents.get(number).length) {
                add(OperationKind.WRITE, number, null, null, position, part);
            }
        }

        @Override
        public void truncate(long length) throws IOException {
            failIfPlanned(OperationKind.TRUNCATE, name);
            if (length < contents.get(number).length) {
                add(OperationKind.TRUNCATE, number, null, null, length, null);
            }
        }

        @Override
        public void sync() throws IOException {
            Failure failure = faults.failureOf(OperationKind.SYNC, name);
            if (failure != null) {
                add(OperationKind.SYNC_FAILED, number, null, null, 0, null);
                throw failure.problem();
            }
            if (syncsFail) {
                add(OperationKind.SYNC_FAILED, number, null, null, 0, null);
                throw new IOException("Input/output error");
            }
            add(OperationKind.SYNC, number, null, null, 0, null);
        }

        @Override
        public void close() {}
    }
}
