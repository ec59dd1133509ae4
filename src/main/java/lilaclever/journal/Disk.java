package lilaclever.journal;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;

/** The folder below a journal: the few operations that it needs, so that a test can count, cut and fail each. */
public interface Disk extends AutoCloseable {
    /** The names of all files, sorted. */
    List<String> fileNames() throws IOException;

    /** The length of a file, bytes. */
    long length(String name) throws IOException;

    /** Opens a file to read and write, and creates it if there is none. */
    DiskFile open(String name) throws IOException;

    /** Gives a file another name, in one step; a file of that name is replaced. */
    void rename(String from, String to) throws IOException;

    /** Deletes a file; one that is not there is passed over. */
    void delete(String name) throws IOException;

    /** Makes names, as they are now, outlast a failure of the machine. */
    void syncFolder() throws IOException;

    @Override
    void close() throws IOException;

    /** One open file. */
    interface DiskFile extends AutoCloseable {
        /** Reads at the position; gives the bytes read, or -1 at the end. */
        int read(ByteBuffer into, long position) throws IOException;

        /** Reads until the buffer is full; false if the file ends before. */
        default boolean readFully(ByteBuffer into, long position) throws IOException {
            long at = position;
            while (into.hasRemaining()) {
                int n = read(into, at);
                if (n <= 0) {
                    return false;
                }
                at += n;
            }
            return true;
        }

        /** Writes all of the buffer at the position, or fails with any part of it written. */
        void write(ByteBuffer bytes, long position) throws IOException;

        /** Cuts the file off at the length. */
        void truncate(long length) throws IOException;

        /** Makes the content outlast a failure of the machine. */
        void sync() throws IOException;

        @Override
        void close() throws IOException;
    }
}
