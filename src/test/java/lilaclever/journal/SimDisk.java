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
    record Op(Kind kind, int file, String name, String to, long position, byte[] bytes) {}

    enum Kind {
        CREATE,
        WRITE,
        TRUNCATE,
        RENAME,
        DELETE,
        FORCE,
        /** A failed sync: earlier writes may be lost, whatever is synced later. */
        FORCE_FAILED,
        FORCE_NAMES,
        /** Opening an existing file: changes nothing, but may fail. */
        OPEN
    }

    /** How an operation fails, and how many bytes of a write are written first. */
    record Failure(IOException problem, int bytes) {}

    /** Decides for each operation whether it fails. Called on any thread. */
    interface FaultPlan {
        /** How the operation fails, or null. */
        Failure failureOf(Kind kind, String name);
    }

    /** Which operations fail, in addition to those that fail because of the fields below. */
    volatile FaultPlan faults = (kind, name) -> null;

    final List<Op> ops = new ArrayList<>();
    /** Limits on the size of all files together and of each one, in bytes; a write beyond them fails. */
    long most = Long.MAX_VALUE, mostOfAFile = Long.MAX_VALUE;
    /** Whether all writes fail, and all syncs. */
    boolean writesFail, forcesFail;

    private final TreeMap<String, Integer> names = new TreeMap<>();
    private final Map<Integer, byte[]> contents = new HashMap<>();
    private int nextFile;

    private void apply(Op op) {
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

    private void mayFail(Kind kind, String name) throws IOException {
        Failure failure = faults.failureOf(kind, name);
        if (failure != null) {
            throw failure.problem();
        }
    }

    /** Synchronized: writes and syncs come from two threads. */
    private synchronized void add(Kind kind, int file, String name, String to, long position, byte[] bytes) {
        Op op = new Op(kind, file, name, to, position, bytes);
        ops.add(op);
        apply(op);
    }

    // Crashes

    /** The folder after a kill: the first {@code done} operations, and part of the next one if that is a write. */
    static SimDisk killed(List<Op> ops, int done, int bytesOfNext) {
        SimDisk disk = new SimDisk();
        ops.subList(0, done).forEach(disk::apply);
        if (bytesOfNext > 0 && done < ops.size() && ops.get(done).kind() == Kind.WRITE) {
            disk.apply(part(ops.get(done), 0, bytesOfNext));
        }
        return disk;
    }

    private static Op part(Op op, int from, int to) {
        return new Op(
                op.kind(),
                op.file(),
                op.name(),
                op.to(),
                op.position() + from,
                Arrays.copyOfRange(op.bytes(), from, Math.min(to, op.bytes().length)));
    }

    /**
     * The folder after a machine failure: unsynced data is there in part, in any order, in blocks of 512 bytes; changes
     * of names are kept in order, up to any of them, as in a journaling file system.
     */
    static SimDisk powerCut(List<Op> ops, int done, SplittableRandom random) {
        int namesForced = 0;
        boolean[] forced = new boolean[done];
        Map<Integer, Boolean> covered = new HashMap<>();
        for (int i = done - 1; i >= 0; i--) {
            Op op = ops.get(i);
            if (op.kind() == Kind.FORCE_NAMES) {
                namesForced = Math.max(namesForced, i);
            } else if (op.kind() == Kind.FORCE || op.kind() == Kind.FORCE_FAILED) {
                covered.put(op.file(), op.kind() == Kind.FORCE);
            }
            forced[i] = covered.getOrDefault(op.file(), false);
        }
        int namesUntil = namesForced + random.nextInt(done - namesForced + 1);
        SimDisk disk = new SimDisk();
        Set<Integer> known = new HashSet<>();
        for (int i = 0; i < done; i++) {
            Op op = ops.get(i);
            boolean ofNames = op.kind() == Kind.CREATE || op.kind() == Kind.RENAME || op.kind() == Kind.DELETE;
            if (ofNames && i < namesUntil) {
                disk.apply(op);
                known.add(op.file());
            } else if (!ofNames && known.contains(op.file())) {
                if (forced[i] || op.kind() == Kind.TRUNCATE) {
                    disk.apply(op);
                } else if (op.kind() == Kind.WRITE) {
                    for (int at = 0; at < op.bytes().length; ) {
                        int to = at + Format.BLOCK - (int) ((op.position() + at) % Format.BLOCK);
                        if (random.nextBoolean()) {
                            disk.apply(part(op, at, to));
                        }
                        at = to;
                    }
                }
            }
        }
        return disk;
    }

    // Operations of the journal

    long total() {
        return names.values().stream()
                .mapToLong(f -> Plan.blocks(contents.get(f).length))
                .sum();
    }

    byte[] content(String name) {
        return contents.get(names.get(name));
    }

    void put(String name, byte[] content) {
        add(Kind.CREATE, nextFile, name, null, 0, null);
        add(Kind.WRITE, names.get(name), name, null, 0, content);
    }

    @Override
    public List<String> names() {
        return List.copyOf(names.keySet());
    }

    @Override
    public long length(String name) {
        return content(name).length;
    }

    @Override
    public DiskFile open(String name) throws IOException {
        mayFail(names.containsKey(name) ? Kind.OPEN : Kind.CREATE, name);
        if (!names.containsKey(name)) {
            add(Kind.CREATE, nextFile, name, null, 0, null);
        }
        return new File(names.get(name), name);
    }

    @Override
    public void rename(String from, String to) throws IOException {
        mayFail(Kind.RENAME, from);
        if (!names.containsKey(from)) {
            throw new IOException("no file " + from);
        }
        add(Kind.RENAME, names.get(from), from, to, 0, null);
    }

    @Override
    public void delete(String name) throws IOException {
        mayFail(Kind.DELETE, name);
        if (names.containsKey(name)) {
            add(Kind.DELETE, names.get(name), name, null, 0, null);
        }
    }

    @Override
    public void forceNames() throws IOException {
        mayFail(Kind.FORCE_NAMES, null);
        if (forcesFail) {
            throw new IOException("Input/output error");
        }
        add(Kind.FORCE_NAMES, -1, null, null, 0, null);
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
            Failure failure = faults.failureOf(Kind.WRITE, name);
            if (failure != null) {
                writePart(bytes, position, failure);
                throw failure.problem();
            }
            long length = contents.get(number).length;
            long room = Math.min(mostOfAFile - position, bytes.remaining());
            if (most < Long.MAX_VALUE && position + room > length) {
                room = Math.min(room, Plan.blocks(length) + Math.max(0, most - total()) - position);
            }
            byte[] all = new byte[(int) Math.max(0, room)];
            int asked = bytes.remaining();
            bytes.get(all);
            if (all.length > 0) {
                add(Kind.WRITE, number, null, null, position, all);
            }
            if (all.length < asked) {
                throw new IOException(
                        position + all.length >= mostOfAFile ? "File too large" : "No space left on device");
            }
        }

        private void writePart(ByteBuffer bytes, long position, Failure failure) {
            byte[] part = new byte[Math.max(0, Math.min(failure.bytes(), bytes.remaining() - 1))];
            bytes.get(part);
            if (part.length > 0 && position + part.length <= contents.get(number).length) {
                add(Kind.WRITE, number, null, null, position, part);
            }
        }

        @Override
        public void truncate(long length) throws IOException {
            mayFail(Kind.TRUNCATE, name);
            if (length < contents.get(number).length) {
                add(Kind.TRUNCATE, number, null, null, length, null);
            }
        }

        @Override
        public void force() throws IOException {
            Failure failure = faults.failureOf(Kind.FORCE, name);
            if (failure != null) {
                add(Kind.FORCE_FAILED, number, null, null, 0, null);
                throw failure.problem();
            }
            if (forcesFail) {
                add(Kind.FORCE_FAILED, number, null, null, 0, null);
                throw new IOException("Input/output error");
            }
            add(Kind.FORCE, number, null, null, 0, null);
        }

        @Override
        public void close() {}
    }
}
