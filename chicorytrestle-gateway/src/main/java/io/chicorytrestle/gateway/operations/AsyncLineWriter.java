package io.chicorytrestle.gateway.operations;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Writes log lines on its own thread from a bounded queue, so that a slow reader of the output
 * never blocks a caller. Lines that do not fit into the queue are dropped and counted.
 */
public final class AsyncLineWriter {

    /** The queue capacity: several seconds of log lines of the busiest instance seen in trials. */
    private static final int QUEUE_CAPACITY_LINES = 2_048;

    /** The maximum size of the queued lines in bytes, a small part of the smallest heap. */
    private static final int QUEUE_CAPACITY_BYTES = 2_097_152;

    /** The writer to standard output. */
    public static final AsyncLineWriter STANDARD_OUTPUT =
            new AsyncLineWriter(new FileOutputStream(FileDescriptor.out));

    /** The lines not written yet. */
    private final ArrayBlockingQueue<byte[]> queue = new ArrayBlockingQueue<>(QUEUE_CAPACITY_LINES);

    /** The size of the lines not written yet in bytes. */
    private final AtomicLong queuedBytes = new AtomicLong();

    /** The number of lines dropped since the start. */
    private final AtomicLong droppedLines = new AtomicLong();

    /** The output, which may block. */
    private final OutputStream output;

    /**
     * Creates a writer and starts its daemon thread.
     *
     * @param output The output, which may block.
     */
    AsyncLineWriter(OutputStream output) {
        this.output = output;
        Thread thread = new Thread(this::writeLines, "log-writer");
        thread.setDaemon(true);
        thread.start();
    }

    /**
     * Queues a line, or drops it if the queue holds too many lines or bytes. Never blocks.
     *
     * @param line The line, including its line feed.
     * @return {@code true} if the line was queued, {@code false} if it was dropped.
     */
    public boolean offer(byte[] line) {
        boolean isQueued =
                queuedBytes.addAndGet(line.length) <= QUEUE_CAPACITY_BYTES && queue.offer(line);
        if (!isQueued) {
            queuedBytes.addAndGet(-line.length);
            droppedLines.incrementAndGet();
        }
        return isQueued;
    }

    /**
     * Returns the number of lines dropped since the start.
     *
     * @return The number of dropped lines.
     */
    public long droppedLines() {
        return droppedLines.get();
    }

    /**
     * Writes queued lines until the process exits or the output is closed, and reports dropped
     * lines whenever the queue is empty.
     */
    private void writeLines() {
        long reported = 0;
        try {
            while (true) {
                byte[] next = queue.take();
                output.write(next);
                queuedBytes.addAndGet(-next.length);
                long total = droppedLines.get();
                if (queue.isEmpty() && total != reported) {
                    String line =
                            "{\"event\":\"log_lines_dropped\",\"count\":"
                                    + (total - reported)
                                    + "}\n";
                    output.write(line.getBytes(java.nio.charset.StandardCharsets.UTF_8));
                    reported = total;
                }
            }
        } catch (IOException exception) {
            System.err.println(
                    "Log output cannot be written, later log lines are lost: "
                            + exception.getMessage());
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }
}
