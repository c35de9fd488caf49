package io.chicorytrestle.gateway.operations;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.atomic.AtomicLong;

/** Writes lines from a bounded queue, so that no caller ever waits for the reader. */
public final class AsyncLineWriter {

    /** The lines that may wait: several seconds of the busiest instance seen in trials. */
    private static final int QUEUE_CAPACITY_LINES = 2_048;

    /** The sink that writes to standard output. */
    public static final AsyncLineWriter STANDARD_OUTPUT =
            new AsyncLineWriter(new FileOutputStream(FileDescriptor.out));

    /** The lines that wait. */
    private final ArrayBlockingQueue<byte[]> queue = new ArrayBlockingQueue<>(QUEUE_CAPACITY_LINES);

    /** The lines that were dropped. */
    private final AtomicLong droppedLines = new AtomicLong();

    /** Where lines are written. */
    private final OutputStream output;

    /**
     * Creates a new sink and its thread.
     *
     * @param output Where lines are written.
     */
    AsyncLineWriter(OutputStream output) {
        this.output = output;
        Thread thread = new Thread(this::writeLines, "log-writer");
        thread.setDaemon(true);
        thread.start();
    }

    /**
     * Offers a line, which is dropped if too many wait.
     *
     * @param line The line with its end.
     * @return {@code true} if the line will be written.
     */
    public boolean offer(byte[] line) {
        boolean taken = queue.offer(line);
        if (!taken) {
            droppedLines.incrementAndGet();
        }
        return taken;
    }

    /**
     * Returns the number of lines that were dropped.
     *
     * @return The number of lines that were dropped.
     */
    public long droppedLines() {
        return droppedLines.get();
    }

    /** Writes lines until the process ends or the output is closed. */
    private void writeLines() {
        long reported = 0;
        try {
            while (true) {
                output.write(queue.take());
                long now = droppedLines.get();
                if (queue.isEmpty() && now != reported) {
                    String line =
                            "{\"event\":\"log_lines_dropped\",\"count\":"
                                    + (now - reported)
                                    + "}\n";
                    output.write(line.getBytes(java.nio.charset.StandardCharsets.UTF_8));
                    reported = now;
                }
            }
        } catch (IOException exception) {
            System.err.println("Log output is closed: " + exception.getMessage());
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }
}
