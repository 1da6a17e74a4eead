package birchusher.core;

import it.unimi.dsi.fastutil.longs.Long2ObjectOpenHashMap;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Collects what one step of the core decided, and keeps who waits for which answer. */
public final class Effects {
    /** What to do when an answer comes. Status 0 means that none came: the request may or may not be carried out. */
    public interface Reply {
        void got(int status, Map<String, Object> body);
    }

    private final Long2ObjectOpenHashMap<Reply> waiting = new Long2ObjectOpenHashMap<>();
    private List<Effect> out = new ArrayList<>();
    private long nextId = 1;
    private long now;
    private long wall;

    /** Steady time in milliseconds. */
    public long now() {
        return now;
    }

    /** Time of day in milliseconds, only as good as the settings' clock bound. */
    public long wall() {
        return wall;
    }

    public void time(long steadyMs, long wallMs) {
        now = Math.max(now, steadyMs);
        wall = wallMs;
    }

    public void answer(long exchange, int status, Map<String, ?> body) {
        out.add(new Effect.Answer(exchange, status, body, 0));
    }

    /** Refuses for now, saying when to come back. */
    public void later(long exchange, int status, int seconds) {
        out.add(new Effect.Answer(exchange, status, Map.of("error", "later"), seconds));
    }

    public void call(
            Effect.Target target, String address, String method, String path, Object body, int timeoutMs, Reply reply) {
        long id = nextId++;
        waiting.put(id, reply);
        out.add(new Effect.Call(id, target, address, method, path, body, timeoutMs));
    }

    public void send(int peer, byte[] record) {
        out.add(new Effect.Send(peer, record));
    }

    public void reply(long id, int status, Map<String, Object> body) {
        Reply reply = waiting.remove(id);
        if (reply != null) {
            reply.got(status, body == null ? Map.of() : body);
        }
    }

    public List<Effect> drain() {
        if (out.isEmpty()) {
            return List.of();
        }
        List<Effect> all = out;
        out = new ArrayList<>();
        return all;
    }
}
