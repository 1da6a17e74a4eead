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
 * The key-value engine and its write-ahead log. The entries of changing requests are collected into a {@link Batch}, made
 * durable with one sync, and only then are the answers released that depend on them. The caller passes the time, in
 * milliseconds.
 *
 * <p>Threads: one thread owns a store. {@link Batch#write} may run on another thread while further requests are handled. Only
 * one batch is written at a time, so its result is always reported before the next one begins. {@link PendingSnapshot#write}
 * may run on a third thread, as the state that it writes is immutable. {@link #flush} writes batches on the calling thread.
 */
public final class DurableStore implements Closeable {
    /** A state to be written as a snapshot; {@code sequence} is the last log record that it includes. */
    public record PendingSnapshot(StorageDirectory directory, long sequence, State state) {
        /** Writes the snapshot; {@link DurableStore#onSnapshotWritten} must be called afterwards. */
        public void write() throws IOException {
            Snapshot.write(directory, sequence, sink -> Codec.encode(state, sink::accept));
        }
    }

    /** Records to be made durable with one sync and, optionally, a durable snapshot up to which the log may be pruned. */
    public static final class Batch {
        private final WriteAheadLog log;
        private final long firstSequence;
        private final List<byte[]> records;
        private final long pruneSequence;
        private WriteAheadLog.WriteFailedException writeFailure;
        private IOException pruneFailure;

        private Batch(WriteAheadLog log, long firstSequence, List<byte[]> records, long pruneSequence) {
            this.log = log;
            this.firstSequence = firstSequence;
            this.records = records;
            this.pruneSequence = pruneSequence;
        }

        /** Writes the batch, at most once; {@link DurableStore#onBatchWritten} must be called afterwards. */
        public void write() {
            try {
                for (int i = 0; i < records.size(); i++) {
                    long sequence = log.append(records.get(i));
                    if (sequence != firstSequence + i) {
                        // Otherwise answers would be released for another record than the one synced.
                        throw new IllegalStateException("sequence mismatch: record " + sequence + " in the log, "
                                + (firstSequence + i) + " in the engine");
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

        /** Why the batch was not written or old files were not deleted; null if neither failed. */
        public String failureMessage() {
            return writeFailure != null
                    ? "batch not written: " + writeFailure.getMessage()
                    : pruneFailure != null ? "old files not deleted: " + pruneFailure.getMessage() : null;
        }
    }

    private static final long SNAPSHOT_RETRY_DELAY_MS = 60_000;
    /** The value of {@code pruneSequence} if nothing is to be pruned. */
    private static final long NO_PRUNE = -1;

    private final StorageDirectory directory;
    private final WriteAheadLog log;
    private final Engine engine;
    private final long snapshotIntervalBytes;
    private final ArrayDeque<byte[]> pendingRecords = new ArrayDeque<>();
    /** The last record passed to a batch. */
    private long lastBatchedSequence;

    private Batch activeBatch;
    private long pruneSequence = NO_PRUNE;
    private boolean snapshotInProgress;
    private long nextSnapshotMs;
    /** Bytes of log since the newest snapshot. */
    private long logBytesSinceSnapshot;

    /** How many of these bytes the snapshot being written covers. */
    private long logBytesInSnapshot;

    private DurableStore(StorageDirectory directory, WriteAheadLog log, Engine engine, long snapshotIntervalBytes) {
        this.directory = directory;
        this.log = log;
        this.engine = engine;
        this.snapshotIntervalBytes = snapshotIntervalBytes;
        this.lastBatchedSequence = log.durableSequence();
        this.logBytesSinceSnapshot = log.bytesSinceSnapshot();
    }

    /**
     * Recovers the state kept in the directory. To clients this appears as the end of an outage: each lease has its full time
     * to live again, and revisions continue after the last durable change.
     *
     * @param snapshotIntervalBytes a snapshot is due after so many bytes of log
     * @throws birchusher.wal.CorruptedDataException if data that was durable can't be read; the directory is left unchanged
     */
    public static DurableStore open(
            StorageDirectory directory,
            WriteAheadLog.Options options,
            long snapshotIntervalBytes,
            Limits limits,
            long nowMs)
            throws IOException {
        StateRestorer restorer = new StateRestorer();
        WriteAheadLog log = WriteAheadLog.open(directory, options, new WriteAheadLog.RecoveryHandler() {
            @Override
            public void reset() {
                restorer.reset();
            }

            @Override
            public void snapshotRecord(byte[] payload) throws IOException {
                restorer.addSnapshotRecord(payload);
            }

            @Override
            public void logRecord(long sequence, byte[] payload) throws IOException {
                restorer.applyLogRecord(payload);
            }
        });
        return new DurableStore(
                directory, log, new Engine(restorer, log.durableSequence(), limits, nowMs), snapshotIntervalBytes);
    }

    /** Findings of the recovery for the operator, one line each. */
    public List<String> recoveryNotes() {
        return log.recoveryNotes();
    }

    /** Whether changes are refused because the last write failed. */
    public boolean readOnly() {
        return engine.readOnly();
    }

    /** The state after the last durable entry; immutable. */
    public State durableState() {
        return engine.durableState();
    }

    /**
     * Handles one request; see {@link Engine#handle}.
     *
     * @return answers that depend on no pending entry; the others follow from {@link #onBatchWritten} or {@link #flush}
     */
    public List<Engine.Answer> handle(long nowMs, long requestId, Request request) {
        return collectAnswers(engine.handle(nowMs, requestId, request));
    }

    /** Expires leases and watches; see {@link Engine#tick}. */
    public List<Engine.Answer> tick(long nowMs) {
        return collectAnswers(engine.tick(nowMs));
    }

    /** Returns the next batch to write, or null if there is nothing to write or a batch is being written. */
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

    /** Reports that the writing of the batch has ended, successfully or not; returns the answers that depended on it. */
    public List<Engine.Answer> onBatchWritten(long nowMs, Batch batch) {
        if (batch != activeBatch) {
            throw new IllegalArgumentException("not the batch being written");
        }
        activeBatch = null;
        if (batch.writeFailure != null) {
            // Records collected meanwhile depend on entries that are rolled back, so they are discarded as well.
            pendingRecords.clear();
            lastBatchedSequence = log.durableSequence();
            return collectAnswers(engine.onWriteFailed(nowMs, batch.writeFailure.outcomeUnknown));
        }
        return collectAnswers(engine.onDurable(nowMs, lastBatchedSequence));
    }

    /** Writes all pending records on this thread and returns the answers that depended on them. */
    public List<Engine.Answer> flush(long nowMs) {
        List<Engine.Answer> answers = new ArrayList<>();
        for (Batch batch = takeBatch(); batch != null; batch = takeBatch()) {
            batch.write();
            answers.addAll(onBatchWritten(nowMs, batch));
        }
        return answers;
    }

    private List<Engine.Answer> collectAnswers(List<Engine.Output> outputs) {
        List<Engine.Answer> answers = new ArrayList<>();
        for (Engine.Output output : outputs) {
            if (output instanceof Engine.Append append) {
                addPendingRecord(append.sequence(), append.entry());
            } else {
                answers.add((Engine.Answer) output);
            }
        }
        return answers;
    }

    private void addPendingRecord(long sequence, Entry entry) {
        pendingRecords.add(Codec.encode(entry));
        if (lastBatchedSequence + pendingRecords.size() != sequence) {
            throw new IllegalStateException("sequence mismatch: record " + (lastBatchedSequence + pendingRecords.size())
                    + " is pending, " + sequence + " in the engine");
        }
    }

    /**
     * Returns the snapshot that is due, or null if none is due, one is being written, or the last attempt failed less than
     * {@value #SNAPSHOT_RETRY_DELAY_MS} ms ago.
     */
    public PendingSnapshot takeDueSnapshot(long nowMs) {
        if (snapshotInProgress || logBytesSinceSnapshot < snapshotIntervalBytes || nowMs < nextSnapshotMs) {
            return null;
        }
        snapshotInProgress = true;
        logBytesInSnapshot = logBytesSinceSnapshot;
        return new PendingSnapshot(directory, engine.durableSequence(), engine.durableState());
    }

    /** Reports that writing the snapshot has ended; if it succeeded, the log that it covers is pruned with the next batch. */
    public void onSnapshotWritten(long nowMs, PendingSnapshot snapshot, boolean written) {
        snapshotInProgress = false;
        if (written) {
            pruneSequence = snapshot.sequence();
            logBytesSinceSnapshot -= logBytesInSnapshot;
        } else {
            // Retrying at once would fill a full disk with the beginning of a snapshot again and again.
            nextSnapshotMs = nowMs + SNAPSHOT_RETRY_DELAY_MS;
        }
    }

    /** Closes the log and the directory. No batch may be in the process of being written. */
    @Override
    public void close() throws IOException {
        log.close();
        directory.close();
    }
}
