package io.chicorytrestle.daemon.loop;

import io.activej.eventloop.Eventloop;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Runs several event loops, each in a daemon thread of its own. It is thread-safe. */
public final class EventLoopPool implements AutoCloseable {

    /** The time-out of waiting for each thread to end, in milliseconds. */
    private static final long JOIN_TIMEOUT_MILLIS = 2_000;

    /** The event loops. */
    private final List<Eventloop> loops;

    /** The threads of the event loops, in the same order. */
    private final List<Thread> threads;

    /** The number of event loops that were selected in round-robin order so far. */
    private final AtomicInteger nextIndex = new AtomicInteger();

    /**
     * Creates a pool of running event loops.
     *
     * @param loops The event loops.
     * @param threads The threads of the event loops, in the same order.
     */
    private EventLoopPool(List<Eventloop> loops, List<Thread> threads) {
        this.loops = loops;
        this.threads = threads;
    }

    /**
     * Starts the threads of a pool.
     *
     * @param name The prefix of the threads' names, to which an index is appended.
     * @param count The number of event loops.
     * @return The running pool.
     */
    public static EventLoopPool start(String name, int count) {
        List<Eventloop> loops = new ArrayList<>(count);
        List<Thread> threads = new ArrayList<>(count);
        for (int index = 0; index < count; index++) {
            Eventloop loop = Eventloop.builder().build();
            loop.keepAlive(true);
            Thread thread = new Thread(loop, name + "-" + index);
            thread.setDaemon(true);
            thread.start();
            loops.add(loop);
            threads.add(thread);
        }
        return new EventLoopPool(List.copyOf(loops), List.copyOf(threads));
    }

    /**
     * Returns all event loops in a fixed order.
     *
     * @return The event loops.
     */
    public List<Eventloop> all() {
        return loops;
    }

    /**
     * Returns the index of the event loop that the current thread runs, or of the next one in
     * round-robin order if it runs none of this pool.
     *
     * @return The index of an event loop.
     */
    public int currentOrNextIndex() {
        int current = threads.indexOf(Thread.currentThread());
        return current >= 0 ? current : Math.floorMod(nextIndex.getAndIncrement(), loops.size());
    }

    @Override
    public void close() {
        for (Eventloop loop : loops) {
            loop.keepAlive(false);
            loop.execute(loop::breakEventloop);
        }
        for (Thread thread : threads) {
            try {
                thread.join(JOIN_TIMEOUT_MILLIS);
            } catch (InterruptedException exception) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }
}
