package lilaclever.scale;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;
import lilaclever.journal.Disk;

/** A disk that counts the bytes written to it. */
final class CountingDisk implements Disk {
    private final Disk real;
    private long writtenBytes;

    CountingDisk(Disk real) {
        this.real = real;
    }

    long writtenBytes() {
        return writtenBytes;
    }

    @Override
    public List<String> fileNames() throws IOException {
        return real.fileNames();
    }

    @Override
    public long length(String name) throws IOException {
        return real.length(name);
    }

    @Override
    public DiskFile open(String name) throws IOException {
        return new CountingFile(real.open(name));
    }

    @Override
    public void rename(String from, String to) throws IOException {
        real.rename(from, to);
    }

    @Override
    public void delete(String name) throws IOException {
        real.delete(name);
    }

    @Override
    public void syncFolder() throws IOException {
        real.syncFolder();
    }

    @Override
    public void close() throws IOException {
        real.close();
    }

    private final class CountingFile implements DiskFile {
        private final DiskFile file;

        CountingFile(DiskFile file) {
            this.file = file;
        }

        @Override
        public int read(ByteBuffer into, long position) throws IOException {
            return file.read(into, position);
        }

        @Override
        public void write(ByteBuffer bytes, long position) throws IOException {
            writtenBytes += bytes.remaining();
            file.write(bytes, position);
        }

        @Override
        public void truncate(long length) throws IOException {
            file.truncate(length);
        }

        @Override
        public void sync() throws IOException {
            file.sync();
        }

        @Override
        public void close() throws IOException {
            file.close();
        }
    }
}
