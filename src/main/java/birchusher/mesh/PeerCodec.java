package birchusher.mesh;

import birchusher.core.Fields.InvalidInputException;
import birchusher.mesh.PeerRecord.AttemptOutcome;
import birchusher.mesh.PeerRecord.AttemptOutcomes;
import birchusher.mesh.PeerRecord.Cancellation;
import birchusher.mesh.PeerRecord.DroppedTasks;
import birchusher.mesh.PeerRecord.Heartbeat;
import birchusher.mesh.PeerRecord.Machine;
import birchusher.mesh.PeerRecord.Offer;
import birchusher.mesh.PeerRecord.OfferReply;
import birchusher.mesh.PeerRecord.OfferedTask;
import birchusher.mesh.PeerRecord.ReturnReply;
import birchusher.mesh.PeerRecord.ReturnRequest;
import birchusher.mesh.PeerRecord.RevisionQuery;
import birchusher.mesh.PeerRecord.RevisionReply;
import birchusher.mesh.PeerRecord.StopRequest;
import birchusher.mesh.PeerRecord.WithdrawnOffer;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** Records between controllers: a version, the sender, a kind, then the fields. The frame's length goes before. */
public final class PeerCodec {
    public static final int VERSION = 3;
    /** The version before, without the sender's incarnation. Still read, so that controllers can be replaced one by one. */
    private static final int PREVIOUS_VERSION = 2;

    public static final int MAX_RECORD_BYTES = 512 * 1024;
    private static final int MAX_LIST_LENGTH = 20_000;
    private static final int FLAG_ALL_OR_NOTHING = 1;
    private static final int FLAG_WITH_PREEMPTION = 2;

    /** A record with the member that sent it and which life of it; 0: not told. */
    public record Envelope(String member, long incarnation, PeerRecord record) {}

    private interface Writer<T> {
        void write(DataOutputStream out, T value) throws IOException;
    }

    private interface Reader<T> {
        T read(DataInputStream in) throws IOException;
    }

    private PeerCodec() {}

    public static byte[] encode(String member, long incarnation, PeerRecord r) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(256);
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            out.writeByte(VERSION);
            out.writeUTF(member);
            out.writeLong(incarnation);
            if (r instanceof Heartbeat h) {
                out.writeByte(1);
                out.writeLong(h.incarnation());
                out.writeBoolean(h.storeHealthy());
                list(out, h.seenTerms(), DataOutputStream::writeLong);
                list(out, h.ownedTerms(), DataOutputStream::writeLong);
                list(out, h.machines(), PeerCodec::machine);
                list(out, h.withdrawnMachines(), DataOutputStream::writeUTF);
                list(out, h.deletedMachines(), DataOutputStream::writeUTF);
            } else if (r instanceof Offer o) {
                out.writeByte(2);
                out.writeLong(o.id());
                // One byte, as a plain "whole" was: a controller of the version before reads both as that and refuses
                // what has no room.
                out.writeByte(
                        (o.allOrNothing() ? FLAG_ALL_OR_NOTHING : 0) | (o.withPreemption() ? FLAG_WITH_PREEMPTION : 0));
                list(out, o.tasks(), PeerCodec::offeredTask);
            } else if (r instanceof OfferReply v) {
                out.writeByte(3);
                out.writeLong(v.id());
                list(out, v.refusals(), DataOutputStream::writeUTF);
                list(out, v.terms(), DataOutputStream::writeLong);
            } else if (r instanceof StopRequest s) {
                out.writeByte(4);
                out.writeUTF(s.job());
                out.writeInt(s.task());
                out.writeLong(s.attempt());
                out.writeDouble(s.graceS());
                out.writeUTF(s.reason());
            } else if (r instanceof ReturnRequest x) {
                out.writeByte(5);
                out.writeUTF(x.machine());
                out.writeBoolean(x.withTasks());
            } else if (r instanceof ReturnReply x) {
                out.writeByte(6);
                out.writeUTF(x.machine());
                out.writeBoolean(x.agreed());
            } else if (r instanceof AttemptOutcomes o) {
                out.writeByte(7);
                list(out, o.outcomes(), (d, e) -> {
                    d.writeUTF(e.job());
                    d.writeInt(e.task());
                    d.writeLong(e.attempt());
                    d.writeUTF(e.machine());
                    d.writeInt(e.shard());
                    d.writeLong(e.term());
                    d.writeByte(e.kindOrdinal());
                });
            } else if (r instanceof WithdrawnOffer x) {
                out.writeByte(8);
                list(out, x.tasks(), PeerCodec::offeredTask);
            } else if (r instanceof DroppedTasks x) {
                out.writeByte(9);
                out.writeInt(x.count());
            } else if (r instanceof RevisionQuery q) {
                out.writeByte(10);
                out.writeLong(q.sentAtMs());
                out.writeLong(q.appliedRevision());
            } else if (r instanceof RevisionReply a) {
                out.writeByte(11);
                out.writeLong(a.querySentAtMs());
                out.writeLong(a.querierIncarnation());
                out.writeBoolean(a.storeHealthy());
                out.writeLong(a.knownRevision());
                out.writeLong(a.sinceRevision());
                list(out, a.cancellations(), (d, c) -> {
                    d.writeUTF(c.job());
                    d.writeLong(c.revision());
                });
            }
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        return bytes.toByteArray();
    }

    public static Envelope decode(byte[] record) {
        try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(record))) {
            int version = in.readByte();
            if (version != VERSION && version != PREVIOUS_VERSION) {
                throw new InvalidInputException("peer record of version " + version);
            }
            String member = in.readUTF();
            long incarnation = version == PREVIOUS_VERSION ? 0 : in.readLong();
            PeerRecord r =
                    switch (in.readByte()) {
                        case 1 -> new Heartbeat(
                                in.readLong(),
                                in.readBoolean(),
                                list(in, d -> d.readLong()),
                                list(in, d -> d.readLong()),
                                list(in, PeerCodec::machine),
                                list(in, d -> d.readUTF()),
                                list(in, d -> d.readUTF()));
                        case 2 -> offer(in);
                        case 3 -> new OfferReply(
                                in.readLong(), list(in, d -> d.readUTF()), list(in, d -> d.readLong()));
                        case 4 -> new StopRequest(
                                in.readUTF(), in.readInt(), in.readLong(), in.readDouble(), in.readUTF());
                        case 5 -> new ReturnRequest(in.readUTF(), in.readBoolean());
                        case 6 -> new ReturnReply(in.readUTF(), in.readBoolean());
                        case 7 -> new AttemptOutcomes(list(
                                in,
                                d -> new AttemptOutcome(
                                        d.readUTF(),
                                        d.readInt(),
                                        d.readLong(),
                                        d.readUTF(),
                                        d.readInt(),
                                        d.readLong(),
                                        d.readByte())));
                        case 8 -> new WithdrawnOffer(list(in, PeerCodec::offeredTask));
                        case 9 -> new DroppedTasks(Math.max(0, in.readInt()));
                        case 10 -> new RevisionQuery(in.readLong(), in.readLong());
                        case 11 -> new RevisionReply(
                                in.readLong(),
                                in.readLong(),
                                in.readBoolean(),
                                in.readLong(),
                                in.readLong(),
                                list(in, d -> new Cancellation(d.readUTF(), d.readLong())));
                        default -> throw new InvalidInputException("peer record of unknown kind");
                    };
            if (in.available() > 0) {
                throw new InvalidInputException("peer record with bytes after its end");
            }
            return new Envelope(member, incarnation, r);
        } catch (IOException e) {
            throw new InvalidInputException("peer record cut off");
        }
    }

    private static Offer offer(DataInputStream in) throws IOException {
        long id = in.readLong();
        int flags = in.readByte();
        return new Offer(
                id,
                (flags & FLAG_ALL_OR_NOTHING) != 0,
                (flags & FLAG_WITH_PREEMPTION) != 0,
                list(in, PeerCodec::offeredTask));
    }

    private static void offeredTask(DataOutputStream out, OfferedTask i) throws IOException {
        out.writeUTF(i.job());
        out.writeInt(i.task());
        out.writeUTF(i.machine());
        out.writeLong(i.session());
    }

    private static OfferedTask offeredTask(DataInputStream in) throws IOException {
        return new OfferedTask(in.readUTF(), in.readInt(), in.readUTF(), in.readLong());
    }

    private static void machine(DataOutputStream out, Machine m) throws IOException {
        out.writeUTF(m.name());
        out.writeUTF(m.type());
        out.writeUTF(m.zone());
        out.writeBoolean(m.spot());
        out.writeLong(m.session());
        out.writeInt(m.shard());
        out.writeInt(m.flags());
        out.writeInt(m.silentMs());
        out.writeInt(m.idleMs());
        out.writeDouble(m.speed());
        out.writeDouble(m.unclaimedCpus());
        out.writeDouble(m.unclaimedGpus());
        out.writeDouble(m.unclaimedMemoryGb());
        list(out, m.fetchingImages(), DataOutputStream::writeUTF);
        list(out, m.fetchRemainingMs(), DataOutputStream::writeInt);
        list(out, m.images(), DataOutputStream::writeUTF);
        list(out, m.reservedTasks(), DataOutputStream::writeUTF);
    }

    private static Machine machine(DataInputStream in) throws IOException {
        return new Machine(
                in.readUTF(),
                in.readUTF(),
                in.readUTF(),
                in.readBoolean(),
                in.readLong(),
                in.readInt(),
                in.readInt(),
                in.readInt(),
                in.readInt(),
                in.readDouble(),
                in.readDouble(),
                in.readDouble(),
                in.readDouble(),
                list(in, d -> d.readUTF()),
                list(in, d -> d.readInt()),
                list(in, d -> d.readUTF()),
                list(in, d -> d.readUTF()));
    }

    private static <T> void list(DataOutputStream out, List<T> l, Writer<? super T> w) throws IOException {
        out.writeInt(l.size());
        for (T t : l) {
            w.write(out, t);
        }
    }

    private static <T> List<T> list(DataInputStream in, Reader<T> r) throws IOException {
        int n = in.readInt();
        if (n < 0 || n > MAX_LIST_LENGTH || n > in.available()) {
            throw new InvalidInputException("peer record with a list of " + n);
        }
        List<T> l = new ArrayList<>(n);
        for (int i = 0; i < n; i++) {
            l.add(r.read(in));
        }
        return l;
    }
}
