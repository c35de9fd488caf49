package io.chicorytrestle.bench.routing;

import io.chicorytrestle.core.endpoint.Usage;
import io.chicorytrestle.core.identity.ChatKey;
import io.chicorytrestle.core.identity.Endpoint;
import io.chicorytrestle.core.identity.EndpointIdentity;
import io.chicorytrestle.core.identity.EndpointKind;
import io.chicorytrestle.core.membership.EndpointState;
import io.chicorytrestle.core.table.PoolRow;
import io.chicorytrestle.standin.model.EngineEvent;
import io.chicorytrestle.standin.model.EngineModel;
import io.chicorytrestle.standin.model.EngineProfile;
import io.chicorytrestle.standin.virtual.VirtualScheduler;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Fakes an engine that is killed, drained and started again. It is confined to one thread. */
final class SimulatedEngine {

    /** The pool that all engines belong to. */
    static final String POOL = "chat";

    /** The pool's row. */
    static final PoolRow ROW =
            new PoolRow(
                    POOL,
                    EndpointKind.ENGINE,
                    1,
                    PoolRow.DEFAULT_BOUND_MULTIPLE,
                    PoolRow.MAXIMUM_CEILING_REQUESTS,
                    "model",
                    "1",
                    "",
                    "");

    /** The scheduler. */
    private final VirtualScheduler scheduler;

    /** The engine's name. */
    private final String name;

    /** The engine's availability zone. */
    private final String zone;

    /** How much the engine can do. */
    private final EngineProfile profile;

    /** The listeners of the requests in flight. */
    private final Map<String, Listener> requestsInFlight = new HashMap<>();

    /** The engine's run. */
    private EngineModel model;

    /** The time of the next scheduled event in milliseconds. */
    private long nextEventMillis = Long.MAX_VALUE;

    /** The number of the engine's run. */
    private long incarnation = 1;

    /** Whether the engine has taken work, or every router must have heard of it. */
    private boolean countsInMean = true;

    /** The engine's true state. */
    private EndpointState state = EndpointState.LIVE;

    /**
     * Creates a new engine that runs.
     *
     * @param scheduler The scheduler.
     * @param name The engine's name.
     * @param zone The engine's availability zone.
     * @param profile How much the engine can do.
     */
    SimulatedEngine(VirtualScheduler scheduler, String name, String zone, EngineProfile profile) {
        this.scheduler = scheduler;
        this.name = name;
        this.zone = zone;
        this.profile = profile;
        model = new EngineModel(profile);
    }

    /**
     * Returns the engine's description.
     *
     * @return The engine's description.
     */
    Endpoint endpoint() {
        EndpointIdentity identity = new EndpointIdentity(name, incarnation);
        return new Endpoint(
                identity, EndpointKind.ENGINE, POOL, zone, "127.0.0.1", 1, profile.batchSlots());
    }

    /**
     * Returns the engine's true state.
     *
     * @return The engine's true state.
     */
    EndpointState state() {
        return state;
    }

    /**
     * Returns the requests in flight.
     *
     * @return The requests that wait or run.
     */
    int requestsInFlight() {
        return requestsInFlight.size();
    }

    /**
     * Returns the tokens of a chat that the engine holds.
     *
     * @param chat The chat.
     * @return The tokens.
     */
    int cachedTokens(ChatKey chat) {
        return model.exportCache(chat);
    }

    /**
     * Puts tokens that another engine computed into the cache.
     *
     * @param chat The chat.
     * @param tokens The tokens.
     */
    void importCache(ChatKey chat, int tokens) {
        model.importCache(chat, tokens, scheduler.nowMillis());
    }

    /**
     * Hands a request to the engine.
     *
     * @param incarnation The run that is meant.
     * @param requestId The identifier of the request.
     * @param turn The turn.
     * @param priority The priority.
     * @param listener Learns of the start and the end.
     * @return {@code false} if the engine refused.
     */
    boolean submit(long incarnation, String requestId, Turn turn, int priority, Listener listener) {
        if (incarnation != this.incarnation || state != EndpointState.LIVE) {
            return false;
        }
        boolean accepted =
                model.submit(
                        requestId,
                        turn.chat(),
                        turn.promptTokens(),
                        turn.generatedTokens(),
                        priority,
                        scheduler.nowMillis());
        if (accepted) {
            requestsInFlight.put(requestId, listener);
            scheduleNextEvent();
        }
        return accepted;
    }

    /** Kills the engine with all that it runs and holds. */
    void kill() {
        state = EndpointState.GONE;
        model = new EngineModel(profile);
        nextEventMillis = Long.MAX_VALUE;
        List<Listener> listeners = new ArrayList<>(requestsInFlight.values());
        requestsInFlight.clear();
        listeners.forEach(listener -> listener.onEnd(Optional.empty()));
    }

    /**
     * Returns {@code true} if the engine counts in its pool's mean: from its first work, or from
     * when every router has heard of it, until every router has heard that it leaves.
     *
     * @return {@code true} if the engine counts in its pool's mean.
     */
    boolean isCountedInMean() {
        return countsInMean && state != EndpointState.GONE;
    }

    /** Takes note that every router must have heard that the engine leaves, if it does. */
    void excludeFromMeanIfLeaving() {
        if (state == EndpointState.LEAVING) {
            countsInMean = false;
        }
    }

    /** Takes note that every router must have heard of the engine, or that it takes work. */
    void includeInMean() {
        countsInMean = true;
    }

    /** Starts the engine again with an empty cache. */
    void restart() {
        incarnation++;
        countsInMean = false;
        state = EndpointState.LIVE;
        model = new EngineModel(profile);
        nextEventMillis = Long.MAX_VALUE;
    }

    /** Lets the engine take no more work. */
    void startLeaving() {
        state = EndpointState.LEAVING;
    }

    /** Schedules the engine's next event. */
    private void scheduleNextEvent() {
        EngineModel present = model;
        long atMillis =
                Math.max(scheduler.nowMillis() + 1, model.nextEventMillis().orElse(Long.MAX_VALUE));
        if (atMillis < nextEventMillis) {
            nextEventMillis = atMillis;
            scheduler.scheduleAt(atMillis, () -> processEvents(present));
        }
    }

    /**
     * Moves the engine on.
     *
     * @param expected The run that is meant.
     */
    private void processEvents(EngineModel expected) {
        if (expected != model) {
            return;
        }
        nextEventMillis = Long.MAX_VALUE;
        for (EngineEvent event : model.advance(scheduler.nowMillis())) {
            if (event instanceof EngineEvent.Finished finished) {
                Listener listener = requestsInFlight.remove(finished.requestId());
                if (listener != null) {
                    listener.onEnd(Optional.of(finished.usage()));
                }
            } else if (event instanceof EngineEvent.Started started) {
                Listener listener = requestsInFlight.get(started.requestId());
                if (listener != null) {
                    listener.onStart(started.atMillis());
                }
            }
        }
        scheduleNextEvent();
    }

    /** Learns of a request's start and end. */
    interface Listener {

        /**
         * Learns that the request took a slot of the batch.
         *
         * @param atMillis The time in milliseconds.
         */
        void onStart(long atMillis);

        /**
         * Learns that the request ended.
         *
         * @param usage The usage, or empty if the engine was killed.
         */
        void onEnd(Optional<Usage> usage);
    }
}
