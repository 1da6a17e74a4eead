package birchusher.wal;

import java.io.IOException;

/** What was durable can't be read any more. Nothing was changed; {@link Repair} says what would be lost. */
public final class CorruptedDataException extends IOException {
    private static final long serialVersionUID = 1;
    public final String file;
    public final long offset;

    public CorruptedDataException(String file, long offset, String what) {
        super(file + " at byte " + offset + ": " + what);
        this.file = file;
        this.offset = offset;
    }
}
