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

/**
 * Binary form of the {@link PeerRecord}s: version (1 byte), name of the sending member, its incarnation, kind of record (1 byte), then the
 * fields in order, all as {@link DataOutputStream} writes them. The connection puts the length of the record before it.
 */
public final class PeerCodec {
    public static final int VERSION = 3;
    /** The previous version, without the sender's incarnation. Still read, so that controllers can be upgraded one at a time. */
    private static final int PREVIOUS_VERSION = 2;

    /** Longest record that is sent or accepted. */
    public static final int MAX_RECORD_BYTES = 512 * 1024;

    private static final int MAX_LIST_LENGTH = 20_000;
    private static final int FLAG_ALL_OR_NOTHING = 1;
    private static final int FLAG_WITH_PREEMPTION = 2;

    /** A record with the member that sent it, and the member's incarnation; 0: unknown, from the previous version. */
    public record Envelope(String member, long incarnation, PeerRecord record) {}

    private interface Writer<T> {
        void write(DataOutputStream out, T value) throws IOException;
    }

    private interface Reader<T> {
        T read(DataInputStream in) throws IOException;
    }

    private PeerCodec() {}

    /** Encodes a record of a member's incarnation. */
    public static byte[] encode(String member, long incarnation, PeerRecord record) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(256);
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            out.writeByte(VERSION);
            out.writeUTF(member);
            out.writeLong(incarnation);
            if (record instanceof Heartbeat heartbeat) {
                out.writeByte(1);
                out.writeLong(heartbeat.incarnation());
                out.writeBoolean(heartbeat.storeHealthy());
                writeList(out, heartbeat.seenTerms(), DataOutputStream::writeLong);
                writeList(out, heartbeat.ownedTerms(), DataOutputStream::writeLong);
                writeList(out, heartbeat.machines(), PeerCodec::writeMachine);
                writeList(out, heartbeat.withdrawnMachines(), DataOutputStream::writeUTF);
                writeList(out, heartbeat.deletedMachines(), DataOutputStream::writeUTF);
            } else if (record instanceof Offer offer) {
                out.writeByte(2);
                out.writeLong(offer.id());
                // One byte, like the boolean "all or nothing" of the previous version, which reads any flag as true and
                // refuses tasks for which there is no free capacity.
                out.writeByte((offer.allOrNothing() ? FLAG_ALL_OR_NOTHING : 0)
                        | (offer.withPreemption() ? FLAG_WITH_PREEMPTION : 0));
                writeList(out, offer.tasks(), PeerCodec::writeOfferedTask);
            } else if (record instanceof OfferReply reply) {
                out.writeByte(3);
                out.writeLong(reply.id());
                writeList(out, reply.refusals(), DataOutputStream::writeUTF);
                writeList(out, reply.terms(), DataOutputStream::writeLong);
            } else if (record instanceof StopRequest stop) {
                out.writeByte(4);
                out.writeUTF(stop.job());
                out.writeInt(stop.task());
                out.writeLong(stop.attempt());
                out.writeDouble(stop.graceS());
                out.writeUTF(stop.reason());
            } else if (record instanceof ReturnRequest request) {
                out.writeByte(5);
                out.writeUTF(request.machine());
                out.writeBoolean(request.withTasks());
            } else if (record instanceof ReturnReply reply) {
                out.writeByte(6);
                out.writeUTF(reply.machine());
                out.writeBoolean(reply.agreed());
            } else if (record instanceof AttemptOutcomes outcomes) {
                out.writeByte(7);
                writeList(out, outcomes.outcomes(), (data, outcome) -> {
                    data.writeUTF(outcome.job());
                    data.writeInt(outcome.task());
                    data.writeLong(outcome.attempt());
                    data.writeUTF(outcome.machine());
                    data.writeInt(outcome.shard());
                    data.writeLong(outcome.term());
                    data.writeByte(outcome.outcomeOrdinal());
                });
            } else if (record instanceof WithdrawnOffer withdrawn) {
                out.writeByte(8);
                writeList(out, withdrawn.tasks(), PeerCodec::writeOfferedTask);
            } else if (record instanceof DroppedTasks dropped) {
                out.writeByte(9);
                out.writeInt(dropped.count());
            } else if (record instanceof RevisionQuery query) {
                out.writeByte(10);
                out.writeLong(query.sentAtMs());
                out.writeLong(query.appliedRevision());
            } else if (record instanceof RevisionReply reply) {
                out.writeByte(11);
                out.writeLong(reply.querySentAtMs());
                out.writeLong(reply.querierIncarnation());
                out.writeBoolean(reply.storeHealthy());
                out.writeLong(reply.knownRevision());
                out.writeLong(reply.sinceRevision());
                writeList(out, reply.cancellations(), (data, cancellation) -> {
                    data.writeUTF(cancellation.job());
                    data.writeLong(cancellation.revision());
                });
            }
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        return bytes.toByteArray();
    }

    /** Decodes a record; throws {@link InvalidInputException} if it is of an unknown version or kind, truncated or otherwise malformed. */
    public static Envelope decode(byte[] bytes) {
        try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes))) {
            int version = in.readByte();
            if (version != VERSION && version != PREVIOUS_VERSION) {
                throw new InvalidInputException("peer record: unsupported version " + version);
            }
            String member = in.readUTF();
            long incarnation = version == PREVIOUS_VERSION ? 0 : in.readLong();
            PeerRecord decoded =
                    switch (in.readByte()) {
                        case 1 -> new Heartbeat(
                                in.readLong(),
                                in.readBoolean(),
                                readList(in, data -> data.readLong()),
                                readList(in, data -> data.readLong()),
                                readList(in, PeerCodec::readMachine),
                                readList(in, data -> data.readUTF()),
                                readList(in, data -> data.readUTF()));
                        case 2 -> readOffer(in);
                        case 3 -> new OfferReply(
                                in.readLong(),
                                readList(in, data -> data.readUTF()),
                                readList(in, data -> data.readLong()));
                        case 4 -> new StopRequest(
                                in.readUTF(), in.readInt(), in.readLong(), in.readDouble(), in.readUTF());
                        case 5 -> new ReturnRequest(in.readUTF(), in.readBoolean());
                        case 6 -> new ReturnReply(in.readUTF(), in.readBoolean());
                        case 7 -> new AttemptOutcomes(readList(
                                in,
                                data -> new AttemptOutcome(
                                        data.readUTF(),
                                        data.readInt(),
                                        data.readLong(),
                                        data.readUTF(),
                                        data.readInt(),
                                        data.readLong(),
                                        data.readByte())));
                        case 8 -> new WithdrawnOffer(readList(in, PeerCodec::readOfferedTask));
                        case 9 -> new DroppedTasks(Math.max(0, in.readInt()));
                        case 10 -> new RevisionQuery(in.readLong(), in.readLong());
                        case 11 -> new RevisionReply(
                                in.readLong(),
                                in.readLong(),
                                in.readBoolean(),
                                in.readLong(),
                                in.readLong(),
                                readList(in, data -> new Cancellation(data.readUTF(), data.readLong())));
                        default -> throw new InvalidInputException("peer record: unknown kind");
                    };
            if (in.available() > 0) {
                throw new InvalidInputException("peer record: bytes after its end");
            }
            return new Envelope(member, incarnation, decoded);
        } catch (IOException e) {
            throw new InvalidInputException("peer record cut off");
        }
    }

    private static Offer readOffer(DataInputStream in) throws IOException {
        long id = in.readLong();
        int flags = in.readByte();
        return new Offer(
                id,
                (flags & FLAG_ALL_OR_NOTHING) != 0,
                (flags & FLAG_WITH_PREEMPTION) != 0,
                readList(in, PeerCodec::readOfferedTask));
    }

    private static void writeOfferedTask(DataOutputStream out, OfferedTask task) throws IOException {
        out.writeUTF(task.job());
        out.writeInt(task.task());
        out.writeUTF(task.machine());
        out.writeLong(task.session());
    }

    private static OfferedTask readOfferedTask(DataInputStream in) throws IOException {
        return new OfferedTask(in.readUTF(), in.readInt(), in.readUTF(), in.readLong());
    }

    private static void writeMachine(DataOutputStream out, Machine machine) throws IOException {
        out.writeUTF(machine.name());
        out.writeUTF(machine.type());
        out.writeUTF(machine.zone());
        out.writeBoolean(machine.spot());
        out.writeLong(machine.session());
        out.writeInt(machine.shard());
        out.writeInt(machine.flags());
        out.writeInt(machine.silentMs());
        out.writeInt(machine.idleMs());
        out.writeDouble(machine.speed());
        out.writeDouble(machine.unclaimedCpus());
        out.writeDouble(machine.unclaimedGpus());
        out.writeDouble(machine.unclaimedMemoryGb());
        writeList(out, machine.fetchingImages(), DataOutputStream::writeUTF);
        writeList(out, machine.fetchRemainingMs(), DataOutputStream::writeInt);
        writeList(out, machine.cachedImages(), DataOutputStream::writeUTF);
        writeList(out, machine.reservedTasks(), DataOutputStream::writeUTF);
    }

    private static Machine readMachine(DataInputStream in) throws IOException {
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
                readList(in, data -> data.readUTF()),
                readList(in, data -> data.readInt()),
                readList(in, data -> data.readUTF()),
                readList(in, data -> data.readUTF()));
    }

    private static <T> void writeList(DataOutputStream out, List<T> values, Writer<? super T> writer)
            throws IOException {
        out.writeInt(values.size());
        for (T value : values) {
            writer.write(out, value);
        }
    }

    private static <T> List<T> readList(DataInputStream in, Reader<T> reader) throws IOException {
        int size = in.readInt();
        if (size < 0 || size > MAX_LIST_LENGTH || size > in.available()) {
            throw new InvalidInputException("peer record: invalid list length " + size);
        }
        List<T> values = new ArrayList<>(size);
        for (int i = 0; i < size; i++) {
            values.add(reader.read(in));
        }
        return values;
    }
}
