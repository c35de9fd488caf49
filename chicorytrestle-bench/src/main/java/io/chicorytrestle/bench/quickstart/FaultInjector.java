package io.chicorytrestle.bench.quickstart;

import java.io.IOException;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.function.LongSupplier;

/** Brings about what fails on ordinary days while the loads go on, and judges what it showed. */
final class FaultInjector {

    /** The version of the edited table. */
    static final long EDITED_VERSION = 2;

    /** The time in which a table has to be in force everywhere, in milliseconds. */
    private static final long TABLE_PROPAGATION_MILLIS = 7_000;

    /** The longest wait for something to come true, in milliseconds. */
    private static final long TIMEOUT_MILLIS = 15_000;

    /** The time of ordinary work around an incident in milliseconds. */
    private static final long STEADY_LOAD_MILLIS = 3_000;

    /** The time after which a leaving engine may receive no new work, in milliseconds. */
    private static final long LEAVE_GRACE_MILLIS = 5_000;

    /** The engine that is taken away. */
    private static final String LEAVING_ENGINE = "engine-catania-1";

    /** Looks at the fleet. */
    private final FleetMonitor monitor;

    /** Receives what happens, and what the shell is to do. */
    private final PrintStream out;

    /** What the incidents showed. */
    private final List<PromiseResult> results = new ArrayList<>();

    /**
     * Creates new incidents.
     *
     * @param watch Looks at the fleet.
     * @param out Receives what happens, and what the shell is to do.
     */
    FaultInjector(FleetMonitor watch, PrintStream out) {
        this.monitor = watch;
        this.out = out;
    }

    /**
     * Returns what the incidents showed.
     *
     * @return The findings in order.
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
        long took = monitor.await(TIMEOUT_MILLIS, this::hasEditedTable);
        addResult(
                "an accepted table is in force everywhere",
                took >= 0 && took <= TABLE_PROPAGATION_MILLIS,
                took < 0
                        ? "not in force everywhere after %d ms".formatted(TIMEOUT_MILLIS)
                        : "version %d everywhere after %d ms".formatted(EDITED_VERSION, took));
    }

    /**
     * Lets an engine leave, and takes it away once it may receive no new work.
     *
     * @throws IOException If the engine cannot be switched.
     * @throws InterruptedException If the thread is interrupted.
     */
    void removeEngine() throws IOException, InterruptedException {
        out.println("taking away " + LEAVING_ENGINE);
        monitor.command("POST", "endpoints/" + LEAVING_ENGINE + "/leave", "");
        FleetMonitor.sleep(LEAVE_GRACE_MILLIS);
        long before = requestsToLeavingEngine();
        FleetMonitor.sleep(STEADY_LOAD_MILLIS);
        long late = requestsToLeavingEngine() - before;
        monitor.command("POST", "endpoints/" + LEAVING_ENGINE + "/crash", "");
        addResult(
                "a leaving engine receives no new work",
                late == 0,
                "%d requests in %d ms, from %d ms after it began to leave"
                        .formatted(late, STEADY_LOAD_MILLIS, LEAVE_GRACE_MILLIS));
    }

    /**
     * Kills an entry instance without warning and starts it again.
     *
     * @param daemon The entry instance.
     * @throws InterruptedException If the thread is interrupted.
     */
    void killAndRestart(Plan.Daemon daemon) throws InterruptedException {
        out.println("killing " + daemon.name());
        out.println("@kill " + daemon.name());
        FleetMonitor.sleep(STEADY_LOAD_MILLIS);
        out.println("@start " + daemon.name());
        long took =
                monitor.await(
                        TIMEOUT_MILLIS,
                        one -> !one.equals(daemon) || (hasEditedTable(one) && monitor.respondsToChat(one)));
        addResult(
                "a killed entry instance comes back",
                took >= 0,
                "%s answers under table version %d after %d ms"
                        .formatted(daemon.name(), monitor.tableVersion(daemon), took));
    }

    /**
     * Stops an entry instance gracefully while requests are in flight, and starts it again.
     *
     * @param daemon The entry instance.
     * @param cuts Counts the answers of the entry instance that ended early.
     * @throws InterruptedException If the thread is interrupted.
     */
    void stopAndRestart(Plan.Daemon daemon, LongSupplier cuts) throws InterruptedException {
        out.println("stopping " + daemon.name());
        long before = cuts.getAsLong();
        out.println("@stop " + daemon.name());
        FleetMonitor.sleep(STEADY_LOAD_MILLIS);
        long cut = cuts.getAsLong() - before;
        out.println("@start " + daemon.name());
        long took = monitor.await(TIMEOUT_MILLIS, one -> !one.equals(daemon) || monitor.respondsToChat(one));
        addResult(
                "a graceful shutdown cuts no request",
                cut == 0 && took >= 0,
                "%d answers of %s ended early".formatted(cut, daemon.name()));
    }

    /**
     * Takes the configuration service down for a while, and then offers an old table.
     *
     * @param turns Counts the turns that were answered.
     * @throws IOException If the service cannot be switched.
     * @throws InterruptedException If the thread is interrupted.
     */
    void stopConfigurationService(LongSupplier turns) throws IOException, InterruptedException {
        out.println("taking the configuration service down");
        monitor.command("POST", "configuration/down", "");
        long before = turns.getAsLong();
        FleetMonitor.sleep(STEADY_LOAD_MILLIS);
        long answered = turns.getAsLong() - before;
        addResult(
                "the fleet serves without the configuration",
                answered > 0 && monitor.holdsEverywhere(this::hasEditedTable),
                "%d turns answered in %d ms".formatted(answered, STEADY_LOAD_MILLIS));
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
     * Returns the requests that reached the engine that is taken away.
     *
     * @return The requests, refused ones included.
     */
    private long requestsToLeavingEngine() {
        return monitor.engine(LEAVING_ENGINE).path("totals").path("asked").asLong();
    }

    /**
     * Takes note of a finding.
     *
     * @param promise The promise.
     * @param kept Whether it was kept.
     * @param detail What was seen.
     */
    private void addResult(String promise, boolean kept, String detail) {
        results.add(new PromiseResult(promise, kept, detail));
    }
}
