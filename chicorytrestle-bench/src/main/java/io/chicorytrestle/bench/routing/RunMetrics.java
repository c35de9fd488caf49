package io.chicorytrestle.bench.routing;

import com.google.common.collect.Range;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.HdrHistogram.Histogram;

/** Collects what one run measured. It is confined to one thread. */
final class RunMetrics {

    /** The parts of one in which ratios are counted. */
    private static final double RATIO_SCALE = 1_000;

    /** The percentile that stands for the worst ordinary case. */
    private static final double PERCENTILE = 99;

    /** The tokens that earlier turns made reusable. */
    private long reusableTokens;

    /** The tokens that were reused. */
    private long reusedTokens;

    /** The admissions. */
    private long admissions;

    /** The admissions that broke the bound. */
    private long admissionsOverBound;

    /** The admissions that broke the bound with engines counted that nobody knows of yet. */
    private long admissionsOverStrictBound;

    /** The turns that ended whole. */
    private long completed;

    /** The turns that were refused as not run. */
    private long refused;

    /** The load of the busiest engine over the mean, in thousandths. */
    private final Histogram maxOverMean = new Histogram(2);

    /** The time until turns of workspaces that do not surge were started in milliseconds. */
    private final Histogram nonSurgingStartMillis = new Histogram(2);

    /** The requests in flight by workspace. */
    private final Map<String, Integer> inFlightByWorkspace = new HashMap<>();

    /** The most requests in flight by workspace. */
    private final Map<String, Integer> peakInFlightByWorkspace = new HashMap<>();

    /** The workspaces that surge. */
    private final Set<String> surgingWorkspaces;

    /** The time of the surge in milliseconds. */
    private final Range<Long> surgeMillis;

    /** The sum of the samples of the utilisation during the surge. */
    private double meanUtilisation;

    /** The number of these samples. */
    private long utilisationSamples;

    /** The time until turns were admitted in milliseconds. */
    private final Histogram admissionWaitMillis = new Histogram(2);

    /**
     * Creates new figures.
     *
     * @param surging The workspaces that surge.
     * @param surge The time of the surge in milliseconds.
     */
    RunMetrics(Set<String> surging, Range<Long> surge) {
        this.surgingWorkspaces = Set.copyOf(surging);
        this.surgeMillis = surge;
    }

    /**
     * Takes note of a turn that an engine started.
     *
     * @param turn The turn.
     * @param atMillis The time in milliseconds.
     */
    void onStarted(Turn turn, long atMillis) {
        if (!surgingWorkspaces.contains(turn.chat().workspace()) && surgeMillis.contains(turn.atMillis())) {
            nonSurgingStartMillis.recordValue(Math.max(0, atMillis - turn.atMillis()));
        }
    }

    /**
     * Takes note of a turn that left its engine.
     *
     * @param turn The turn.
     */
    void onEnded(Turn turn) {
        inFlightByWorkspace.merge(turn.chat().workspace(), -1, Integer::sum);
    }

    /**
     * Takes note of the utilisation.
     *
     * @param share The share of the slots that are in use.
     * @param nowMillis The present time in milliseconds.
     */
    void onUtilisation(double share, long nowMillis) {
        if (surgeMillis.contains(nowMillis)) {
            meanUtilisation += share;
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
     * Returns how far a workspace went above a ceiling.
     *
     * @param ceilingRequests The ceiling of each workspace in requests.
     * @return The most requests above the ceiling, or zero.
     */
    int ceilingExcess(int ceilingRequests) {
        return peakInFlightByWorkspace.values().stream()
                .mapToInt(most -> Math.max(0, most - ceilingRequests))
                .max()
                .orElse(0);
    }

    /**
     * Returns the mean share of slots in use during the surge.
     *
     * @return The share.
     */
    double meanUtilisation() {
        return utilisationSamples == 0 ? 0 : meanUtilisation / utilisationSamples;
    }

    /**
     * Takes note of a turn that ended whole.
     *
     * @param turn The turn.
     * @param cachedTokens The tokens of its prompt that were served from the cache.
     */
    void onCompleted(Turn turn, int cachedTokens) {
        completed++;
        reusableTokens += turn.reusableTokens();
        reusedTokens += Math.min(cachedTokens, turn.reusableTokens());
    }

    /** Takes note of a turn that was refused. */
    void onRefused() {
        refused++;
    }

    /**
     * Takes note of an admission.
     *
     * @param turn The turn.
     * @param overBound Whether it broke the bound.
     * @param strictlyOver Whether it broke the bound with engines that nobody knows of yet.
     * @param waitedMillis The time since the turn arrived in milliseconds.
     */
    void onAdmitted(Turn turn, boolean overBound, boolean strictlyOver, long waitedMillis) {
        String workspace = turn.chat().workspace();
        int inFlight = inFlightByWorkspace.merge(workspace, 1, Integer::sum);
        peakInFlightByWorkspace.merge(workspace, inFlight, Math::max);
        admissions++;
        admissionsOverBound += overBound ? 1 : 0;
        admissionsOverStrictBound += strictlyOver ? 1 : 0;
        admissionWaitMillis.recordValue(waitedMillis);
    }

    /**
     * Takes note of the load of the busiest engine.
     *
     * @param ratio The load over the mean load.
     */
    void onMaxOverMeanSample(double ratio) {
        maxOverMean.recordValue(Math.round(ratio * RATIO_SCALE));
    }

    /**
     * Returns the tokens reused over the tokens that were reusable.
     *
     * @return The ratio.
     */
    double reuseRatio() {
        return reusableTokens == 0 ? 0 : (double) reusedTokens / reusableTokens;
    }

    /**
     * Returns the load of the busiest engine over the mean.
     *
     * @return The 99th percentile over time.
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
     * Returns the admissions.
     *
     * @return The number of admissions.
     */
    long admissions() {
        return admissions;
    }

    /**
     * Returns the admissions that broke the bound.
     *
     * @return The number of admissions.
     */
    long admissionsOverBound() {
        return admissionsOverBound;
    }

    /**
     * Returns the admissions that broke the bound with engines counted from their start on, which
     * nobody may know of yet.
     *
     * @return The number of admissions.
     */
    long admissionsOverStrictBound() {
        return admissionsOverStrictBound;
    }

    /**
     * Returns the turns that ended whole.
     *
     * @return The number of turns.
     */
    long completed() {
        return completed;
    }

    /**
     * Returns the turns that were refused as not run.
     *
     * @return The number of turns.
     */
    long refused() {
        return refused;
    }
}
