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
 * Replays turns against the engines with one routing strategy and checks each admission against the
 * engines' actual load. Confined to one thread.
 */
final class TurnDriver {

    /** The maximum number of attempts of a turn, after which it counts as refused. */
    private static final int MAXIMUM_ATTEMPTS = 6;

    /** The interval between load samples in milliseconds. */
    private static final long LOAD_SAMPLE_INTERVAL_MILLIS = 100;

    /** The scheduler. */
    private final VirtualScheduler scheduler;

    /** The simulated engines. */
    private final SimulatedEngineFleet fleet;

    /** The strategy that chooses engines. */
    private final RoutingStrategy strategy;

    /** The pool's row of the table, which holds its load bound. */
    private final PoolRow poolRow;

    /** The latest placement token that the caller of each chat received. */
    private final Map<ChatKey, String> placementTokens = new HashMap<>();

    /** The measurements of the run. */
    private final RunMetrics metrics;

    /** The number of attempts so far, which names the next request. */
    private long attemptCount;

    /**
     * Creates a new driver.
     *
     * @param scheduler The scheduler.
     * @param fleet The simulated engines.
     * @param strategy The strategy that chooses engines.
     * @param poolRow The pool's row of the table.
     * @param metrics Collects the measurements.
     */
    TurnDriver(
            VirtualScheduler scheduler,
            SimulatedEngineFleet fleet,
            RoutingStrategy strategy,
            PoolRow poolRow,
            RunMetrics metrics) {
        this.metrics = metrics;
        this.scheduler = scheduler;
        this.fleet = fleet;
        this.strategy = strategy;
        this.poolRow = poolRow;
    }

    /**
     * Schedules turns and the load samples.
     *
     * @param turns The turns.
     */
    void schedule(List<Turn> turns) {
        turns.forEach(
                turn ->
                        scheduler.scheduleAt(
                                turn.atMillis(), () -> startAttempt(turn, Set.of(), 1)));
        scheduler.every(LOAD_SAMPLE_INTERVAL_MILLIS, LOAD_SAMPLE_INTERVAL_MILLIS, this::sampleLoad);
    }

    /**
     * Returns the measurements of the run.
     *
     * @return The measurements, which grow while the scheduler runs.
     */
    RunMetrics metrics() {
        return metrics;
    }

    /**
     * Starts an attempt of a turn.
     *
     * @param turn The turn.
     * @param excluded The names of engines that failed the turn.
     * @param attempt The number of the attempt, from one.
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
                                chosen -> submitAttempt(turn, requestId, excluded, attempt, chosen),
                                metrics::onRefused));
    }

    /**
     * Submits an admitted attempt to its engine.
     *
     * @param turn The turn.
     * @param requestId The identifier of the attempt.
     * @param excluded The names of engines that failed the turn.
     * @param attempt The number of the attempt, from one.
     * @param choice The chosen engine.
     */
    private void submitAttempt(
            Turn turn,
            String requestId,
            Set<String> excluded,
            int attempt,
            RoutingStrategy.Choice choice) {
        String name = choice.endpoint().name();
        SimulatedEngine engine = fleet.findEngine(name).orElseThrow();
        boolean overStrictBound = isOverBound(engine, fleet.liveEngines());
        engine.includeInMean();
        List<SimulatedEngine> counted =
                fleet.engines().stream().filter(SimulatedEngine::isCountedInMean).toList();
        boolean overBound = isOverBound(engine, counted);
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
                    turn, overBound, overStrictBound, scheduler.nowMillis() - turn.atMillis());
        } else {
            choice.completion().complete(new WorkOutcome(WorkOutcome.Result.REFUSED, null));
            retry(turn, excluded, attempt, name);
        }
    }

    /**
     * Completes an attempt, or retries the turn if the engine was killed.
     *
     * @param turn The turn.
     * @param excluded The names of engines that failed the turn.
     * @param attempt The number of the attempt, from one.
     * @param choice The chosen engine.
     * @param usage The token usage, or empty if the engine was killed.
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
     * Retries a turn without the engine that failed it, up to the maximum number of attempts.
     *
     * @param turn The turn.
     * @param excluded The names of engines that failed the turn before.
     * @param attempt The number of the attempt, from one.
     * @param name The name of the engine that failed the last attempt.
     */
    private void retry(Turn turn, Set<String> excluded, int attempt, String name) {
        if (attempt == MAXIMUM_ATTEMPTS) {
            metrics.onRefused();
            return;
        }
        Set<String> nowExcluded = new HashSet<>(excluded);
        nowExcluded.add(name);
        scheduler.scheduleAfter(2, () -> startAttempt(turn, nowExcluded, attempt + 1));
    }

    /**
     * Returns {@code true} if one more request would exceed an engine's bound by the actual load.
     *
     * @param engine The engine.
     * @param live The engines that count towards the mean load.
     * @return {@code true} if the bound would be exceeded.
     */
    private boolean isOverBound(SimulatedEngine engine, List<SimulatedEngine> live) {
        long poolRequests = live.stream().mapToInt(SimulatedEngine::requestsInFlight).sum();
        long poolCapacity = live.stream().mapToInt(each -> each.endpoint().capacity()).sum();
        int maximum =
                new LoadBound(poolRow.boundMultiple(), Integer.MAX_VALUE)
                        .maximumRequests(poolRequests, engine.endpoint().capacity(), poolCapacity);
        return engine.requestsInFlight() + 1 > maximum;
    }

    /** Records how uneven the load is, unless there are fewer requests than live engines. */
    private void sampleLoad() {
        List<SimulatedEngine> live = fleet.liveEngines();
        double requests = live.stream().mapToInt(SimulatedEngine::requestsInFlight).sum();
        double capacity = live.stream().mapToInt(each -> each.endpoint().capacity()).sum();
        if (requests >= live.size()) {
            double mean = requests / capacity;
            live.stream()
                    .mapToDouble(
                            each -> each.requestsInFlight() / mean / each.endpoint().capacity())
                    .max()
                    .ifPresent(metrics::onMaxOverMeanSample);
            metrics.onUtilisation(
                    live.stream()
                                    .mapToInt(
                                            each ->
                                                    Math.min(
                                                            each.requestsInFlight(),
                                                            each.endpoint().capacity()))
                                    .sum()
                            / capacity,
                    scheduler.nowMillis());
        }
    }
}
