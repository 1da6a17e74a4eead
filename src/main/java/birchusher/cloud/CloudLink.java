package birchusher.cloud;

import birchusher.core.Bucket;
import birchusher.core.Effect.Target;
import birchusher.core.Effects;
import birchusher.settings.Settings;

/** Calls to the cloud, within its request limit. */
public final class CloudLink {
    private static final int TIMEOUT_MS = 4_000;
    private final Effects effects;
    private final String address;
    private final Bucket bucket;

    public CloudLink(Effects effects, Settings s) {
        this.effects = effects;
        address = s.cloud().toString();
        bucket = new Bucket(s.cloudRps() * 0.6, s.cloudRps());
    }

    /** False when the budget does not allow the call now; the caller tries again later. */
    public boolean call(String method, String path, Object body, Effects.Reply reply) {
        if (!bucket.take(effects.now(), 1)) {
            return false;
        }
        effects.call(Target.CLOUD, address, method, path, body, TIMEOUT_MS, (status, m) -> {
            if (status == 429 || status == 503 && "trouble".equals(m.get("error"))) {
                bucket.block(effects.now(), effects.now() + 700);
            }
            reply.got(status, m);
        });
        return true;
    }
}
