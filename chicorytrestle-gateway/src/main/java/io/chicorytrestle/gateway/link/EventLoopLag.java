package io.chicorytrestle.gateway.link;

import io.activej.common.time.Stopwatch;
import io.activej.eventloop.inspector.EventloopInspector;
import io.activej.reactor.Reactor;
import io.activej.reactor.schedule.ScheduledRunnable;
import org.jspecify.annotations.Nullable;

/**
 * Measures how long the event loop leaves arrived bytes unread: the time that the previous
 * iteration took. It is confined to the event loop's thread.
 */
public final class EventLoopLag implements EventloopInspector {

    /** The duration of the previous iteration without its wait for input, in milliseconds. */
    private long previousIterationMillis;

    /**
     * Returns the longest time for which bytes that are read now may have been waiting.
     *
     * @return The time in milliseconds.
     */
    public long lagMillis() {
        return previousIterationMillis;
    }

    /**
     * Runs an action after a delay, but not before the bytes that arrived during the delay were
     * handled. A time-out so does not take this instance's own delay for the silence of a peer.
     *
     * @param reactor The event loop.
     * @param delayMillis The delay in milliseconds.
     * @param action The action.
     * @return The handle that cancels the action while the delay lasts.
     */
    public static ScheduledRunnable delayUntilInputIsHandled(
            Reactor reactor, long delayMillis, Runnable action) {
        return reactor.delayBackground(delayMillis, () -> reactor.postNext(action));
    }

    @Override
    public void onUpdateBusinessLogicTime(
            boolean isTaskOrKeyPresent, boolean isExternalTaskPresent, long durationMillis) {
        previousIterationMillis = durationMillis;
    }

    @Override
    public void onUpdateSelectorSelectTime(long durationMillis) {}

    @Override
    public void onUpdateSelectorSelectTimeout(long timeoutMillis) {}

    @Override
    public void onUpdateSelectedKeyDuration(Stopwatch duration) {}

    @Override
    public void onUpdateSelectedKeysStats(
            int selected,
            int invalid,
            int accepts,
            int connects,
            int reads,
            int writes,
            long durationMillis) {}

    @Override
    public void onUpdateLocalTaskDuration(Runnable task, @Nullable Stopwatch duration) {}

    @Override
    public void onUpdateLocalTasksStats(int tasks, long durationMillis) {}

    @Override
    public void onUpdateConcurrentTaskDuration(Runnable task, @Nullable Stopwatch duration) {}

    @Override
    public void onUpdateConcurrentTasksStats(int tasks, long durationMillis) {}

    @Override
    public void onUpdateScheduledTaskDuration(
            Runnable task, @Nullable Stopwatch duration, boolean isBackground) {}

    @Override
    public void onUpdateScheduledTasksStats(int tasks, long durationMillis, boolean isBackground) {}

    @Override
    public void onFatalError(Throwable error, @Nullable Object context) {}

    @Override
    public void onScheduledTaskOverdue(long overdueMillis, boolean isBackground) {}

    @Override
    public <T extends EventloopInspector> @Nullable T lookup(Class<T> type) {
        return type.isInstance(this) ? type.cast(this) : null;
    }
}
