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
 * A folder in memory that remembers each operation, so that a run can be cut after any of them, inside any write, and
 * with what was not forced lost; and that fails operations as real disks do.
 */
final class SimDisk implements Disk {
    /** What is done to the content of a file, by its number, or to names. */
    record Operation(OperationKind kind, int file, String name, String to, long position, byte[] bytes) {}

    enum OperationKind {
        CREATE,
        WRITE,
        TRUNCATE,
        RENAME,
        DELETE,
        SYNC,
        /** A forcing that failed: what was written before it may be lost, whatever is forced later. */
        SYNC_FAILED,
        SYNC_FOLDER,
        /** The opening of a file that is there: nothing is changed, and it may fail. */
        OPEN
    }

    /** How an operation fails, and how many bytes of a write are written before that. */
    record Failure(IOException problem, int bytes) {}

    /** Decides for each operation whether it fails. Any thread. */
    interface FaultPlan {
        /** How the operation fails, or null. */
        Failure failureOf(OperationKind kind, String name);
    }

    /** Which operations fail, beside those that the fields below have fail. */
    volatile FaultPlan faults = (kind, name) -> null;

    final List<Operation> operations = new ArrayList<>();
    /** Bytes that all files may take together, and each; more is a failure of the system's. */
    long quotaBytes = Long.MAX_VALUE, maxFileBytes = Long.MAX_VALUE;
    /** Every write fails, and every forcing. */
    boolean writesFail, syncsFail;

    private final TreeMap<String, Integer> names = new TreeMap<>();
    private final Map<Integer, byte[]> contents = new HashMap<>();
    private int nextFile;

    private void apply(Operation op) {
        switch (op.kind()) {
            case CREATE -> {
                names.put(op.name(), op.file());
                contents.put(op.file(), new byte[0]);
                nextFile = Math.max(nextFile, op.file() + 1);
            }
            case WRITE -> {
                byte[] old = contents.getOrDefault(op.file(), new byte[0]);
                long end = op.position() + op.bytes().length;
                byte[] now = end <= old.length ? old : Arrays.copyOf(old, (int) end);
                System.arraycopy(op.bytes(), 0, now, (int) op.position(), op.bytes().length);
                contents.put(op.file(), now);
            }
            case TRUNCATE -> {
                byte[] old = contents.get(op.file());
                contents.put(op.file(), Arrays.copyOf(old, (int) Math.min(old.length, op.position())));
            }
            case RENAME -> names.put(op.to(), names.remove(op.name()));
            case DELETE -> names.remove(op.name());
            default -> {}
        }
    }

    private void failIfPlanned(OperationKind kind, String name) throws IOException {
        Failure failure = faults.failureOf(kind, name);
        if (failure != null) {
            throw failure.problem();
        }
    }

    /** Writers and the one who forces are two threads. */
    private synchronized void add(OperationKind kind, int file, String name, String to, long position, byte[] bytes) {
        Operation op = new Operation(kind, file, name, to, position, bytes);
        operations.add(op);
        apply(op);
    }

    // ---- crashes ----------------------------------------------------------------------------------------
    /** The folder as a kill leaves it: so many operations, and so many bytes of the next if that is a write. */
    static SimDisk afterKill(List<Operation> ops, int done, int bytesOfNext) {
        SimDisk disk = new SimDisk();
        ops.subList(0, done).forEach(disk::apply);
        if (bytesOfNext > 0 && done < ops.size() && ops.get(done).kind() == OperationKind.WRITE) {
            disk.apply(partOf(ops.get(done), 0, bytesOfNext));
        }
        return disk;
    }

    private static Operation partOf(Operation op, int from, int to) {
        return new Operation(
                op.kind(),
                op.file(),
                op.name(),
                op.to(),
                op.position() + from,
                Arrays.copyOfRange(op.bytes(), from, Math.min(to, op.bytes().length)));
    }

    /**
     * The folder as a failure of the machine leaves it: what was not forced is there in part, in any order, 512 bytes
     * at a time; names change in their order, as a file system's own journal keeps them, up to any of them.
     */
    static SimDisk afterPowerCut(List<Operation> ops, int done, SplittableRandom random) {
        int namesForced = 0;
        boolean[] forced = new boolean[done];
        Map<Integer, Boolean> covered = new HashMap<>();
        for (int i = done - 1; i >= 0; i--) {
            Operation op = ops.get(i);
            if (op.kind() == OperationKind.SYNC_FOLDER) {
                namesForced = Math.max(namesForced, i);
            } else if (op.kind() == OperationKind.SYNC || op.kind() == OperationKind.SYNC_FAILED) {
                covered.put(op.file(), op.kind() == OperationKind.SYNC);
            }
            forced[i] = covered.getOrDefault(op.file(), false);
        }
        int namesUntil = namesForced + random.nextInt(done - namesForced + 1);
        SimDisk disk = new SimDisk();
        Set<Integer> known = new HashSet<>();
        for (int i = 0; i < done; i++) {
            Operation op = ops.get(i);
            boolean ofNames = op.kind() == OperationKind.CREATE || op.kind() == OperationKind.RENAME || op.kind() == OperationKind.DELETE;
            if (ofNames && i < namesUntil) {
                disk.apply(op);
                known.add(op.file());
            } else if (!ofNames && known.contains(op.file())) {
                if (forced[i] || op.kind() == OperationKind.TRUNCATE) {
                    disk.apply(op);
                } else if (op.kind() == OperationKind.WRITE) {
                    for (int at = 0; at < op.bytes().length; ) {
                        int to = at + SegmentFormat.BLOCK_BYTES - (int) ((op.position() + at) % SegmentFormat.BLOCK_BYTES);
                        if (random.nextBoolean()) {
                            disk.apply(partOf(op, at, to));
                        }
                        at = to;
                    }
                }
            }
        }
        return disk;
    }

    // ---- as the journal sees it -------------------------------------------------------------------------
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
            long room = Math.min(maxFileBytes - position, bytes.remaining());
            if (quotaBytes < Long.MAX_VALUE && position + room > length) {
                room = Math.min(room, SpacePolicy.roundUpToBlocks(length) + Math.max(0, quotaBytes - totalBytes()) - position);
            }
            byte[] all = new byte[(int) Math.max(0, room)];
            int asked = bytes.remaining();
            bytes.get(all);
            if (all.length > 0) {
                add(OperationKind.WRITE, number, null, null, position, all);
            }
            if (all.length < asked) {
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
