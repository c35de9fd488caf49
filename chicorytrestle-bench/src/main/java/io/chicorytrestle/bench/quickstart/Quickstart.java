package io.chicorytrestle.bench.quickstart;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Runs load and a fixed sequence of faults against the prepared fleet and checks the promises. */
final class Quickstart {

    /** The number of chat loads. */
    private static final int CHAT_LOADS = 24;

    /** The number of booking loads. */
    private static final int BOOKING_LOADS = 4;

    /** The maximum time until all entry instances are ready, in milliseconds. */
    private static final long READY_TIMEOUT_MILLIS = 30_000;

    /** The duration of undisturbed load before the first fault in milliseconds. */
    private static final long STEADY_LOAD_MILLIS = 4_000;

    /** The index of the entry instance that is killed. */
    private static final int KILLED_INDEX = 1;

    /** The index of the entry instance that is shut down gracefully. */
    private static final int STOPPED_INDEX = 4;

    /** The prepared fleet. */
    private final Plan plan;

    /** Receives progress, results and commands for the shell script. */
    private final PrintStream out;

    /** The HTTP client that all loads share. */
    private final FleetClient client = new FleetClient();

    /** Reads the state of the fleet. */
    private final FleetMonitor monitor;

    /** Injects the faults. */
    private final FaultInjector faultInjector;

    /** The statistics that all chat loads share. */
    private final ChatStatistics chatStatistics = new ChatStatistics();

    /** The chat loads. */
    private final List<ChatLoad> chatLoads = new ArrayList<>();

    /** The booking loads. */
    private final List<BookingLoad> bookingLoads = new ArrayList<>();

    /** The threads of all loads. */
    private final List<Thread> threads = new ArrayList<>();

    /**
     * Creates a new run.
     *
     * @param plan The prepared fleet.
     * @param out Receives progress, results and commands for the shell script.
     */
    Quickstart(Plan plan, PrintStream out) {
        this.plan = plan;
        this.out = out;
        monitor = new FleetMonitor(plan, client);
        faultInjector = new FaultInjector(monitor, out);
    }

    /**
     * Runs the loads and all faults and prints the results.
     *
     * @return {@code true} if every promise was kept.
     * @throws IOException If the stand-ins refuse a command.
     * @throws InterruptedException If the thread is interrupted.
     */
    boolean run() throws IOException, InterruptedException {
        if (!awaitReady()) {
            return false;
        }
        Plan.Daemon killed = plan.daemons().get(KILLED_INDEX);
        Plan.Daemon stopped = plan.daemons().get(STOPPED_INDEX);
        startLoads();
        FleetMonitor.sleep(STEADY_LOAD_MILLIS);
        faultInjector.editTable();
        faultInjector.removeEngine();
        faultInjector.killAndRestart(killed);
        faultInjector.stopConfigurationService(chatStatistics::completeTurns);
        faultInjector.stopAndRestart(
                stopped, () -> chatStatistics.truncatedResponses(stopped.name()));
        stopLoads();
        List<PromiseResult> results = evaluate(Set.of(killed.name(), stopped.name()));
        results.forEach(result -> out.println(result.format()));
        return results.stream().allMatch(PromiseResult::kept);
    }

    /**
     * Waits until each entry instance is ready and prints how to call the fleet.
     *
     * @return {@code false} if an entry instance was not ready in time.
     * @throws InterruptedException If the thread is interrupted.
     */
    boolean printInstructions() throws InterruptedException {
        if (!awaitReady()) {
            return false;
        }
        Plan.Workspace workspace = plan.workspaces().get(0);
        for (Plan.Daemon daemon : plan.daemons()) {
            out.printf(
                    "%s in %s: callers %s, operators %s%n",
                    daemon.name(), daemon.zone(), daemon.callers(), daemon.operators());
        }
        out.printf(
                """

                curl -N %s/v1/chat/completions -H 'Authorization: Bearer %s:%s' -H 'X-Chat: seat-7' \\
                  -d '{"model":"%s","messages":[{"role":"user","content":"Is the seat tight?"}],\
                "max_tokens":16,"stream":true}'
                """,
                plan.daemons().get(0).callers(),
                workspace.name(),
                workspace.secret(),
                QuickstartTable.CHAT_POOL);
        return true;
    }

    /**
     * Waits until each entry instance completes a chat turn.
     *
     * @return {@code false} if an entry instance was not ready in time.
     * @throws InterruptedException If the thread is interrupted.
     */
    private boolean awaitReady() throws InterruptedException {
        long readyMillis = monitor.await(READY_TIMEOUT_MILLIS, monitor::respondsToChat);
        if (readyMillis < 0) {
            out.println(
                    "BROKEN an entry instance is not ready after " + READY_TIMEOUT_MILLIS + " ms");
            return false;
        }
        out.printf("%d entry instances ready after %d ms%n", plan.daemons().size(), readyMillis);
        return true;
    }

    /** Starts the loads, each on a thread of its own. */
    private void startLoads() {
        for (int number = 1; number <= CHAT_LOADS; number++) {
            ChatLoad load = new ChatLoad(plan, client, chatStatistics, number);
            chatLoads.add(load);
            threads.add(new Thread(load, "chats-" + number));
        }
        for (int number = 1; number <= BOOKING_LOADS; number++) {
            BookingLoad load = new BookingLoad(plan, client, number);
            bookingLoads.add(load);
            threads.add(new Thread(load, "bookings-" + number));
        }
        threads.forEach(Thread::start);
    }

    /**
     * Stops the loads and waits for their threads to end.
     *
     * @throws InterruptedException If the thread is interrupted.
     */
    private void stopLoads() throws InterruptedException {
        chatLoads.forEach(ChatLoad::stop);
        bookingLoads.forEach(BookingLoad::stop);
        for (Thread thread : threads) {
            thread.join();
        }
    }

    /**
     * Checks all promises and prints what went wrong.
     *
     * @param terminated The names of the entry instances that were killed or stopped during the
     *     run.
     * @return The results in the order in which they are printed.
     */
    private List<PromiseResult> evaluate(Set<String> terminated) {
        BookingCheck check =
                new BookingCheck(
                        bookingLoads.stream().flatMap(load -> load.bookings().stream()).toList(),
                        monitor.report("executions").path("byBody"));
        JsonNode reads = monitor.report("reads").path("configuration");
        out.printf(
                "configuration service: at most %d reads a second, %d waiting, %d refused%n",
                reads.path("peakSecond").asLong(),
                reads.path("waiting").asLong(),
                reads.path("refused").asLong());
        printCounts("chat tries repeated", chatStatistics.problems());
        printCounts("booking calls not confirmed", check.unconfirmedCalls());
        List<PromiseResult> results = new ArrayList<>();
        results.add(chatStatistics.checkResponses());
        results.add(check.checkAtMostOnce());
        results.add(check.checkRefusals());
        results.add(check.checkConfirmations(terminated));
        results.addAll(faultInjector.results());
        results.add(chatStatistics.reportReuse());
        return results;
    }

    /**
     * Prints counts, one per line.
     *
     * @param label The label of the counts.
     * @param counts The counts by problem.
     */
    private void printCounts(String label, Map<String, Integer> counts) {
        counts.forEach((problem, count) -> out.printf("%s: %d x %s%n", label, count, problem));
    }
}
