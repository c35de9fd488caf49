package io.chicorytrestle.core.routing;

import java.util.ArrayList;
import java.util.List;

/**
 * Collects the actions to run once a lock is released, such as sending a message or completing a
 * future. It is confined to one thread.
 */
final class ActionQueue {

    /** The actions in order. */
    private final List<Runnable> actions = new ArrayList<>();

    /** The time at which the lock was taken, in milliseconds. */
    private final long nowMillis;

    /**
     * Creates an empty queue.
     *
     * @param nowMillis The current time in milliseconds.
     */
    ActionQueue(long nowMillis) {
        this.nowMillis = nowMillis;
    }

    /**
     * Returns the time that all actions of this queue use.
     *
     * @return The time in milliseconds.
     */
    long nowMillis() {
        return nowMillis;
    }

    /**
     * Adds an action behind the others.
     *
     * @param action The action.
     */
    void add(Runnable action) {
        actions.add(action);
    }

    /** Runs the actions in order. Called without the lock. */
    void runAll() {
        actions.forEach(Runnable::run);
    }
}
