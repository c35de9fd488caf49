package io.chicorytrestle.core.call;

import java.util.concurrent.atomic.AtomicReference;
import java.util.function.LongPredicate;

/**
 * Permits an attempt to write at most once, and never after the attempt was abandoned. This settles
 * the race between an attempt that starts to write and one that fails before.
 */
final class WriteGuard implements LongPredicate {

    /** Evaluated with the current time before the attempt may write. */
    private final LongPredicate condition;

    /** The state of the attempt, which changes once at most. */
    private final AtomicReference<State> state = new AtomicReference<>(State.PENDING);

    /**
     * Creates a new guard.
     *
     * @param condition Evaluated with the current time before the attempt may write.
     */
    WriteGuard(LongPredicate condition) {
        this.condition = condition;
    }

    @Override
    public boolean test(long nowMillis) {
        return state.compareAndSet(State.PENDING, State.CHECKED) && condition.test(nowMillis);
    }

    /**
     * Abandons the attempt if it hasn't asked for permission to write yet.
     *
     * @return {@code true} if the attempt was never permitted to write and never will be.
     */
    boolean abandon() {
        return state.compareAndSet(State.PENDING, State.ABANDONED);
    }

    /** The states of an attempt. */
    private enum State {

        /** The condition wasn't evaluated yet. */
        PENDING,

        /** The condition was evaluated, whether or not it permitted the write. */
        CHECKED,

        /** The attempt was abandoned and never writes. */
        ABANDONED
    }
}
