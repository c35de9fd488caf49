package io.chicorytrestle.core.routing;

import java.util.ArrayList;
import java.util.List;

/** Collects what is to happen after a lock was released. It is confined to one thread. */
final class ActionQueue {

    /** The actions in order. */
    private final List<Runnable> actions = new ArrayList<>();

    /** The present time in milliseconds. */
    private final long nowMillis;

    /**
     * Creates a new, empty outbox.
     *
     * @param nowMillis The present time in milliseconds.
     */
    ActionQueue(long nowMillis) {
        this.nowMillis = nowMillis;
    }

    /**
     * Returns the present time.
     *
     * @return The present time in milliseconds.
     */
    long nowMillis() {
        return nowMillis;
    }

    /**
     * Adds an action.
     *
     * @param action The action.
     */
    void add(Runnable action) {
        actions.add(action);
    }

    /** Runs the actions in order. */
    void runAll() {
        actions.forEach(Runnable::run);
    }
}
