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

/** Simulates an engine that can be killed, drained and restarted. Confined to one thread. */
final class SimulatedEngine {

    /** The pool that all engines belong to. */
    static final String POOL = "chat";

    /** The pool's row of the table. */
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

    /** The engine's speed and size. */
    private final EngineProfile profile;

    /** The listeners of the requests in flight, by identifier of the request. */
    private final Map<String, Listener> listenersByRequest = new HashMap<>();

    /** The model of the current incarnation, replaced when the engine is killed or restarted. */
    private EngineModel model;

    /**
     * The time of the next scheduled event in milliseconds, or the maximum if none is scheduled.
     */
    private long nextEventMillis = Long.MAX_VALUE;

    /** The incarnation, which grows with each restart. */
    private long incarnation = 1;

    /** Whether the engine has taken work, or every router has received a view that lists it. */
    private boolean countsInMean = true;

    /** The engine's actual state, without list lag. */
    private EndpointState state = EndpointState.LIVE;

    /**
     * Creates a new engine that is live.
     *
     * @param scheduler The scheduler.
     * @param name The engine's name.
     * @param zone The engine's availability zone.
     * @param profile The engine's speed and size.
     */
    SimulatedEngine(VirtualScheduler scheduler, String name, String zone, EngineProfile profile) {
        this.scheduler = scheduler;
        this.name = name;
        this.zone = zone;
        this.profile = profile;
        model = new EngineModel(profile);
    }

    /**
     * Returns the engine's description in its current incarnation.
     *
     * @return The endpoint.
     */
    Endpoint endpoint() {
        EndpointIdentity identity = new EndpointIdentity(name, incarnation);
        return new Endpoint(
                identity, EndpointKind.ENGINE, POOL, zone, "127.0.0.1", 1, profile.batchSlots());
    }

    /**
     * Returns the engine's actual state, without list lag.
     *
     * @return The state.
     */
    EndpointState state() {
        return state;
    }

    /**
     * Returns the number of requests in flight.
     *
     * @return The number of queued and running requests.
     */
    int requestsInFlight() {
        return listenersByRequest.size();
    }

    /**
     * Returns the tokens of a chat that are in the engine's cache.
     *
     * @param chat The chat.
     * @return The number of tokens.
     */
    int cachedTokens(ChatKey chat) {
        return model.exportCache(chat);
    }

    /**
     * Adds tokens that another engine computed to the cache.
     *
     * @param chat The chat.
     * @param tokens The number of tokens.
     */
    void importCache(ChatKey chat, int tokens) {
        model.importCache(chat, tokens, scheduler.nowMillis());
    }

    /**
     * Submits a request to the engine.
     *
     * @param incarnation The incarnation that the router addresses.
     * @param requestId The identifier of the request.
     * @param turn The turn.
     * @param priority The priority.
     * @param listener Notified of the start and the end of the request.
     * @return {@code false} if the incarnation is outdated, or the engine isn't live or has no
     *     room.
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
            listenersByRequest.put(requestId, listener);
            scheduleNextEvent();
        }
        return accepted;
    }

    /** Kills the engine, which fails the requests in flight and clears the cache. */
    void kill() {
        state = EndpointState.GONE;
        model = new EngineModel(profile);
        nextEventMillis = Long.MAX_VALUE;
        List<Listener> listeners = new ArrayList<>(listenersByRequest.values());
        listenersByRequest.clear();
        listeners.forEach(listener -> listener.onEnd(Optional.empty()));
    }

    /**
     * Returns {@code true} if the engine counts towards its pool's mean load: from its first
     * request, or from when every router has received a view that lists it, until every router has
     * received a view in which it is leaving.
     *
     * @return {@code true} if the engine counts towards the mean load.
     */
    boolean isCountedInMean() {
        return countsInMean && state != EndpointState.GONE;
    }

    /** Called when every router has received a view in which the engine is leaving, if it is. */
    void excludeFromMeanIfLeaving() {
        if (state == EndpointState.LEAVING) {
            countsInMean = false;
        }
    }

    /** Called when the engine takes work or every router has received a view that lists it. */
    void includeInMean() {
        countsInMean = true;
    }

    /** Starts a new incarnation with an empty cache. */
    void restart() {
        incarnation++;
        countsInMean = false;
        state = EndpointState.LIVE;
        model = new EngineModel(profile);
        nextEventMillis = Long.MAX_VALUE;
    }

    /** Makes the engine refuse new requests while those in flight finish. */
    void startLeaving() {
        state = EndpointState.LEAVING;
    }

    /** Schedules the processing of the engine's next event, at least one millisecond from now. */
    private void scheduleNextEvent() {
        EngineModel scheduledModel = model;
        long atMillis =
                Math.max(scheduler.nowMillis() + 1, model.nextEventMillis().orElse(Long.MAX_VALUE));
        if (atMillis < nextEventMillis) {
            nextEventMillis = atMillis;
            scheduler.scheduleAt(atMillis, () -> processEvents(scheduledModel));
        }
    }

    /**
     * Processes the events that are due and notifies the listeners.
     *
     * @param expected The model that the call was scheduled for; calls for a replaced one are
     *     ignored.
     */
    private void processEvents(EngineModel expected) {
        if (expected != model) {
            return;
        }
        nextEventMillis = Long.MAX_VALUE;
        for (EngineEvent event : model.advance(scheduler.nowMillis())) {
            if (event instanceof EngineEvent.Finished finished) {
                Listener listener = listenersByRequest.remove(finished.requestId());
                if (listener != null) {
                    listener.onEnd(Optional.of(finished.usage()));
                }
            } else if (event instanceof EngineEvent.Started started) {
                Listener listener = listenersByRequest.get(started.requestId());
                if (listener != null) {
                    listener.onStart(started.atMillis());
                }
            }
        }
        scheduleNextEvent();
    }

    /** Receives a request's start and end. */
    interface Listener {

        /**
         * Called when the request has entered the batch.
         *
         * @param atMillis The time in milliseconds.
         */
        void onStart(long atMillis);

        /**
         * Called when the request has ended.
         *
         * @param usage The token usage, or empty if the engine was killed.
         */
        void onEnd(Optional<Usage> usage);
    }
}
