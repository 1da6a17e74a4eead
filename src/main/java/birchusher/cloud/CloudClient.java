package birchusher.cloud;

import birchusher.core.Effect.Destination;
import birchusher.core.Effects;
import birchusher.core.TokenBucket;
import birchusher.settings.Settings;

/** Calls to the cloud, within its request limit. */
public final class CloudClient {
    private static final int TIMEOUT_MS = 4_000;
    private final Effects effects;
    private final String address;
    private final TokenBucket rateLimit;

    public CloudClient(Effects effects, Settings s) {
        this.effects = effects;
        address = s.cloud().toString();
        rateLimit = new TokenBucket(s.cloudRps() * 0.6, s.cloudRps());
    }

    /** False when the budget does not allow the call now; the caller tries again later. */
    public boolean call(String method, String path, Object body, Effects.ReplyHandler reply) {
        if (!rateLimit.tryTake(effects.now(), 1)) {
            return false;
        }
        effects.call(Destination.CLOUD, address, method, path, body, TIMEOUT_MS, (status, m) -> {
            if (status == 429 || status == 503 && "trouble".equals(m.get("error"))) {
                rateLimit.block(effects.now(), effects.now() + 700);
            }
            reply.onReply(status, m);
        });
        return true;
    }
}
