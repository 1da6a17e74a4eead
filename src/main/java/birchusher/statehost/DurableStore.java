package birchusher.statehost;

import birchusher.kv.Codec;
import birchusher.kv.Engine;
import birchusher.kv.Entry;
import birchusher.kv.Limits;
import birchusher.kv.Request;
import birchusher.kv.State;
import birchusher.kv.StateRestorer;
import birchusher.wal.Snapshot;
import birchusher.wal.StorageDirectory;
import birchusher.wal.WriteAheadLog;
import java.io.Closeable;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * The engine and its log together: what requests change is gathered into a {@link Batch}, made durable with one sync, and only
 * then are the answers given that rest on it. Time is an input.
 *
 * <p>One thread owns a keeper. {@link Batch#write} may run on another one, and requests gather meanwhile; only one batch is under
 * way at a time, so what became of it is always told before the next begins. {@link MachineStatus#write} may run on a third: a
 * picture is of a state that never changes. {@link #flush} does it all in one thread.
 */
public final class DurableStore implements Closeable {
    /** A state to be written as a snapshot, and the last record that it holds. */
    public record PendingSnapshot(StorageDirectory disk, long sequence, State state) {
        /** Writes it; {@link Keeper#pictured} has to be told once it has returned. */
        public void write() throws IOException {
            Snapshot.write(disk, sequence, to -> Codec.encode(state, to::accept));
        }
    }

    /** Records to be made durable together, and a snapshot whose predecessors may go. */
    public static final class Batch {
        private final WriteAheadLog log;
        private final long firstSequence;
        private final List<byte[]> records;
        private final long pruneSequence;
        private WriteAheadLog.WriteFailedException writeFailure;
        private IOException pruneFailure;

        private Batch(WriteAheadLog log, long first, List<byte[]> records, long prune) {
            this.log = log;
            this.firstSequence = first;
            this.records = records;
            this.pruneSequence = prune;
        }

        /** Once; {@link Keeper#written} has to be told when it has returned. */
        public void write() {
            try {
                for (int i = 0; i < records.size(); i++) {
                    long at = log.append(records.get(i));
                    if (at != firstSequence + i) {
                        // Answers would be given for another record than the one synced.
                        throw new IllegalStateException(
                                "record " + at + " in the log, " + (firstSequence + i) + " in the engine");
                    }
                }
                log.sync();
                if (pruneSequence >= 0) {
                    log.prune(pruneSequence);
                }
            } catch (WriteAheadLog.WriteFailedException e) {
                writeFailure = e;
            } catch (IOException e) {
                pruneFailure = e;
            }
        }

        /** Why it does not count, or why old files could not be dropped; null if neither. */
        public String failureMessage() {
            return writeFailure != null
                    ? "not written: " + writeFailure.getMessage()
                    : pruneFailure != null ? "old files stay: " + pruneFailure.getMessage() : null;
        }
    }

    private static final long SNAPSHOT_RETRY_DELAY_MS = 60_000;
    private static final long NO_PRUNE = -1;

    private final StorageDirectory disk;
    private final WriteAheadLog log;
    private final Engine engine;
    private final long snapshotIntervalBytes;
    private final ArrayDeque<byte[]> pendingRecords = new ArrayDeque<>();
    /** The last record given to a batch. */
    private long lastBatchedSequence;

    private Batch activeBatch;
    private long pruneSequence = NO_PRUNE;
    private boolean snapshotInProgress;
    private long nextSnapshotMs;
    /** Bytes of log since the newest snapshot, and as many of them as the picture being written stands for. */
    private long logBytesSinceSnapshot;

    private long logBytesInSnapshot;

    private DurableStore(StorageDirectory disk, WriteAheadLog log, Engine engine, long snapshotBytes) {
        this.disk = disk;
        this.log = log;
        this.engine = engine;
        this.snapshotIntervalBytes = snapshotBytes;
        this.lastBatchedSequence = log.durableSequence();
        this.logBytesSinceSnapshot = log.bytesSinceSnapshot();
    }

    /**
     * Reads what the directory keeps. To its clients this looks like the end of an outage: leases have their full time again,
     * and revisions go on where the last durable change was.
     *
     * @param snapshotBytes of log, after which a snapshot is due
     * @throws birchusher.wal.Damaged if something durable can't be read; nothing was changed then
     */
    public static DurableStore open(
            StorageDirectory disk, WriteAheadLog.Options options, long snapshotBytes, Limits limits, long now)
            throws IOException {
        StateRestorer kept = new StateRestorer();
        WriteAheadLog log = WriteAheadLog.open(disk, options, new WriteAheadLog.RecoveryHandler() {
            @Override
            public void reset() {
                kept.reset();
            }

            @Override
            public void snapshotRecord(byte[] payload) throws IOException {
                kept.addSnapshotRecord(payload);
            }

            @Override
            public void logRecord(long sequence, byte[] payload) throws IOException {
                kept.applyLogRecord(payload);
            }
        });
        return new DurableStore(disk, log, new Engine(kept, log.durableSequence(), limits, now), snapshotBytes);
    }

    /** What opening found, for the operator. */
    public List<String> recoveryNotes() {
        return log.recoveryNotes();
    }

    /** Whether changes are refused at present, as they can't be made durable. */
    public boolean readOnly() {
        return engine.readOnly();
    }

    /** Everything that is durable. */
    public State durableState() {
        return engine.durableState();
    }

    /** Answers that rest on nothing new; the others come with {@link #flush}. */
    public List<Engine.Answer> handle(long now, long ticket, Request r) {
        return collectAnswers(engine.handle(now, ticket, r));
    }

    public List<Engine.Answer> tick(long now) {
        return collectAnswers(engine.tick(now));
    }

    /** What is to be made durable next; null if nothing is, or if a batch is under way. */
    public Batch takeBatch() {
        if (activeBatch != null || pendingRecords.isEmpty() && pruneSequence == NO_PRUNE) {
            return null;
        }
        List<byte[]> records = new ArrayList<>();
        int bytes = 0;
        while (!pendingRecords.isEmpty() && bytes < WriteAheadLog.MAX_BATCH_BYTES) {
            records.add(pendingRecords.poll());
            bytes += records.get(records.size() - 1).length;
        }
        activeBatch = new Batch(log, lastBatchedSequence + 1, records, pruneSequence);
        lastBatchedSequence += records.size();
        pruneSequence = NO_PRUNE;
        logBytesSinceSnapshot += bytes;
        return activeBatch;
    }

    /** The batch's writing has ended: the answers that waited for it. */
    public List<Engine.Answer> onBatchWritten(long now, Batch b) {
        if (b != activeBatch) {
            throw new IllegalArgumentException("not the batch that is under way");
        }
        activeBatch = null;
        if (b.writeFailure != null) {
            // What gathered meanwhile rests on what is taken back: it goes with it.
            pendingRecords.clear();
            lastBatchedSequence = log.durableSequence();
            return collectAnswers(engine.onWriteFailed(now, b.writeFailure.outcomeUnknown));
        }
        return collectAnswers(engine.onDurable(now, lastBatchedSequence));
    }

    /** All that is gathered, written in this thread, and the answers that waited for it. */
    public List<Engine.Answer> flush(long now) {
        List<Engine.Answer> answers = new ArrayList<>();
        for (Batch b = takeBatch(); b != null; b = takeBatch()) {
            b.write();
            answers.addAll(onBatchWritten(now, b));
        }
        return answers;
    }

    private List<Engine.Answer> collectAnswers(List<Engine.Output> outputs) {
        List<Engine.Answer> answers = new ArrayList<>();
        for (Engine.Output o : outputs) {
            if (o instanceof Engine.Append a) {
                addPendingRecord(a.sequence(), a.entry());
            } else {
                answers.add((Engine.Answer) o);
            }
        }
        return answers;
    }

    private void addPendingRecord(long sequence, Entry e) {
        pendingRecords.add(Codec.encode(e));
        if (lastBatchedSequence + pendingRecords.size() != sequence) {
            throw new IllegalStateException("record " + (lastBatchedSequence + pendingRecords.size()) + " gathered, "
                    + sequence + " in the engine");
        }
    }

    /** A snapshot that is due, null if none is or one is being written, or could not be written just now. */
    public PendingSnapshot takeDueSnapshot(long now) {
        if (snapshotInProgress || logBytesSinceSnapshot < snapshotIntervalBytes || now < nextSnapshotMs) {
            return null;
        }
        snapshotInProgress = true;
        logBytesInSnapshot = logBytesSinceSnapshot;
        return new PendingSnapshot(disk, engine.durableSequence(), engine.durableState());
    }

    /** A picture's writing has ended; if it was written, what it stands for is dropped from the log with the next batch. */
    public void onSnapshotWritten(long now, PendingSnapshot p, boolean written) {
        snapshotInProgress = false;
        if (written) {
            pruneSequence = p.sequence();
            logBytesSinceSnapshot -= logBytesInSnapshot;
        } else {
            // A full disk would otherwise be filled again and again with the beginning of a snapshot.
            nextSnapshotMs = now + SNAPSHOT_RETRY_DELAY_MS;
        }
    }

    /** A batch under way must have ended. */
    @Override
    public void close() throws IOException {
        log.close();
        disk.close();
    }
}
