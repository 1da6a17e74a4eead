package birchusher.wal;

import java.io.ByteArrayInputStream;
import java.io.FileNotFoundException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.IdentityHashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * A directory in memory that knows what is durable. One chosen call ends the process or fails, after a chosen part of it;
 * {@link #killed} is what is found then, {@link #powerCut} drops what was not synced, each piece on its own.
 */
public final class FaultDisk implements Disk {
    /** The process ended in the middle of a call. */
    public static final class Ended extends RuntimeException {
        private static final long serialVersionUID = 1;

        Ended() {
            super(null, null, false, false);
        }
    }

    /** What the disk does wrong. */
    public enum Lie {
        NONE,
        FILE_SYNCS,
        NAME_SYNCS
    }

    private record Piece(long offset, byte[] bytes, boolean cut) {}

    private static final class Node {
        byte[] durable = {};
        byte[] now = {};
        final List<Piece> pieces = new ArrayList<>();

        Node copy() {
            Node n = new Node();
            n.durable = durable.clone();
            n.now = now.clone();
            n.pieces.addAll(pieces);
            return n;
        }
    }

    private record Naming(String gone, String name, Node node) {}

    private final Map<String, Node> durableNames = new LinkedHashMap<>();
    private final Map<String, Node> names = new LinkedHashMap<>();
    private final List<Naming> namings = new ArrayList<>();
    private final Lie lie;
    /** Calls that change something, so far. */
    int calls;
    /** The bytes of the write that the fault fell on, 0 if it was another call. */
    int hit;

    private int faultAt = -1;
    private int part;
    private boolean fails;
    private int failing = 1;

    public FaultDisk(Lie lie) {
        this.lie = lie;
    }

    /** Ends the process in that call, a write after so many of its bytes; other calls are done if {@code part} is not 0. */
    public FaultDisk endAt(int call, int afterBytes) {
        faultAt = call;
        part = afterBytes;
        return this;
    }

    /** That call and those after it, {@code count} in all, throw. */
    public FaultDisk failAt(int call, int afterBytes, int count) {
        fails = true;
        failing = count;
        return endAt(call, afterBytes);
    }

    /** As a killed process leaves it: all that was done is there, and no more of it durable than before. */
    public FaultDisk killed() {
        FaultDisk d = new FaultDisk(lie);
        Map<Node, Node> copies = new IdentityHashMap<>();
        names.forEach((name, n) -> d.names.put(name, copies.computeIfAbsent(n, Node::copy)));
        durableNames.forEach((name, n) -> d.durableNames.put(name, copies.computeIfAbsent(n, Node::copy)));
        namings.forEach(n -> d.namings.add(
                new Naming(n.gone, n.name, n.node == null ? null : copies.computeIfAbsent(n.node, Node::copy))));
        return d;
    }

    /** As a power cut leaves it. */
    public FaultDisk powerCut(SplittableRandom r) {
        Map<String, Node> left = new LinkedHashMap<>(durableNames);
        for (Naming n : namings) {
            if (r.nextBoolean()) {
                if (n.gone != null) {
                    left.remove(n.gone);
                }
                if (n.name != null) {
                    left.put(n.name, n.node);
                }
            }
        }
        FaultDisk d = new FaultDisk(lie);
        left.forEach((name, node) -> {
            Node n = new Node();
            n.now = node.durable;
            for (Piece p : node.pieces) {
                int kept =
                        switch (r.nextInt(3)) {
                            case 0 -> 0;
                            case 1 -> p.cut ? 1 : r.nextInt(p.bytes.length + 1);
                            default -> p.cut ? 1 : p.bytes.length;
                        };
                if (kept > 0) {
                    n.now = p.cut ? Arrays.copyOf(n.now, (int) p.offset) : put(n.now, p.offset, p.bytes, kept);
                }
            }
            n.durable = n.now.clone();
            d.names.put(name, n);
            d.durableNames.put(name, n);
        });
        return d;
    }

    /** Flips one bit of a durable file. */
    void flip(String name, int offset) {
        names.get(name).now[offset] ^= 0x10;
    }

    private static byte[] put(byte[] to, long offset, byte[] bytes, int count) {
        byte[] b = Arrays.copyOf(to, (int) Math.max(to.length, offset + count));
        System.arraycopy(bytes, 0, b, (int) offset, count);
        return b;
    }

    private interface Doing {
        void run(int part);
    }

    /** Counts a call and lets the fault fall on it: all of it is 1 or its bytes. */
    private void call(int all, Doing doing) throws IOException {
        int c = calls++;
        if (faultAt < 0 || c < faultAt || c >= faultAt + failing) {
            doing.run(all);
            return;
        }
        hit = c == faultAt && all > 1 ? all : hit;
        doing.run(Math.min(part, all));
        if (fails) {
            throw new IOException("no space left, says the test");
        }
        throw new Ended();
    }

    @Override
    public List<String> names() {
        return List.copyOf(names.keySet());
    }

    private Node node(String name) throws IOException {
        Node n = names.get(name);
        if (n == null) {
            throw new FileNotFoundException(name);
        }
        return n;
    }

    long size(String name) throws IOException {
        return node(name).now.length;
    }

    @Override
    public InputStream read(String name) throws IOException {
        return new ByteArrayInputStream(node(name).now);
    }

    @Override
    public Out create(String name) throws IOException {
        Node old = names.get(name);
        Node[] made = {old};
        call(1, part -> {
            if (part > 0 && old == null) {
                made[0] = new Node();
                names.put(name, made[0]);
                namings.add(new Naming(null, name, made[0]));
            } else if (part > 0) {
                cut(old, 0);
            }
        });
        return new File(made[0]);
    }

    private static void cut(Node n, long length) {
        n.now = Arrays.copyOf(n.now, (int) length);
        n.pieces.add(new Piece(length, null, true));
    }

    @Override
    public Out append(String name) throws IOException {
        return new File(node(name));
    }

    private void naming(Naming n) throws IOException {
        call(1, part -> {
            if (part > 0) {
                names.remove(n.gone);
                if (n.name != null) {
                    names.put(n.name, n.node);
                }
                namings.add(n);
            }
        });
    }

    @Override
    public void rename(String from, String to) throws IOException {
        naming(new Naming(from, to, node(from)));
    }

    @Override
    public void delete(String name) throws IOException {
        naming(new Naming(name, null, null));
    }

    @Override
    public void syncNames() throws IOException {
        call(1, part -> {
            if (part > 0 && lie != Lie.NAME_SYNCS) {
                durableNames.clear();
                durableNames.putAll(names);
                namings.clear();
            }
        });
    }

    @Override
    public void close() {}

    private final class File implements Out {
        private final Node node;

        File(Node node) {
            this.node = node;
        }

        @Override
        public void write(ByteBuffer bytes) throws IOException {
            byte[] b = new byte[bytes.remaining()];
            bytes.get(b);
            if (b.length == 0) {
                return;
            }
            call(b.length, part -> {
                if (part > 0) {
                    byte[] done = Arrays.copyOf(b, part);
                    node.pieces.add(new Piece(node.now.length, done, false));
                    node.now = put(node.now, node.now.length, done, part);
                }
            });
        }

        @Override
        public void sync() throws IOException {
            call(1, part -> {
                if (part > 0 && lie != Lie.FILE_SYNCS) {
                    node.durable = node.now.clone();
                    node.pieces.clear();
                }
            });
        }

        @Override
        public void cut(long length) throws IOException {
            call(1, part -> {
                if (part > 0) {
                    FaultDisk.cut(node, length);
                }
            });
        }

        @Override
        public long length() {
            return node.now.length;
        }

        @Override
        public void close() {}
    }
}
