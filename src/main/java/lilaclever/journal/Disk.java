package lilaclever.journal;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;

/**
 * The folder that holds a journal. Only the few operations that the journal needs, so that tests can count, interrupt
 * and fail each of them.
 */
public interface Disk extends AutoCloseable {
    /** Returns the names of all files, sorted. */
    List<String> fileNames() throws IOException;

    /** Returns the length of a file in bytes. */
    long length(String name) throws IOException;

    /** Opens a file for reading and writing, and creates it if it does not exist. */
    DiskFile open(String name) throws IOException;

    /** Renames a file atomically; an existing file of the new name is replaced. */
    void rename(String from, String to) throws IOException;

    /** Deletes a file if it exists. */
    void delete(String name) throws IOException;

    /** Makes all file creations, renames and deletions so far durable. */
    void syncFolder() throws IOException;

    @Override
    void close() throws IOException;

    /** An open file. */
    interface DiskFile extends AutoCloseable {
        /** Reads at the position; returns the number of bytes read, or -1 at the end of the file. */
        int read(ByteBuffer into, long position) throws IOException;

        /** Reads until the buffer is full; false if the file ends before that. */
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

        /** Writes the whole buffer at the position; on failure any part of it may have been written. */
        void write(ByteBuffer bytes, long position) throws IOException;

        /** Truncates the file to this length. */
        void truncate(long length) throws IOException;

        /** Makes the content durable. */
        void sync() throws IOException;

        @Override
        void close() throws IOException;
    }
}
