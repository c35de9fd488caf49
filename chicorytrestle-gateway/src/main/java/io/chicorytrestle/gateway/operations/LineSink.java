package io.chicorytrestle.gateway.operations;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.atomic.AtomicLong;

/** Writes lines from a bounded queue, so that no caller ever waits for the reader. */
public final class LineSink {

    /** The lines that may wait: several seconds of the busiest instance seen in trials. */
    private static final int CAPACITY_LINES = 2_048;

    /** The sink that writes to standard output. */
    public static final LineSink STANDARD_OUTPUT =
            new LineSink(new FileOutputStream(FileDescriptor.out));

    /** The lines that wait. */
    private final ArrayBlockingQueue<byte[]> lines = new ArrayBlockingQueue<>(CAPACITY_LINES);

    /** The lines that were dropped. */
    private final AtomicLong dropped = new AtomicLong();

    /** Where lines are written. */
    private final OutputStream output;

    /**
     * Creates a new sink and its thread.
     *
     * @param output Where lines are written.
     */
    LineSink(OutputStream output) {
        this.output = output;
        Thread thread = new Thread(this::write, "log-writer");
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
        boolean taken = lines.offer(line);
        if (!taken) {
            dropped.incrementAndGet();
        }
        return taken;
    }

    /**
     * Returns the number of lines that were dropped.
     *
     * @return The number of lines that were dropped.
     */
    public long dropped() {
        return dropped.get();
    }

    /** Writes lines until the process ends or the output is closed. */
    private void write() {
        long reported = 0;
        try {
            while (true) {
                output.write(lines.take());
                long now = dropped.get();
                if (lines.isEmpty() && now != reported) {
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
