package io.chicorytrestle.standin.virtual;

import java.util.PriorityQueue;

/** Runs events in the order of a virtual time. It is confined to one thread. */
public final class VirtualScheduler {

    /** The events that are due later, soonest first. */
    private final PriorityQueue<Event> events = new PriorityQueue<>();

    /** The virtual present time in milliseconds. */
    private long nowMillis;

    /** The number of the event that was added last, which orders events of the same time. */
    private long lastEventNumber;

    /**
     * Creates a new scheduler.
     *
     * @param startMillis The virtual time to start at in milliseconds.
     */
    public VirtualScheduler(long startMillis) {
        nowMillis = startMillis;
    }

    /**
     * Returns the virtual present time.
     *
     * @return The virtual present time in milliseconds.
     */
    public long nowMillis() {
        return nowMillis;
    }

    /**
     * Adds an event.
     *
     * @param atMillis The time of the event in milliseconds; a past time means now.
     * @param action What happens.
     */
    public void scheduleAt(long atMillis, Runnable action) {
        lastEventNumber++;
        events.add(new Event(Math.max(atMillis, nowMillis), lastEventNumber, action));
    }

    /**
     * Adds an event.
     *
     * @param delayMillis The delay until the event in milliseconds.
     * @param action What happens.
     */
    public void scheduleAfter(long delayMillis, Runnable action) {
        scheduleAt(nowMillis + delayMillis, action);
    }

    /**
     * Adds an event that repeats until the end of the run.
     *
     * @param firstMillis The time of the first event in milliseconds.
     * @param periodMillis The milliseconds between events, at least one.
     * @param action What happens.
     */
    public void scheduleRepeating(long firstMillis, long periodMillis, Runnable action) {
        scheduleAt(
                firstMillis,
                () -> {
                    action.run();
                    scheduleRepeating(nowMillis + periodMillis, periodMillis, action);
                });
    }

    /**
     * Runs all events up to a time, which becomes the present one.
     *
     * @param untilMillis The time to stop at in milliseconds, inclusive.
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
     * Something that happens at a virtual time.
     *
     * @param atMillis The time in milliseconds.
     * @param number Orders events of the same time.
     * @param action What happens.
     */
    private record Event(long atMillis, long number, Runnable action) implements Comparable<Event> {

        @Override
        public int compareTo(Event other) {
            int order = Long.compare(atMillis, other.atMillis);
            return order == 0 ? Long.compare(number, other.number) : order;
        }
    }
}
