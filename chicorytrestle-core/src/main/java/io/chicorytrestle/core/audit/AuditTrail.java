package io.chicorytrestle.core.audit;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/** Records changes. Implementations must be thread-safe. */
public interface AuditTrail {

    /**
     * Records a change.
     *
     * @param event The change.
     */
    void record(AuditEvent event);

    /** A trail that discards all changes. */
    enum NoOp implements AuditTrail {

        /** The singleton instance. */
        INSTANCE;

        @Override
        public void record(AuditEvent event) {
            /* do nothing */
        }
    }

    /** A trail that forwards each change to several trails. */
    final class Compound implements AuditTrail {

        /** The trails that receive each change, in order. */
        private final List<AuditTrail> trails;

        /**
         * Creates a new compound trail.
         *
         * @param trails The trails that receive each change, in order.
         */
        public Compound(List<? extends AuditTrail> trails) {
            this.trails = List.copyOf(trails);
        }

        @Override
        public void record(AuditEvent event) {
            trails.forEach(trail -> trail.record(event));
        }
    }

    /** A trail that keeps the latest changes in memory and discards older ones. */
    final class ForMemory implements AuditTrail {

        /** The maximum number of events to keep. */
        private final int capacity;

        /** The kept events, oldest first; guarded by itself. */
        private final Deque<Entry> entries = new ArrayDeque<>();

        /** The sequence number of the latest event; guarded by the entries. */
        private long lastSequence;

        /**
         * Creates a new trail.
         *
         * @param capacity The maximum number of events to keep, at least one.
         * @throws IllegalArgumentException If the capacity is below one.
         */
        public ForMemory(int capacity) {
            if (capacity < 1) {
                throw new IllegalArgumentException(
                        "Cannot use capacity below one event: " + capacity);
            }
            this.capacity = capacity;
        }

        @Override
        public void record(AuditEvent event) {
            synchronized (entries) {
                if (entries.size() == capacity) {
                    entries.removeFirst();
                }
                lastSequence++;
                entries.addLast(new Entry(lastSequence, event));
            }
        }

        /**
         * Returns the kept events.
         *
         * @return A copy of the kept events, oldest first.
         */
        public List<AuditEvent> events() {
            return entriesAfter(0).stream().map(Entry::event).toList();
        }

        /**
         * Returns the kept events that were recorded after a given one.
         *
         * @param sequence The sequence number of the given event, or zero for all kept events.
         * @return A copy of the kept events with higher sequence numbers, oldest first.
         */
        public List<Entry> entriesAfter(long sequence) {
            synchronized (entries) {
                return entries.stream().filter(entry -> entry.sequence() > sequence).toList();
            }
        }

        /**
         * Holds a kept event with its sequence number.
         *
         * @param sequence The event's sequence number, which increases by one with each event.
         * @param event The event.
         */
        public record Entry(long sequence, AuditEvent event) {}
    }
}
