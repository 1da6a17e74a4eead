package birchusher.cloud;

import birchusher.core.Effect.Destination;
import birchusher.core.Effects;
import birchusher.core.TokenBucket;
import birchusher.settings.Settings;

/** Client of the cloud's HTTP interface that keeps its calls within the cloud's request limit. Not thread-safe. */
public final class CloudClient {
    private static final int TIMEOUT_MS = 4_000;
    /** The part of the cloud's request limit that this controller uses. */
    private static final double REQUEST_SHARE = 0.6;
    /** Pause of all calls after the cloud has refused one for now. */
    private static final long REFUSAL_PAUSE_MS = 700;

    private final Effects effects;
    private final String address;
    private final TokenBucket rateLimit;

    /** Creates a client with the cloud's address and request limit from the settings. */
    public CloudClient(Effects effects, Settings settings) {
        this.effects = effects;
        address = settings.cloudAddress().toString();
        rateLimit = new TokenBucket(settings.cloudRequestsPerS() * REQUEST_SHARE, settings.cloudRequestsPerS());
    }

    /**
     * Calls the cloud unless the request limit forbids it.
     *
     * @param body the request's body; null: none
     * @return whether the call was made; if not, the caller has to try again later
     */
    public boolean call(String method, String path, Object body, Effects.ReplyHandler reply) {
        if (!rateLimit.tryTake(effects.now(), 1)) {
            return false;
        }
        effects.call(Destination.CLOUD, address, method, path, body, TIMEOUT_MS, (status, fields) -> {
            if (status == 429 || status == 503 && "trouble".equals(fields.get("error"))) {
                rateLimit.block(effects.now(), effects.now() + REFUSAL_PAUSE_MS);
            }
            reply.onReply(status, fields);
        });
        return true;
    }
}
