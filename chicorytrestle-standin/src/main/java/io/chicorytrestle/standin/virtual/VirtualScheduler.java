package io.chicorytrestle.standin.virtual;

import java.util.PriorityQueue;

/**
 * A discrete-event scheduler that runs actions in the order of their virtual time, and in the order
 * of scheduling at the same time. It is confined to one thread.
 */
public final class VirtualScheduler {

    /** The scheduled events, earliest first. */
    private final PriorityQueue<Event> events = new PriorityQueue<>();

    /** The current virtual time in milliseconds. */
    private long nowMillis;

    /** The number of the last scheduled event; it orders events of the same time. */
    private long lastEventNumber;

    /**
     * Creates a new scheduler.
     *
     * @param startMillis The initial virtual time in milliseconds.
     */
    public VirtualScheduler(long startMillis) {
        nowMillis = startMillis;
    }

    /**
     * Returns the current virtual time.
     *
     * @return The current virtual time in milliseconds.
     */
    public long nowMillis() {
        return nowMillis;
    }

    /**
     * Schedules an action.
     *
     * @param atMillis The virtual time in milliseconds; a past time stands for the current one.
     * @param action The action to run.
     */
    public void scheduleAt(long atMillis, Runnable action) {
        lastEventNumber++;
        events.add(new Event(Math.max(atMillis, nowMillis), lastEventNumber, action));
    }

    /**
     * Schedules an action.
     *
     * @param delayMillis The delay in virtual milliseconds.
     * @param action The action to run.
     */
    public void scheduleAfter(long delayMillis, Runnable action) {
        scheduleAt(nowMillis + delayMillis, action);
    }

    /**
     * Schedules an action that repeats for as long as events are run.
     *
     * @param firstMillis The virtual time of the first execution in milliseconds.
     * @param periodMillis The time between executions in milliseconds, at least one.
     * @param action The action to run.
     */
    public void every(long firstMillis, long periodMillis, Runnable action) {
        scheduleAt(
                firstMillis,
                () -> {
                    action.run();
                    every(nowMillis + periodMillis, periodMillis, action);
                });
    }

    /**
     * Runs all events up to a time, which becomes the current one. Events that they schedule up to
     * then run, too.
     *
     * @param untilMillis The virtual time to stop at in milliseconds, inclusive.
     */
    public void runUntil(long untilMillis) {
        Event next = events.peek();
        while (next != null && next.atMillis <= untilMillis) {
            events.poll();
            nowMillis = next.atMillis;
            next.action.run();
            next = events.peek();
        }
        nowMillis = Math.max(nowMillis, untilMillis);
    }

    /**
     * A scheduled action.
     *
     * @param atMillis The virtual time in milliseconds.
     * @param number The scheduling order, which orders events of the same time.
     * @param action The action to run.
     */
    private record Event(long atMillis, long number, Runnable action) implements Comparable<Event> {

        @Override
        public int compareTo(Event other) {
            int order = Long.compare(atMillis, other.atMillis);
            return order == 0 ? Long.compare(number, other.number) : order;
        }
    }
}
