package io.chicorytrestle.bench.routing;

import io.chicorytrestle.core.endpoint.Usage;
import io.chicorytrestle.core.identity.ChatKey;
import io.chicorytrestle.core.routing.LoadBound;
import io.chicorytrestle.core.routing.WorkOutcome;
import io.chicorytrestle.core.table.PoolRow;
import io.chicorytrestle.standin.virtual.VirtualScheduler;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Plays turns against the engines by one way of choosing them and checks each admission against the
 * truth. It is confined to one thread.
 */
final class TurnDriver {

    /** The attempts of a turn before it counts as refused. */
    private static final int MAXIMUM_ATTEMPTS = 6;

    /** The time between samples of the load in milliseconds. */
    private static final long LOAD_SAMPLE_INTERVAL_MILLIS = 100;

    /** The scheduler. */
    private final VirtualScheduler scheduler;

    /** The engines. */
    private final SimulatedEngineFleet fleet;

    /** The way of choosing. */
    private final RoutingStrategy strategy;

    /** The pool's row. */
    private final PoolRow poolRow;

    /** What the callers hold by chat. */
    private final Map<ChatKey, String> placementTokens = new HashMap<>();

    /** What is measured. */
    private final RunMetrics metrics;

    /** The number of the attempt that began last. */
    private long attemptCount;

    /**
     * Creates a new driver.
     *
     * @param scheduler The scheduler.
     * @param fleet The engines.
     * @param way The way of choosing.
     * @param row The pool's row.
     * @param figures Collects what is measured.
     */
    TurnDriver(
            VirtualScheduler scheduler,
            SimulatedEngineFleet fleet,
            RoutingStrategy way,
            PoolRow row,
            RunMetrics figures) {
        this.metrics = figures;
        this.scheduler = scheduler;
        this.fleet = fleet;
        this.strategy = way;
        this.poolRow = row;
    }

    /**
     * Schedules turns and the samples of the load.
     *
     * @param turns The turns.
     */
    void schedule(List<Turn> turns) {
        turns.forEach(turn -> scheduler.scheduleAt(turn.atMillis(), () -> startAttempt(turn, Set.of(), 1)));
        scheduler.scheduleRepeating(LOAD_SAMPLE_INTERVAL_MILLIS, LOAD_SAMPLE_INTERVAL_MILLIS, this::sampleLoad);
    }

    /**
     * Returns what was measured.
     *
     * @return What was measured.
     */
    RunMetrics metrics() {
        return metrics;
    }

    /**
     * Starts an attempt of a turn.
     *
     * @param turn The turn.
     * @param excluded The names of engines that failed the turn.
     * @param attempt The number of the attempt.
     */
    private void startAttempt(Turn turn, Set<String> excluded, int attempt) {
        attemptCount++;
        String requestId = "a" + attemptCount;
        Optional<String> token =
                turn.presentsToken()
                        ? Optional.ofNullable(placementTokens.get(turn.chat()))
                        : Optional.empty();
        strategy.chooseEngine(
                turn,
                requestId,
                token,
                excluded,
                choice ->
                        choice.ifPresentOrElse(
                                given -> submitAttempt(turn, requestId, excluded, attempt, given),
                                metrics::onRefused));
    }

    /**
     * Runs an admitted attempt.
     *
     * @param turn The turn.
     * @param requestId The identifier of the attempt.
     * @param excluded The names of engines that failed the turn.
     * @param attempt The number of the attempt.
     * @param choice The choice.
     */
    private void submitAttempt(
            Turn turn,
            String requestId,
            Set<String> excluded,
            int attempt,
            RoutingStrategy.Choice choice) {
        String name = choice.endpoint().name();
        SimulatedEngine engine = fleet.findEngine(name).orElseThrow();
        boolean strictlyOver = isOverBound(engine, fleet.liveEngines());
        engine.includeInMean();
        List<SimulatedEngine> serving =
                fleet.engines().stream().filter(SimulatedEngine::isCountedInMean).toList();
        boolean overBound = isOverBound(engine, serving);
        boolean accepted =
                engine.submit(
                        choice.endpoint().identity().incarnation(),
                        requestId,
                        turn,
                        choice.priority(),
                        new SimulatedEngine.Listener() {
                            @Override
                            public void onStart(long atMillis) {
                                metrics.onStarted(turn, atMillis);
                            }

                            @Override
                            public void onEnd(Optional<Usage> usage) {
                                metrics.onEnded(turn);
                                finishAttempt(turn, excluded, attempt, choice, usage);
                            }
                        });
        if (accepted) {
            metrics.onAdmitted(
                    turn, overBound, strictlyOver, scheduler.nowMillis() - turn.atMillis());
        } else {
            choice.completion().complete(new WorkOutcome(WorkOutcome.Result.REFUSED, null));
            retry(turn, excluded, attempt, name);
        }
    }

    /**
     * Ends an attempt.
     *
     * @param turn The turn.
     * @param excluded The names of engines that failed the turn.
     * @param attempt The number of the attempt.
     * @param choice The choice.
     * @param usage The usage, or empty if the engine was killed.
     */
    private void finishAttempt(
            Turn turn,
            Set<String> excluded,
            int attempt,
            RoutingStrategy.Choice choice,
            Optional<Usage> usage) {
        if (usage.isEmpty()) {
            choice.completion().complete(new WorkOutcome(WorkOutcome.Result.BROKEN, null));
            retry(turn, excluded, attempt, choice.endpoint().name());
            return;
        }
        choice.completion()
                .complete(new WorkOutcome(WorkOutcome.Result.DONE, usage.get()))
                .ifPresent(token -> placementTokens.put(turn.chat(), token));
        metrics.onCompleted(turn, usage.get().cachedTokens());
    }

    /**
     * Tries a turn once more, without the engine that failed it.
     *
     * @param turn The turn.
     * @param excluded The names of engines that failed the turn before.
     * @param attempt The number of the attempt.
     * @param name The name of the engine that failed it.
     */
    private void retry(Turn turn, Set<String> excluded, int attempt, String name) {
        if (attempt == MAXIMUM_ATTEMPTS) {
            metrics.onRefused();
            return;
        }
        Set<String> more = new HashSet<>(excluded);
        more.add(name);
        scheduler.scheduleAfter(2, () -> startAttempt(turn, more, attempt + 1));
    }

    /**
     * Returns {@code true} if one more request breaks the bound of an engine by true figures.
     *
     * @param engine The engine.
     * @param live The engines that count.
     * @return {@code true} if the bound is broken.
     */
    private boolean isOverBound(SimulatedEngine engine, List<SimulatedEngine> live) {
        long poolRequests = live.stream().mapToInt(SimulatedEngine::requestsInFlight).sum();
        long poolCapacity = live.stream().mapToInt(one -> one.endpoint().capacity()).sum();
        int maximum =
                new LoadBound(poolRow.boundMultiple(), Integer.MAX_VALUE)
                        .maximumRequests(poolRequests, engine.endpoint().capacity(), poolCapacity);
        return engine.requestsInFlight() + 1 > maximum;
    }

    /** Samples the load. */
    private void sampleLoad() {
        List<SimulatedEngine> live = fleet.liveEngines();
        double requests = live.stream().mapToInt(SimulatedEngine::requestsInFlight).sum();
        double capacity = live.stream().mapToInt(one -> one.endpoint().capacity()).sum();
        if (requests >= live.size()) {
            double mean = requests / capacity;
            live.stream()
                    .mapToDouble(one -> one.requestsInFlight() / mean / one.endpoint().capacity())
                    .max()
                    .ifPresent(metrics::onMaxOverMeanSample);
            metrics.onUtilisation(
                    live.stream()
                                    .mapToInt(
                                            one ->
                                                    Math.min(
                                                            one.requestsInFlight(),
                                                            one.endpoint().capacity()))
                                    .sum()
                            / capacity,
                    scheduler.nowMillis());
        }
    }
}
