package io.chicorytrestle.core.call;

import java.util.concurrent.atomic.AtomicReference;
import java.util.function.LongPredicate;

/** Permits one attempt to write, once, unless the attempt was given up before. */
final class WriteGuard implements LongPredicate {

    /** Asked before the attempt may write. */
    private final LongPredicate condition;

    /** The attempt's state. */
    private final AtomicReference<State> state = new AtomicReference<>(State.PENDING);

    /**
     * Creates a new guard.
     *
     * @param condition Asked, with the present time, before the attempt may write.
     */
    WriteGuard(LongPredicate condition) {
        this.condition = condition;
    }

    @Override
    public boolean test(long nowMillis) {
        return state.compareAndSet(State.PENDING, State.CHECKED) && condition.test(nowMillis);
    }

    /**
     * Gives the attempt up.
     *
     * @return {@code true} if the attempt was never permitted to write and never will be.
     */
    boolean abandon() {
        return state.compareAndSet(State.PENDING, State.ABANDONED);
    }

    /** Enumerates the states of an attempt. */
    private enum State {

        /** The attempt has not asked yet. */
        PENDING,

        /** The attempt has asked. */
        CHECKED,

        /** The attempt was given up. */
        ABANDONED
    }
}
