package birchusher.placement;

/**
 * How much work comes in, in machines' worth of tasks. Room that frees soon is no room for what waits now if as much new
 * work will come for it meanwhile: counting it once kept hundreds of tasks waiting for minutes, always "soon" placed.
 */
public final class Demand {
    private static final double MEMORY_MS = 60_000;
    private double sum;
    private long at;

    /** Work of so many machines' worth that was accepted so long ago. */
    public void arrived(double machines, double ageMs, long now) {
        decay(now);
        sum += machines * Math.exp(-Math.max(0, ageMs) / MEMORY_MS);
    }

    /** What is to be expected to come within so many ms. */
    public double within(double ms, long now) {
        decay(now);
        return sum / MEMORY_MS * ms;
    }

    private void decay(long now) {
        sum *= Math.exp((at - now) / MEMORY_MS);
        at = now;
    }
}
