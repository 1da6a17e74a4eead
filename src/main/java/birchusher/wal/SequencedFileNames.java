package birchusher.wal;

/** File names that end with a sequence number in 16 hexadecimal digits, so that they sort by it. */
final class SequencedFileNames {
    private static final int SEQUENCE_DIGITS = 16;
    private static final int RADIX = 16;

    private SequencedFileNames() {}

    /** Returns the sequence number after the prefix, or -1 if the name has another form. */
    static long parseSequence(String name, String prefix) {
        if (!name.startsWith(prefix) || name.length() != prefix.length() + SEQUENCE_DIGITS) {
            return -1;
        }
        try {
            return Long.parseLong(name, prefix.length(), name.length(), RADIX);
        } catch (NumberFormatException e) {
            return -1;
        }
    }
}
