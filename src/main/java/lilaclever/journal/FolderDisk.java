package lilaclever.journal;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.stream.Stream;

/** A folder of the file system. A lock on a file in it keeps other programs out. */
public final class FolderDisk implements Disk {
    private static final String LOCK_FILE = "lock";

    private final Path folder;
    private final FileChannel lockFile;

    private FolderDisk(Path folder, FileChannel lockFile) {
        this.folder = folder;
        this.lockFile = lockFile;
    }

    /** Locks the folder for this program alone; it is created if it does not exist. */
    public static FolderDisk lock(Path folder) throws IOException {
        Files.createDirectories(folder);
        FileChannel lockFile =
                FileChannel.open(folder.resolve(LOCK_FILE), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        FileLock lock;
        try {
            lock = lockFile.tryLock();
        } catch (OverlappingFileLockException e) {
            lock = null;
        } catch (IOException e) {
            lockFile.close();
            throw e;
        }
        if (lock == null) {
            lockFile.close();
            throw new JournalException(folder + " is in use by another program");
        }
        return new FolderDisk(folder, lockFile);
    }

    @Override
    public List<String> fileNames() throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            return files.filter(Files::isRegularFile)
                    .map(f -> f.getFileName().toString())
                    .sorted()
                    .toList();
        }
    }

    @Override
    public long length(String name) throws IOException {
        return Files.size(folder.resolve(name));
    }

    @Override
    public DiskFile open(String name) throws IOException {
        return new ChannelFile(FileChannel.open(
                folder.resolve(name), StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE));
    }

    @Override
    public void rename(String from, String to) throws IOException {
        Files.move(folder.resolve(from), folder.resolve(to), StandardCopyOption.ATOMIC_MOVE);
    }

    @Override
    public void delete(String name) throws IOException {
        Files.deleteIfExists(folder.resolve(name));
    }

    @Override
    public void syncFolder() throws IOException {
        try (FileChannel folderChannel = FileChannel.open(folder, StandardOpenOption.READ)) {
            folderChannel.force(true);
        }
    }

    @Override
    public void close() throws IOException {
        lockFile.close();
    }

    private record ChannelFile(FileChannel channel) implements DiskFile {
        @Override
        public int read(ByteBuffer into, long position) throws IOException {
            return channel.read(into, position);
        }

        @Override
        public void write(ByteBuffer bytes, long position) throws IOException {
            long at = position;
            while (bytes.hasRemaining()) {
                at += channel.write(bytes, at);
            }
        }

        @Override
        public void truncate(long length) throws IOException {
            channel.truncate(length);
        }

        @Override
        public void sync() throws IOException {
            channel.force(false);
        }

        @Override
        public void close() throws IOException {
            channel.close();
        }
    }
}
