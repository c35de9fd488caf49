package io.chicorytrestle.bench.routing;

import com.google.common.collect.Range;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.HdrHistogram.Histogram;

/** Collects the measurements of one run. Confined to one thread. */
final class RunMetrics {

    /** The factor by which ratios are multiplied to record them as integers. */
    private static final double RATIO_SCALE = 1_000;

    /** The percentile that is reported. */
    private static final double PERCENTILE = 99;

    /** The prompt tokens of completed turns that earlier turns of their chats had computed. */
    private long reusableTokens;

    /** The tokens among them that were served from a cache. */
    private long reusedTokens;

    /** The number of admissions that the engines accepted. */
    private long admissions;

    /** The number of admissions above the load bound. */
    private long admissionsOverBound;

    /** The number of admissions above the bound if engines that no router knows yet count, too. */
    private long admissionsOverStrictBound;

    /** The number of turns that completed. */
    private long completed;

    /** The number of turns that were refused without having run. */
    private long refused;

    /** The load of the busiest engine divided by the mean load, in thousandths. */
    private final Histogram maxOverMean = new Histogram(2);

    /** The time until turns of workspaces that do not surge were started, in milliseconds. */
    private final Histogram nonSurgingStartMillis = new Histogram(2);

    /** The requests in flight by workspace. */
    private final Map<String, Integer> inFlightByWorkspace = new HashMap<>();

    /** The highest number of requests in flight at the same time by workspace. */
    private final Map<String, Integer> peakInFlightByWorkspace = new HashMap<>();

    /** The workspaces that surge, whose waits are left out. */
    private final Set<String> surgingWorkspaces;

    /** The period of the surge, in milliseconds of virtual time. */
    private final Range<Long> surgeMillis;

    /** The sum of the utilisation samples during the surge. */
    private double utilisationSum;

    /** The number of utilisation samples during the surge. */
    private long utilisationSamples;

    /** The time until turns were admitted, in milliseconds. */
    private final Histogram admissionWaitMillis = new Histogram(2);

    /**
     * Creates empty metrics.
     *
     * @param surging The workspaces that surge.
     * @param surge The period of the surge, in milliseconds of virtual time.
     */
    RunMetrics(Set<String> surging, Range<Long> surge) {
        this.surgingWorkspaces = Set.copyOf(surging);
        this.surgeMillis = surge;
    }

    /**
     * Records that an engine started a turn.
     *
     * @param turn The turn.
     * @param atMillis The time in milliseconds.
     */
    void onStarted(Turn turn, long atMillis) {
        if (!surgingWorkspaces.contains(turn.chat().workspace())
                && surgeMillis.contains(turn.atMillis())) {
            nonSurgingStartMillis.recordValue(Math.max(0, atMillis - turn.atMillis()));
        }
    }

    /**
     * Records that a turn ended on its engine, completed or not.
     *
     * @param turn The turn.
     */
    void onEnded(Turn turn) {
        inFlightByWorkspace.merge(turn.chat().workspace(), -1, Integer::sum);
    }

    /**
     * Records a utilisation sample.
     *
     * @param share The share of slots in use, from 0 to 1.
     * @param nowMillis The present time in milliseconds.
     */
    void onUtilisation(double share, long nowMillis) {
        if (surgeMillis.contains(nowMillis)) {
            utilisationSum += share;
            utilisationSamples++;
        }
    }

    /**
     * Returns the time until turns of workspaces that do not surge were started.
     *
     * @return The 99th percentile in milliseconds during the surge.
     */
    long nonSurgingStartMillis() {
        return nonSurgingStartMillis.getValueAtPercentile(PERCENTILE);
    }

    /**
     * Returns by how much any workspace exceeded a ceiling.
     *
     * @param ceilingRequests The ceiling of each workspace in requests.
     * @return The maximum number of requests above the ceiling, or zero.
     */
    int ceilingExcess(int ceilingRequests) {
        return peakInFlightByWorkspace.values().stream()
                .mapToInt(peak -> Math.max(0, peak - ceilingRequests))
                .max()
                .orElse(0);
    }

    /**
     * Returns the mean share of slots in use during the surge.
     *
     * @return The share.
     */
    double meanUtilisation() {
        return utilisationSamples == 0 ? 0 : utilisationSum / utilisationSamples;
    }

    /**
     * Records that a turn completed.
     *
     * @param turn The turn.
     * @param cachedTokens The tokens of its prompt that were served from the cache.
     */
    void onCompleted(Turn turn, int cachedTokens) {
        completed++;
        reusableTokens += turn.reusableTokens();
        reusedTokens += Math.min(cachedTokens, turn.reusableTokens());
    }

    /** Records that a turn was refused. */
    void onRefused() {
        refused++;
    }

    /**
     * Records an admission that the engine accepted.
     *
     * @param turn The turn.
     * @param overBound Whether it exceeded the load bound.
     * @param overStrictBound Whether it exceeded the bound if engines that no router knows yet
     *     count, too.
     * @param waitedMillis The time since the turn arrived, in milliseconds.
     */
    void onAdmitted(Turn turn, boolean overBound, boolean overStrictBound, long waitedMillis) {
        String workspace = turn.chat().workspace();
        int inFlight = inFlightByWorkspace.merge(workspace, 1, Integer::sum);
        peakInFlightByWorkspace.merge(workspace, inFlight, Math::max);
        admissions++;
        admissionsOverBound += overBound ? 1 : 0;
        admissionsOverStrictBound += overStrictBound ? 1 : 0;
        admissionWaitMillis.recordValue(waitedMillis);
    }

    /**
     * Records a sample of the load of the busiest engine.
     *
     * @param ratio The load divided by the mean load.
     */
    void onMaxOverMeanSample(double ratio) {
        maxOverMean.recordValue(Math.round(ratio * RATIO_SCALE));
    }

    /**
     * Returns the share of reusable tokens that were served from a cache.
     *
     * @return The ratio, or zero if no token was reusable.
     */
    double reuseRatio() {
        return reusableTokens == 0 ? 0 : (double) reusedTokens / reusableTokens;
    }

    /**
     * Returns the load of the busiest engine divided by the mean load.
     *
     * @return The 99th percentile of the samples.
     */
    double maxOverMean() {
        return maxOverMean.getValueAtPercentile(PERCENTILE) / RATIO_SCALE;
    }

    /**
     * Returns the time until turns were admitted.
     *
     * @return The 99th percentile in milliseconds.
     */
    long admissionWaitMillis() {
        return admissionWaitMillis.getValueAtPercentile(PERCENTILE);
    }

    /**
     * Returns the number of admissions that the engines accepted.
     *
     * @return The number of admissions.
     */
    long admissions() {
        return admissions;
    }

    /**
     * Returns the number of admissions above the load bound.
     *
     * @return The number of admissions.
     */
    long admissionsOverBound() {
        return admissionsOverBound;
    }

    /**
     * Returns the number of admissions above the bound if engines count from their start on, before
     * any router may know of them.
     *
     * @return The number of admissions.
     */
    long admissionsOverStrictBound() {
        return admissionsOverStrictBound;
    }

    /**
     * Returns the number of turns that completed.
     *
     * @return The number of turns.
     */
    long completed() {
        return completed;
    }

    /**
     * Returns the number of turns that were refused without having run.
     *
     * @return The number of turns.
     */
    long refused() {
        return refused;
    }
}
