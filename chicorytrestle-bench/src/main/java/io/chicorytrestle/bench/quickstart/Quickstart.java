package io.chicorytrestle.bench.quickstart;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Drives the prepared fleet through a fixed course of events and judges the promises. */
final class Quickstart {

    /** The loads of chats. */
    private static final int CHAT_LOADS = 24;

    /** The loads of bookings. */
    private static final int BOOKING_LOADS = 4;

    /** The longest wait for all entry instances in milliseconds. */
    private static final long READY_TIMEOUT_MILLIS = 30_000;

    /** The time of ordinary work before the first incident in milliseconds. */
    private static final long STEADY_LOAD_MILLIS = 4_000;

    /** The position of the entry instance that is killed. */
    private static final int KILLED_INDEX = 1;

    /** The position of the entry instance that is stopped gracefully. */
    private static final int STOPPED_INDEX = 4;

    /** The fleet. */
    private final Plan plan;

    /** Receives what happens. */
    private final PrintStream out;

    /** Calls the fleet. */
    private final FleetClient client = new FleetClient();

    /** Looks at the fleet. */
    private final FleetMonitor monitor;

    /** Brings about what fails. */
    private final FaultInjector faultInjector;

    /** Counts the chats' outcomes. */
    private final ChatStatistics chatStatistics = new ChatStatistics();

    /** The loads of chats. */
    private final List<ChatLoad> chatLoads = new ArrayList<>();

    /** The loads of bookings. */
    private final List<BookingLoad> bookingLoads = new ArrayList<>();

    /** The threads of all loads. */
    private final List<Thread> threads = new ArrayList<>();

    /**
     * Creates a new run.
     *
     * @param plan The fleet.
     * @param out Receives what happens.
     */
    Quickstart(Plan plan, PrintStream out) {
        this.plan = plan;
        this.out = out;
        monitor = new FleetMonitor(plan, client);
        faultInjector = new FaultInjector(monitor, out);
    }

    /**
     * Runs the whole course.
     *
     * @return {@code true} if every promise was kept.
     * @throws IOException If a stand-in cannot be switched.
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
        faultInjector.stopAndRestart(stopped, () -> chatStatistics.truncatedResponses(stopped.name()));
        stopLoads();
        List<PromiseResult> findings = evaluate(Set.of(killed.name(), stopped.name()));
        findings.forEach(finding -> out.println(finding.format()));
        return findings.stream().allMatch(PromiseResult::kept);
    }

    /**
     * Waits until each entry instance answers and prints how to talk to the fleet.
     *
     * @return {@code true} if each entry instance answers.
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
     * Waits until each entry instance answers a chat turn.
     *
     * @return {@code true} if each entry instance answers.
     * @throws InterruptedException If the thread is interrupted.
     */
    private boolean awaitReady() throws InterruptedException {
        long ready = monitor.await(READY_TIMEOUT_MILLIS, monitor::respondsToChat);
        if (ready < 0) {
            out.println("BROKEN an entry instance is not ready after " + READY_TIMEOUT_MILLIS + " ms");
            return false;
        }
        out.printf("%d entry instances ready after %d ms%n", plan.daemons().size(), ready);
        return true;
    }

    /** Starts chats and bookings. */
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
     * Stops chats and bookings.
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
     * Judges what the loads and the incidents showed.
     *
     * @param ended The names of the entry instances that ended during the run.
     * @return The findings in order.
     */
    private List<PromiseResult> evaluate(Set<String> ended) {
        BookingCheck verdict =
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
        printCounts("booking calls not confirmed", verdict.unconfirmedCalls());
        List<PromiseResult> findings = new ArrayList<>();
        findings.add(chatStatistics.checkResponses());
        findings.add(verdict.checkAtMostOnce());
        findings.add(verdict.checkRefusals());
        findings.add(verdict.checkConfirmations(ended));
        findings.addAll(faultInjector.results());
        findings.add(chatStatistics.reportReuse());
        return findings;
    }

    /**
     * Prints counts.
     *
     * @param what What is counted.
     * @param counts The counts.
     */
    private void printCounts(String what, Map<String, Integer> counts) {
        counts.forEach((problem, count) -> out.printf("%s: %d x %s%n", what, count, problem));
    }
}
