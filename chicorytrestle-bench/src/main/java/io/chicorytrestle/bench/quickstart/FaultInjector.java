package io.chicorytrestle.bench.quickstart;

import java.io.IOException;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.function.LongSupplier;

/** Injects faults and configuration changes under load and checks the fleet's reaction. */
final class FaultInjector {

    /** The version of the edited table. */
    static final long EDITED_VERSION = 2;

    /** The maximum time until a table is in force everywhere, in milliseconds. */
    private static final long TABLE_PROPAGATION_MILLIS = 7_000;

    /** The time-out for waiting for a condition, in milliseconds. */
    private static final long TIMEOUT_MILLIS = 15_000;

    /** The duration of a fault, and of the load that is observed after it, in milliseconds. */
    private static final long STEADY_LOAD_MILLIS = 3_000;

    /** The time after which a leaving engine must not receive new work, in milliseconds. */
    private static final long LEAVE_GRACE_MILLIS = 5_000;

    /** The engine that is removed. */
    private static final String LEAVING_ENGINE = "engine-catania-1";

    /** Reads the state of the fleet and controls the stand-ins. */
    private final FleetMonitor monitor;

    /** Receives progress, and commands for the shell script in lines that start with an at sign. */
    private final PrintStream out;

    /** The results in order of the faults. */
    private final List<PromiseResult> results = new ArrayList<>();

    /**
     * Creates a new injector.
     *
     * @param monitor Reads the state of the fleet and controls the stand-ins.
     * @param out Receives progress and commands for the shell script.
     */
    FaultInjector(FleetMonitor monitor, PrintStream out) {
        this.monitor = monitor;
        this.out = out;
    }

    /**
     * Returns the results so far.
     *
     * @return A copy of the results in order.
     */
    List<PromiseResult> results() {
        return List.copyOf(results);
    }

    /**
     * Publishes an edited table and waits until it is in force everywhere.
     *
     * @throws IOException If the table cannot be published.
     * @throws InterruptedException If the thread is interrupted.
     */
    void editTable() throws IOException, InterruptedException {
        out.println("editing the table");
        publishTable(EDITED_VERSION);
        long elapsedMillis = monitor.await(TIMEOUT_MILLIS, this::hasEditedTable);
        addResult(
                "an accepted table is in force everywhere",
                elapsedMillis >= 0 && elapsedMillis <= TABLE_PROPAGATION_MILLIS,
                elapsedMillis < 0
                        ? "not in force everywhere after %d ms".formatted(TIMEOUT_MILLIS)
                        : "version %d everywhere after %d ms"
                                .formatted(EDITED_VERSION, elapsedMillis));
    }

    /**
     * Drains an engine and crashes it after checking that it receives no new work.
     *
     * @throws IOException If the stand-ins refuse a command.
     * @throws InterruptedException If the thread is interrupted.
     */
    void removeEngine() throws IOException, InterruptedException {
        out.println("taking away " + LEAVING_ENGINE);
        monitor.command("POST", "endpoints/" + LEAVING_ENGINE + "/leave", "");
        FleetMonitor.sleep(LEAVE_GRACE_MILLIS);
        long before = requestsToLeavingEngine();
        FleetMonitor.sleep(STEADY_LOAD_MILLIS);
        long requests = requestsToLeavingEngine() - before;
        monitor.command("POST", "endpoints/" + LEAVING_ENGINE + "/crash", "");
        addResult(
                "a leaving engine receives no new work",
                requests == 0,
                "%d requests in %d ms, from %d ms after it began to leave"
                        .formatted(requests, STEADY_LOAD_MILLIS, LEAVE_GRACE_MILLIS));
    }

    /**
     * Kills an entry instance without warning and restarts it.
     *
     * @param daemon The entry instance.
     * @throws InterruptedException If the thread is interrupted.
     */
    void killAndRestart(Plan.Daemon daemon) throws InterruptedException {
        out.println("killing " + daemon.name());
        out.println("@kill " + daemon.name());
        FleetMonitor.sleep(STEADY_LOAD_MILLIS);
        out.println("@start " + daemon.name());
        long elapsedMillis =
                monitor.await(
                        TIMEOUT_MILLIS,
                        other ->
                                !other.equals(daemon)
                                        || (hasEditedTable(other)
                                                && monitor.respondsToChat(other)));
        addResult(
                "a killed entry instance comes back",
                elapsedMillis >= 0,
                "%s answers under table version %d after %d ms"
                        .formatted(daemon.name(), monitor.tableVersion(daemon), elapsedMillis));
    }

    /**
     * Shuts an entry instance down gracefully while requests are in flight and restarts it.
     *
     * @param daemon The entry instance.
     * @param truncatedResponses Returns the number of truncated responses from the entry instance.
     * @throws InterruptedException If the thread is interrupted.
     */
    void stopAndRestart(Plan.Daemon daemon, LongSupplier truncatedResponses)
            throws InterruptedException {
        out.println("stopping " + daemon.name());
        long before = truncatedResponses.getAsLong();
        out.println("@stop " + daemon.name());
        FleetMonitor.sleep(STEADY_LOAD_MILLIS);
        long truncated = truncatedResponses.getAsLong() - before;
        out.println("@start " + daemon.name());
        long elapsedMillis =
                monitor.await(
                        TIMEOUT_MILLIS,
                        other -> !other.equals(daemon) || monitor.respondsToChat(other));
        addResult(
                "a graceful shutdown cuts no request",
                truncated == 0 && elapsedMillis >= 0,
                "%d answers of %s ended early".formatted(truncated, daemon.name()));
    }

    /**
     * Stops the configuration service for a while and then offers an outdated table.
     *
     * @param completeTurns Returns the number of completed turns.
     * @throws IOException If the stand-ins refuse a command.
     * @throws InterruptedException If the thread is interrupted.
     */
    void stopConfigurationService(LongSupplier completeTurns)
            throws IOException, InterruptedException {
        out.println("taking the configuration service down");
        monitor.command("POST", "configuration/down", "");
        long before = completeTurns.getAsLong();
        FleetMonitor.sleep(STEADY_LOAD_MILLIS);
        long completed = completeTurns.getAsLong() - before;
        addResult(
                "the fleet serves without the configuration",
                completed > 0 && monitor.holdsEverywhere(this::hasEditedTable),
                "%d turns answered in %d ms".formatted(completed, STEADY_LOAD_MILLIS));
        publishTable(1);
        monitor.command("POST", "configuration/up", "");
        FleetMonitor.sleep(STEADY_LOAD_MILLIS);
        addResult(
                "a table never reverts to an older one",
                monitor.holdsEverywhere(this::hasEditedTable),
                "version 1 was offered, version %d stayed".formatted(EDITED_VERSION));
    }

    /**
     * Publishes a version of the table.
     *
     * @param version The version.
     * @throws IOException If it cannot be published.
     * @throws InterruptedException If the thread is interrupted.
     */
    private void publishTable(long version) throws IOException, InterruptedException {
        monitor.command("PUT", "values/table", QuickstartTable.toYaml(version));
    }

    /**
     * Returns {@code true} if the edited table is in force at an entry instance.
     *
     * @param daemon The entry instance.
     * @return {@code true} if the edited table is in force.
     */
    private boolean hasEditedTable(Plan.Daemon daemon) {
        return monitor.tableVersion(daemon) == EDITED_VERSION;
    }

    /**
     * Returns the number of requests that reached the engine that is removed.
     *
     * @return The number of requests, including refused ones.
     */
    private long requestsToLeavingEngine() {
        return monitor.engine(LEAVING_ENGINE).path("totals").path("asked").asLong();
    }

    /**
     * Adds a result.
     *
     * @param promise The promise.
     * @param kept Whether it was kept.
     * @param detail The observed numbers.
     */
    private void addResult(String promise, boolean kept, String detail) {
        results.add(new PromiseResult(promise, kept, detail));
    }
}
