package io.chicorytrestle.core.audit;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/** Takes note of changes. Implementations may be called by several threads. */
public interface AuditTrail {

    /**
     * Takes note of a change.
     *
     * @param event The change.
     */
    void record(AuditEvent event);

    /** A trail that forgets everything. */
    enum NoOp implements AuditTrail {

        /** The singleton instance. */
        INSTANCE;

        @Override
        public void record(AuditEvent event) {
            /* do nothing */
        }
    }

    /** A trail that hands each change to several trails. */
    final class Compound implements AuditTrail {

        /** The trails that receive each change. */
        private final List<AuditTrail> trails;

        /**
         * Creates a new compound trail.
         *
         * @param trails The trails that receive each change.
         */
        public Compound(List<? extends AuditTrail> trails) {
            this.trails = List.copyOf(trails);
        }

        @Override
        public void record(AuditEvent event) {
            trails.forEach(trail -> trail.record(event));
        }
    }

    /** A trail that keeps the latest changes in memory. */
    final class ForMemory implements AuditTrail {

        /** The most events to keep. */
        private final int capacity;

        /** The latest events, oldest first; guarded by itself. */
        private final Deque<Entry> entries = new ArrayDeque<>();

        /** The number of the latest event; guarded by the events. */
        private long lastSequence;

        /**
         * Creates a new trail.
         *
         * @param capacity The most events to keep, at least one.
         * @throws IllegalArgumentException If the capacity is below one.
         */
        public ForMemory(int capacity) {
            if (capacity < 1) {
                throw new IllegalArgumentException("Cannot keep events in capacity: " + capacity);
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
         * Returns the latest events.
         *
         * @return A copy of the kept events, oldest first.
         */
        public List<AuditEvent> events() {
            return entriesAfter(0).stream().map(Entry::event).toList();
        }

        /**
         * Returns the events that were recorded after another.
         *
         * @param sequence The number of the other event, or zero for all that are kept.
         * @return A copy of the kept events with larger numbers, oldest first.
         */
        public List<Entry> entriesAfter(long sequence) {
            synchronized (entries) {
                return entries.stream().filter(entry -> entry.sequence() > sequence).toList();
            }
        }

        /**
         * Holds a kept event with its number.
         *
         * @param sequence The event's number, which grows by one with each event.
         * @param event The event.
         */
        public record Entry(long sequence, AuditEvent event) {}
    }
}
