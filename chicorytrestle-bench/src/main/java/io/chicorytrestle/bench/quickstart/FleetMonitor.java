package io.chicorytrestle.bench.quickstart;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/** Reads the state of the fleet and of the stand-ins and waits for conditions. */
final class FleetMonitor {

    /** The interval between two checks of a condition in milliseconds. */
    private static final long POLL_INTERVAL_MILLIS = 100;

    /** The fleet to monitor. */
    private final Plan plan;

    /** The HTTP client. */
    private final FleetClient client;

    /**
     * Creates a new monitor.
     *
     * @param plan The fleet to monitor.
     * @param client The HTTP client.
     */
    FleetMonitor(Plan plan, FleetClient client) {
        this.plan = plan;
        this.client = client;
    }

    /**
     * Sends a chat turn and returns {@code true} if an entry instance completes it.
     *
     * @param daemon The entry instance.
     * @return {@code true} if the response is complete.
     */
    boolean respondsToChat(Plan.Daemon daemon) {
        FleetClient.ChatTurn turn = new FleetClient.ChatTurn(List.of("ready?"), 1, "");
        try {
            return client.sendTurn(daemon, plan.workspaces().get(0), "ready", turn).complete();
        } catch (InterruptedException exception) {
            throw interrupted(daemon.name(), exception);
        }
    }

    /**
     * Returns the version of the table that is in force at an entry instance.
     *
     * @param daemon The entry instance.
     * @return The version, or zero if the operator port cannot be read.
     */
    long tableVersion(Plan.Daemon daemon) {
        return read(daemon.operators() + "/table").path("version").asLong();
    }

    /**
     * Reads a report of the stand-ins' control server.
     *
     * @param report The name of the report.
     * @return The report, or a missing node if it cannot be read.
     */
    JsonNode report(String report) {
        return read(plan.control() + "/standin/" + report);
    }

    /**
     * Reads the report of an engine stand-in.
     *
     * @param name The engine's name.
     * @return The report, or a missing node if it cannot be read.
     */
    JsonNode engine(String name) {
        JsonNode engines = report("engines");
        for (JsonNode engine : engines) {
            if (engine.path("name").asText().equals(name)) {
                return engine;
            }
        }
        return engines.path("missing");
    }

    /**
     * Sends a command to the stand-ins' control server.
     *
     * @param method The HTTP method.
     * @param path The path below {@code /standin/}.
     * @param body The body.
     * @throws IOException If the command is refused or the server cannot be reached.
     * @throws InterruptedException If the thread is interrupted.
     */
    void command(String method, String path, String body) throws IOException, InterruptedException {
        client.command(method, plan.control() + "/standin/" + path, body);
    }

    /**
     * Waits until a condition holds for every entry instance.
     *
     * @param timeoutMillis The maximum wait in milliseconds.
     * @param condition The condition.
     * @return The elapsed milliseconds, or a negative number after a time-out.
     * @throws InterruptedException If the thread is interrupted.
     */
    long await(long timeoutMillis, Predicate<Plan.Daemon> condition) throws InterruptedException {
        long startNanos = System.nanoTime();
        while (elapsedMillis(startNanos) < timeoutMillis) {
            if (holdsEverywhere(condition)) {
                return elapsedMillis(startNanos);
            }
            sleep(POLL_INTERVAL_MILLIS);
        }
        return -1;
    }

    /**
     * Returns {@code true} if a condition holds for every entry instance now.
     *
     * @param condition The condition.
     * @return {@code true} if it holds for every entry instance.
     */
    boolean holdsEverywhere(Predicate<Plan.Daemon> condition) {
        return plan.daemons().stream().allMatch(condition);
    }

    /**
     * Sleeps.
     *
     * @param millis The duration in milliseconds.
     * @throws InterruptedException If the thread is interrupted.
     */
    static void sleep(long millis) throws InterruptedException {
        TimeUnit.MILLISECONDS.sleep(millis);
    }

    /**
     * Returns the time since a start.
     *
     * @param startNanos The start by the system's nanosecond clock.
     * @return The elapsed milliseconds.
     */
    private static long elapsedMillis(long startNanos) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
    }

    /**
     * Reads JSON, turning an interruption into an unchecked exception for use in predicates.
     *
     * @param uri The URI.
     * @return The JSON, or a missing node if the call failed.
     */
    private JsonNode read(String uri) {
        try {
            return client.read(uri);
        } catch (InterruptedException exception) {
            throw interrupted(uri, exception);
        }
    }

    /**
     * Restores the interrupt flag and returns an exception to throw.
     *
     * @param target The entry instance or URI that was being called.
     * @param cause The interruption.
     * @return The exception.
     */
    private static IllegalStateException interrupted(String target, InterruptedException cause) {
        Thread.currentThread().interrupt();
        return new IllegalStateException("Monitoring interrupted while calling " + target, cause);
    }
}
