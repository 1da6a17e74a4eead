package birchusher.core;

import it.unimi.dsi.fastutil.longs.Long2ObjectOpenHashMap;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Collects what one step of the core decided, and keeps who waits for which answer. */
public final class Effects {
    /** What to do when an answer comes. Status 0 means that none came: the request may or may not be carried out. */
    public interface ReplyHandler {
        void onReply(int status, Map<String, Object> body);
    }

    private final Long2ObjectOpenHashMap<ReplyHandler> pendingCalls = new Long2ObjectOpenHashMap<>();
    private List<Effect> pendingEffects = new ArrayList<>();
    private long nextId = 1;
    private long now;
    private long wallTime;

    /** Steady time in milliseconds. */
    public long now() {
        return now;
    }

    /** Time of day in milliseconds, only as good as the settings' clock bound. */
    public long wallTime() {
        return wallTime;
    }

    public void setTime(long steadyMs, long wallMs) {
        now = Math.max(now, steadyMs);
        wallTime = wallMs;
    }

    public void answer(long exchange, int status, Map<String, ?> body) {
        pendingEffects.add(new Effect.Answer(exchange, status, body, 0));
    }

    /** Refuses for now, saying when to come back. */
    public void refuseWithRetry(long exchange, int status, int seconds) {
        pendingEffects.add(new Effect.Answer(exchange, status, Map.of("error", "later"), seconds));
    }

    public void call(
            Effect.Destination target,
            String address,
            String method,
            String path,
            Object body,
            int timeoutMs,
            ReplyHandler reply) {
        long id = nextId++;
        pendingCalls.put(id, reply);
        pendingEffects.add(new Effect.Call(id, target, address, method, path, body, timeoutMs));
    }

    public void send(int peer, byte[] record) {
        pendingEffects.add(new Effect.Send(peer, record));
    }

    public void completeCall(long id, int status, Map<String, Object> body) {
        ReplyHandler reply = pendingCalls.remove(id);
        if (reply != null) {
            reply.onReply(status, body == null ? Map.of() : body);
        }
    }

    public List<Effect> drain() {
        if (pendingEffects.isEmpty()) {
            return List.of();
        }
        List<Effect> all = pendingEffects;
        pendingEffects = new ArrayList<>();
        return all;
    }
}
