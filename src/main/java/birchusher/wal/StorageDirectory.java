package birchusher.wal;

import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.util.List;

/**
 * The file operations that a log needs in its one directory; tests replace it to make each call fail or end in part.
 *
 * <p>Guarantees: written bytes are durable once {@link OutputFile#sync} has returned; created, renamed and deleted names are
 * durable once {@link #syncDirectory} has returned. A power cut may lose anything else in any order and any part, each write
 * independently. A call that throws may have been carried out completely, in part or not at all.
 */
public interface StorageDirectory extends Closeable {
    /** A file that is written at its end. */
    interface OutputFile extends Closeable {
        /** Appends all remaining bytes of the buffer. */
        void write(ByteBuffer bytes) throws IOException;

        /** Makes everything written to the file durable. */
        void sync() throws IOException;

        /** Discards all bytes from offset {@code length} on. */
        void truncate(long length) throws IOException;

        /** The length of the file in bytes. */
        long length();
    }

    /** The names of all files, in no particular order. */
    List<String> fileNames() throws IOException;

    /** Opens an existing file to read it from its beginning. */
    InputStream openForRead(String name) throws IOException;

    /** Creates an empty file, or truncates an existing one of that name. */
    OutputFile create(String name) throws IOException;

    /** Opens an existing file to append to it. */
    OutputFile openForAppend(String name) throws IOException;

    /** Renames a file, atomically replacing {@code to} if it exists. */
    void rename(String from, String to) throws IOException;

    /** Deletes the file if it exists. */
    void delete(String name) throws IOException;

    /** Makes all created, renamed and deleted names durable. */
    void syncDirectory() throws IOException;
}
