package birchusher.wal;

import java.io.IOException;

/** Data that was durable can't be read any more. The directory is unchanged; {@link Repair} reports what would be lost. */
public final class CorruptedDataException extends IOException {
    private static final long serialVersionUID = 1;
    /** The name of the file within its directory. */
    public final String file;
    /** The offset in bytes from which on the file is invalid. */
    public final long offset;

    public CorruptedDataException(String file, long offset, String description) {
        super(file + " at byte " + offset + ": " + description);
        this.file = file;
        this.offset = offset;
    }
}
