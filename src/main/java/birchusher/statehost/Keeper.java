package birchusher.statehost;

import birchusher.kv.Codec;
import birchusher.kv.Engine;
import birchusher.kv.Entry;
import birchusher.kv.Limits;
import birchusher.kv.Request;
import birchusher.kv.Restore;
import birchusher.kv.State;
import birchusher.wal.Disk;
import birchusher.wal.Log;
import birchusher.wal.Snapshot;
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
public final class Keeper implements Closeable {
    /** A state to be written as a snapshot, and the last record that it holds. */
    public record MachineStatus(Disk disk, long sequence, State state) {
        /** Writes it; {@link Keeper#pictured} has to be told once it has returned. */
        public void write() throws IOException {
            Snapshot.write(disk, sequence, to -> Codec.encode(state, to::row));
        }
    }

    /** Records to be made durable together, and a snapshot whose predecessors may go. */
    public static final class Batch {
        private final Log log;
        private final long first;
        private final List<byte[]> records;
        private final long prune;
        private Log.NotWritten failed;
        private IOException unpruned;

        private Batch(Log log, long first, List<byte[]> records, long prune) {
            this.log = log;
            this.first = first;
            this.records = records;
            this.prune = prune;
        }

        /** Once; {@link Keeper#written} has to be told when it has returned. */
        public void write() {
            try {
                for (int i = 0; i < records.size(); i++) {
                    long at = log.append(records.get(i));
                    if (at != first + i) {
                        // Answers would be given for another record than the one synced.
                        throw new IllegalStateException(
                                "record " + at + " in the log, " + (first + i) + " in the engine");
                    }
                }
                log.sync();
                if (prune >= 0) {
                    log.prune(prune);
                }
            } catch (Log.NotWritten e) {
                failed = e;
            } catch (IOException e) {
                unpruned = e;
            }
        }

        /** Why it does not count, or why old files could not be dropped; null if neither. */
        public String trouble() {
            return failed != null
                    ? "not written: " + failed.getMessage()
                    : unpruned != null ? "old files stay: " + unpruned.getMessage() : null;
        }
    }

    private static final long PICTURE_AGAIN_MS = 60_000;
    private static final long NONE = -1;

    private final Disk disk;
    private final Log log;
    private final Engine engine;
    private final long snapshotBytes;
    private final ArrayDeque<byte[]> pending = new ArrayDeque<>();
    /** The last record given to a batch. */
    private long handed;

    private Batch underWay;
    private long prune = NONE;
    private boolean picturing;
    private long pictureFrom;
    /** Bytes of log since the newest snapshot, and as many of them as the picture being written stands for. */
    private long logBytes;

    private long picturedBytes;

    private Keeper(Disk disk, Log log, Engine engine, long snapshotBytes) {
        this.disk = disk;
        this.log = log;
        this.engine = engine;
        this.snapshotBytes = snapshotBytes;
        this.handed = log.durable();
        this.logBytes = log.sinceSnapshot();
    }

    /**
     * Reads what the directory keeps. To its clients this looks like the end of an outage: leases have their full time again,
     * and revisions go on where the last durable change was.
     *
     * @param snapshotBytes of log, after which a snapshot is due
     * @throws birchusher.wal.Damaged if something durable can't be read; nothing was changed then
     */
    public static Keeper open(Disk disk, Log.Options options, long snapshotBytes, Limits limits, long now)
            throws IOException {
        Restore kept = new Restore();
        Log log = Log.open(disk, options, new Log.Reader() {
            @Override
            public void begin() {
                kept.begin();
            }

            @Override
            public void row(byte[] payload) throws IOException {
                kept.row(payload);
            }

            @Override
            public void record(long sequence, byte[] payload) throws IOException {
                kept.entry(payload);
            }
        });
        return new Keeper(disk, log, new Engine(kept, log.durable(), limits, now), snapshotBytes);
    }

    /** What opening found, for the operator. */
    public List<String> notes() {
        return log.notes();
    }

    /** Whether changes are refused at present, as they can't be made durable. */
    public boolean stalled() {
        return engine.stalled();
    }

    /** Everything that is durable. */
    public State state() {
        return engine.durableState();
    }

    /** Answers that rest on nothing new; the others come with {@link #flush}. */
    public List<Engine.Answer> handle(long now, long ticket, Request r) {
        return done(engine.handle(now, ticket, r));
    }

    public List<Engine.Answer> tick(long now) {
        return done(engine.tick(now));
    }

    /** What is to be made durable next; null if nothing is, or if a batch is under way. */
    public Batch take() {
        if (underWay != null || pending.isEmpty() && prune == NONE) {
            return null;
        }
        List<byte[]> records = new ArrayList<>();
        int bytes = 0;
        while (!pending.isEmpty() && bytes < Log.MAX_BATCH) {
            records.add(pending.poll());
            bytes += records.get(records.size() - 1).length;
        }
        underWay = new Batch(log, handed + 1, records, prune);
        handed += records.size();
        prune = NONE;
        logBytes += bytes;
        return underWay;
    }

    /** The batch's writing has ended: the answers that waited for it. */
    public List<Engine.Answer> written(long now, Batch b) {
        if (b != underWay) {
            throw new IllegalArgumentException("not the batch that is under way");
        }
        underWay = null;
        if (b.failed != null) {
            // What gathered meanwhile rests on what is taken back: it goes with it.
            pending.clear();
            handed = log.durable();
            return done(engine.failed(now, b.failed.unclear));
        }
        return done(engine.durable(now, handed));
    }

    /** All that is gathered, written in this thread, and the answers that waited for it. */
    public List<Engine.Answer> flush(long now) {
        List<Engine.Answer> answers = new ArrayList<>();
        for (Batch b = take(); b != null; b = take()) {
            b.write();
            answers.addAll(written(now, b));
        }
        return answers;
    }

    private List<Engine.Answer> done(List<Engine.Output> outputs) {
        List<Engine.Answer> answers = new ArrayList<>();
        for (Engine.Output o : outputs) {
            if (o instanceof Engine.Append a) {
                append(a.sequence(), a.entry());
            } else {
                answers.add((Engine.Answer) o);
            }
        }
        return answers;
    }

    private void append(long sequence, Entry e) {
        pending.add(Codec.encode(e));
        if (handed + pending.size() != sequence) {
            throw new IllegalStateException(
                    "record " + (handed + pending.size()) + " gathered, " + sequence + " in the engine");
        }
    }

    /** A snapshot that is due, null if none is or one is being written, or could not be written just now. */
    public MachineStatus picture(long now) {
        if (picturing || logBytes < snapshotBytes || now < pictureFrom) {
            return null;
        }
        picturing = true;
        picturedBytes = logBytes;
        return new MachineStatus(disk, engine.durableSequence(), engine.durableState());
    }

    /** A picture's writing has ended; if it was written, what it stands for is dropped from the log with the next batch. */
    public void pictured(long now, MachineStatus p, boolean written) {
        picturing = false;
        if (written) {
            prune = p.sequence();
            logBytes -= picturedBytes;
        } else {
            // A full disk would otherwise be filled again and again with the beginning of a snapshot.
            pictureFrom = now + PICTURE_AGAIN_MS;
        }
    }

    /** A batch under way must have ended. */
    @Override
    public void close() throws IOException {
        log.close();
        disk.close();
    }
}
