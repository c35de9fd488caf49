package io.chicorytrestle.bench.quickstart;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/** Looks at the fleet and at the stand-ins, and waits for what is to come true. */
final class FleetMonitor {

    /** The pause between two looks in milliseconds. */
    private static final long POLL_INTERVAL_MILLIS = 100;

    /** The fleet. */
    private final Plan plan;

    /** Calls the fleet. */
    private final FleetClient client;

    /**
     * Creates a new watch.
     *
     * @param plan The fleet.
     * @param client Calls the fleet.
     */
    FleetMonitor(Plan plan, FleetClient client) {
        this.plan = plan;
        this.client = client;
    }

    /**
     * Returns {@code true} if an entry instance answers a chat turn.
     *
     * @param daemon The entry instance.
     * @return {@code true} if the answer is whole.
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
     * @return The version, or zero if it cannot be told.
     */
    long tableVersion(Plan.Daemon daemon) {
        return read(daemon.operators() + "/table").path("version").asLong();
    }

    /**
     * Reads what the stand-ins' control reports.
     *
     * @param report The name of the report.
     * @return The report, or a missing node.
     */
    JsonNode report(String report) {
        return read(plan.control() + "/standin/" + report);
    }

    /**
     * Reads what an engine did.
     *
     * @param name The engine's name.
     * @return The report, or a missing node.
     */
    JsonNode engine(String name) {
        JsonNode all = report("engines");
        for (JsonNode engine : all) {
            if (engine.path("name").asText().equals(name)) {
                return engine;
            }
        }
        return all.path("missing");
    }

    /**
     * Tells the stand-ins' control to do something.
     *
     * @param method The method.
     * @param path The path.
     * @param body The body.
     * @throws IOException If the control refuses or cannot be reached.
     * @throws InterruptedException If the thread is interrupted.
     */
    void command(String method, String path, String body) throws IOException, InterruptedException {
        client.command(method, plan.control() + "/standin/" + path, body);
    }

    /**
     * Waits until a condition holds for every entry instance.
     *
     * @param timeoutMillis The longest wait in milliseconds.
     * @param condition The condition.
     * @return The milliseconds that it took, or a negative number if it did not come true.
     * @throws InterruptedException If the thread is interrupted.
     */
    long await(long timeoutMillis, Predicate<Plan.Daemon> condition) throws InterruptedException {
        long begin = System.nanoTime();
        while (elapsedMillis(begin) < timeoutMillis) {
            if (holdsEverywhere(condition)) {
                return elapsedMillis(begin);
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
     * Lets time pass.
     *
     * @param millis The milliseconds.
     * @throws InterruptedException If the thread is interrupted.
     */
    static void sleep(long millis) throws InterruptedException {
        TimeUnit.MILLISECONDS.sleep(millis);
    }

    /**
     * Returns how long something took.
     *
     * @param beginNanos When it began.
     * @return The milliseconds since.
     */
    private static long elapsedMillis(long beginNanos) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - beginNanos);
    }

    /**
     * Reads JSON.
     *
     * @param uri The address.
     * @return The JSON, or a missing node.
     */
    private JsonNode read(String uri) {
        try {
            return client.read(uri);
        } catch (InterruptedException exception) {
            throw interrupted(uri, exception);
        }
    }

    /**
     * Returns the failure of an interrupted run.
     *
     * @param where What was asked.
     * @param cause The interruption.
     * @return The failure.
     */
    private static IllegalStateException interrupted(String where, InterruptedException cause) {
        Thread.currentThread().interrupt();
        return new IllegalStateException("Cannot go on, interrupted at: " + where, cause);
    }
}
