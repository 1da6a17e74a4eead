package birchusher.wal;

import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.util.List;

/**
 * All that a log asks of its one directory; tests replace it to fail or cut each call.
 *
 * <p>What is promised: bytes written last once {@link Out#sync} has returned; names made, renamed or deleted last once
 * {@link #syncNames} has returned. Anything else may be lost by a power cut in any order and any part, each write
 * on its own. A call that throws may have been done in whole, in part or not at all.
 */
public interface StorageDirectory extends Closeable {
    /** One file being written at its end. */
    interface OutputFile extends Closeable {
        /** Writes all remaining bytes at the end. */
        void write(ByteBuffer bytes) throws IOException;

        void sync() throws IOException;

        /** Drops all bytes from {@code length} on. */
        void truncate(long length) throws IOException;

        long length();
    }

    /** The names of all files, in no order. */
    List<String> fileNames() throws IOException;

    InputStream openForRead(String name) throws IOException;

    /** A new empty file; one of that name is emptied. */
    OutputFile create(String name) throws IOException;

    /** Goes on with a file that exists. */
    OutputFile openForAppend(String name) throws IOException;

    /** Replaces {@code to} at one stroke. */
    void rename(String from, String to) throws IOException;

    /** No failure if there is no such file. */
    void delete(String name) throws IOException;

    void syncDirectory() throws IOException;
}
