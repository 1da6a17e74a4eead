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
import java.util.ArrayList;
import java.util.List;

/**
 * The engine and its log together: requests are gathered, {@link #flush} makes what they changed durable with one sync and
 * only then gives the answers that rest on it. One thread at a time; time is an input.
 *
 * <p>A snapshot is taken of a state that never changes, so {@link Picture#write} may run on any thread while requests go on.
 */
public final class Keeper implements Closeable {
    /** A state to be written as a snapshot, and the last record that it holds. */
    public record Picture(Disk disk, long sequence, State state) {
        /** Writes it; {@link Keeper#pictured} has to be told once it has returned. */
        public void write() throws IOException {
            Snapshot.write(disk, sequence, to -> Codec.encode(state, to::row));
        }
    }

    private final Disk disk;
    private final Log log;
    private final Engine engine;
    private final long snapshotBytes;
    private boolean picturing;

    private Keeper(Disk disk, Log log, Engine engine, long snapshotBytes) {
        this.disk = disk;
        this.log = log;
        this.engine = engine;
        this.snapshotBytes = snapshotBytes;
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

    /** The client of a waiting watch has gone. */
    public void gone(long ticket) {
        engine.gone(ticket);
    }

    /** Whether a flush is due at once, as the batch is as large as it may be. */
    public boolean full() {
        return log.full();
    }

    /** One sync for all that was gathered, and the answers that waited for it. */
    public List<Engine.Answer> flush(long now) {
        if (log.appended() == log.durable()) {
            return List.of();
        }
        try {
            log.sync();
        } catch (Log.NotWritten e) {
            return done(engine.failed(now, e.unclear));
        }
        return done(engine.durable(now, log.durable()));
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
        long at = log.append(Codec.encode(e));
        if (at != sequence) {
            // Answers would be given for another record than the one synced.
            throw new IllegalStateException("record " + at + " in the log, " + sequence + " in the engine");
        }
    }

    /** A snapshot that is due, null if none is or one is being written. */
    public Picture picture() {
        if (picturing || log.sinceSnapshot() < snapshotBytes) {
            return null;
        }
        picturing = true;
        return new Picture(disk, engine.durableSequence(), engine.durableState());
    }

    /** A picture's writing has ended; if it was written, what it stands for is dropped from the log. */
    public void pictured(Picture p, boolean written) throws IOException {
        picturing = false;
        if (written) {
            log.prune(p.sequence());
        }
    }

    @Override
    public void close() throws IOException {
        log.close();
        disk.close();
    }
}
