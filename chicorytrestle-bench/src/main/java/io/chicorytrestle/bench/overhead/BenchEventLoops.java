package io.chicorytrestle.bench.overhead;

import io.activej.async.callback.AsyncComputation;
import io.activej.common.function.SupplierEx;
import io.activej.eventloop.Eventloop;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Runs event loops on a daemon thread each. */
final class BenchEventLoops implements AutoCloseable {

    /** The event loops. */
    private final List<Eventloop> loops = new ArrayList<>();

    /** The threads of the event loops, in the same order. */
    private final List<Thread> threads = new ArrayList<>();

    /**
     * Starts event loops, which run until this object is closed.
     *
     * @param name The prefix of the threads' names.
     * @param count The number of event loops.
     */
    BenchEventLoops(String name, int count) {
        for (int index = 0; index < count; index++) {
            Eventloop loop = Eventloop.create();
            loop.keepAlive(true);
            Thread thread = new Thread(loop, name + "-" + index);
            thread.setDaemon(true);
            thread.start();
            loops.add(loop);
            threads.add(thread);
        }
    }

    /**
     * Returns all event loops.
     *
     * @return The event loops.
     */
    List<Eventloop> all() {
        return List.copyOf(loops);
    }

    /**
     * Computes a value on the thread of an event loop and waits for it.
     *
     * @param loop The event loop.
     * @param supplier The computation.
     * @param <T> The type of the value.
     * @return The value.
     */
    static <T> T callOn(Eventloop loop, SupplierEx<T> supplier) {
        return loop.submit(AsyncComputation.of(supplier)).join();
    }

    @Override
    public void close() {
        for (Eventloop loop : loops) {
            loop.execute(
                    () -> {
                        loop.keepAlive(false);
                        loop.breakEventloop();
                    });
        }
        threads.forEach(BenchEventLoops::join);
    }

    /**
     * Returns the CPU time of this process's threads whose names have a prefix.
     *
     * @param prefix The prefix of the threads' names.
     * @return The total CPU time of the live threads in microseconds.
     */
    static long threadCpuMicros(String prefix) {
        ThreadMXBean bean = ManagementFactory.getThreadMXBean();
        long nanos = 0;
        for (Thread thread : Thread.getAllStackTraces().keySet()) {
            if (thread.getName().startsWith(prefix)) {
                nanos += Math.max(0, bean.getThreadCpuTime(thread.getId()));
            }
        }
        return TimeUnit.NANOSECONDS.toMicros(nanos);
    }

    /**
     * Waits until a thread has ended or the current one is interrupted.
     *
     * @param thread The thread.
     */
    private static void join(Thread thread) {
        try {
            thread.join();
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }
}
