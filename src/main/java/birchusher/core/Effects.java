package birchusher.core;

import it.unimi.dsi.fastutil.longs.Long2ObjectOpenHashMap;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * The core's clock and output: holds the time of the current step, collects its effects, and passes the replies to
 * calls on to their handlers. Not thread-safe.
 */
public final class Effects {
    /** Handles the reply to a call. */
    public interface ReplyHandler {
        /**
         * Called at most once for each call.
         *
         * @param status the HTTP status; 0: no reply came, and the request may or may not have been carried out
         * @param body the decoded body, empty if there is none
         */
        void onReply(int status, Map<String, Object> body);
    }

    private final Long2ObjectOpenHashMap<ReplyHandler> pendingCalls = new Long2ObjectOpenHashMap<>();
    private List<Effect> pendingEffects = new ArrayList<>();
    private long nextId = 1;
    private long now;
    private long wallTime;

    /** Returns the steady time of the current step in ms. */
    public long now() {
        return now;
    }

    /** Returns the time of day in ms, only as accurate as the clock bound in the settings. */
    public long wallTime() {
        return wallTime;
    }

    /** Sets the time of a step. The steady time does not go back: a lower one is ignored. */
    public void setTime(long steadyMs, long wallMs) {
        now = Math.max(now, steadyMs);
        wallTime = wallMs;
    }

    /** Answers an HTTP request. */
    public void answer(long exchange, int status, Map<String, ?> body) {
        pendingEffects.add(new Effect.Answer(exchange, status, body, 0));
    }

    /** Refuses an HTTP request with a Retry-After header of that many seconds. */
    public void refuseWithRetry(long exchange, int status, int seconds) {
        pendingEffects.add(new Effect.Answer(exchange, status, Map.of("error", "later"), seconds));
    }

    /** Calls another process over HTTP; the handler gets its reply. */
    public void call(
            Effect.Destination destination,
            String address,
            String method,
            String path,
            Object body,
            int timeoutMs,
            ReplyHandler handler) {
        long id = nextId++;
        pendingCalls.put(id, handler);
        pendingEffects.add(new Effect.Call(id, destination, address, method, path, body, timeoutMs));
    }

    /** Sends a record to another controller, given by its member index. It may be lost. */
    public void send(int peer, byte[] record) {
        pendingEffects.add(new Effect.Send(peer, record));
    }

    /** Passes the reply to a call on to its handler; unknown calls are ignored. */
    public void completeCall(long id, int status, Map<String, Object> body) {
        ReplyHandler handler = pendingCalls.remove(id);
        if (handler != null) {
            handler.onReply(status, body == null ? Map.of() : body);
        }
    }

    /** Returns the effects collected since the last call, in order, and removes them. */
    public List<Effect> drain() {
        if (pendingEffects.isEmpty()) {
            return List.of();
        }
        List<Effect> drained = pendingEffects;
        pendingEffects = new ArrayList<>();
        return drained;
    }
}
