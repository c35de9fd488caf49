package io.chicorytrestle.bench.quickstart;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.chicorytrestle.standin.model.ServiceModel;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Generates load by sending each booking with a ticket and repeating it with the same ticket to
 * another entry instance.
 */
final class BookingLoad implements Runnable {

    /** The operation that must run at most once per ticket. */
    private static final String OPERATION = "book";

    /** The verdict that guarantees that a call did not run. */
    private static final String NOT_RUN = "not_run";

    /** The maximum pause between bookings in milliseconds. */
    private static final int MAXIMUM_PAUSE_MILLIS = 200;

    /** The pause after a failed request for a ticket in milliseconds. */
    private static final long TICKET_RETRY_MILLIS = 300;

    /** Added to the load's number in the seed, so that chats use other random sequences. */
    private static final int RANDOM_STREAM_OFFSET = 1_000;

    /** Reads JSON. */
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** The fleet to call. */
    private final Plan plan;

    /** The HTTP client. */
    private final FleetClient client;

    /** The number of this load, which is part of its seed and its bookings' names. */
    private final int number;

    /** The random source, derived from the plan's seed. */
    private final UniformRandomProvider random;

    /** The bookings sent so far; guarded by itself. */
    private final List<Booking> bookings = new ArrayList<>();

    /** Whether the load keeps running; cleared by another thread. */
    private volatile boolean running = true;

    /**
     * Creates a new load, which runs on a thread of its own.
     *
     * @param plan The fleet to call.
     * @param client The HTTP client.
     * @param number The number of this load.
     */
    BookingLoad(Plan plan, FleetClient client, int number) {
        this.plan = plan;
        this.client = client;
        this.number = number;
        random =
                RandomSource.XO_RO_SHI_RO_128_PP.create(
                        new long[] {plan.seed(), RANDOM_STREAM_OFFSET + number});
    }

    /** Stops the load after the current booking; called by another thread. */
    void stop() {
        running = false;
    }

    @Override
    public void run() {
        try {
            for (int count = 1; running; count++) {
                book("visit-" + number + "-" + count);
                TimeUnit.MILLISECONDS.sleep(random.nextInt(MAXIMUM_PAUSE_MILLIS));
            }
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Returns the bookings sent so far.
     *
     * @return A copy of the bookings.
     */
    List<Booking> bookings() {
        synchronized (bookings) {
            return List.copyOf(bookings);
        }
    }

    /**
     * Sends a booking twice with the same ticket.
     *
     * @param visit The body, which is unique.
     * @throws InterruptedException If the thread is interrupted.
     */
    private void book(String visit) throws InterruptedException {
        Plan.Workspace workspace = plan.workspaces().get(random.nextInt(plan.workspaces().size()));
        int issuer = random.nextInt(plan.daemons().size());
        String ticket = requestTicket(plan.daemons().get(issuer), workspace);
        if (ticket.isEmpty()) {
            TimeUnit.MILLISECONDS.sleep(TICKET_RETRY_MILLIS);
            return;
        }
        int first = random.nextInt(plan.daemons().size());
        int second =
                (first + 1 + random.nextInt(plan.daemons().size() - 1)) % plan.daemons().size();
        FleetClient.CallResponse firstResponse = sendBooking(first, workspace, ticket, visit);
        FleetClient.CallResponse secondResponse = sendBooking(second, workspace, ticket, visit);
        synchronized (bookings) {
            bookings.add(
                    new Booking(
                            visit,
                            plan.daemons().get(issuer).name(),
                            firstResponse,
                            secondResponse));
        }
    }

    /**
     * Requests a ticket.
     *
     * @param daemon The entry instance to call.
     * @param workspace The workspace.
     * @return The ticket, or empty if the request failed.
     * @throws InterruptedException If the thread is interrupted.
     */
    private String requestTicket(Plan.Daemon daemon, Plan.Workspace workspace)
            throws InterruptedException {
        FleetClient.CallResponse response =
                client.call(
                        "POST",
                        daemon.callers() + "/v1/tickets",
                        workspace,
                        FleetClient.HeaderAndBody.NONE);
        try {
            JsonNode body = response.isOk() ? MAPPER.readTree(response.body()) : MAPPER.nullNode();
            return body.path("ticket").asText("");
        } catch (IOException exception) {
            return "";
        }
    }

    /**
     * Sends a booking with a ticket.
     *
     * @param daemon The index of the entry instance to call.
     * @param workspace The workspace.
     * @param ticket The ticket.
     * @param visit The body.
     * @return The response.
     * @throws InterruptedException If the thread is interrupted.
     */
    private FleetClient.CallResponse sendBooking(
            int daemon, Plan.Workspace workspace, String ticket, String visit)
            throws InterruptedException {
        String uri =
                "%s/v1/services/%s/%s"
                        .formatted(
                                plan.daemons().get(daemon).callers(),
                                QuickstartTable.BOOKING_POOL,
                                OPERATION);
        return client.call(
                "POST", uri, workspace, new FleetClient.HeaderAndBody("X-Ticket", ticket, visit));
    }

    /**
     * A booking and the responses to its two calls.
     *
     * @param visit The body.
     * @param issuer The name of the entry instance that issued the ticket.
     * @param firstResponse The response to the first call.
     * @param secondResponse The response to the repeated call.
     */
    record Booking(
            String visit,
            String issuer,
            FleetClient.CallResponse firstResponse,
            FleetClient.CallResponse secondResponse) {

        /**
         * Returns the key by which the service stand-ins count executions of this booking.
         *
         * @return The operation and the body, separated by a space.
         */
        String executionKey() {
            return OPERATION + " " + visit;
        }

        /**
         * Returns {@code true} if the booking's success was confirmed to the caller.
         *
         * @return {@code true} if at least one response was a success.
         */
        boolean isConfirmed() {
            return firstResponse.isOk() || secondResponse.isOk();
        }

        /**
         * Returns {@code true} if the caller may rely on the booking not having run.
         *
         * @return {@code true} if both responses have the verdict that it did not run.
         */
        boolean isRefused() {
            return firstResponse.verdict().equals(NOT_RUN)
                    && secondResponse.verdict().equals(NOT_RUN);
        }

        /**
         * Returns {@code true} if every confirmation belongs to this booking and they are equal.
         *
         * @return {@code true} if no confirmation belongs to another booking, or if there is none.
         */
        boolean hasMatchingConfirmations() {
            String prefix = ServiceModel.responsePrefix(OPERATION, visit) + " ";
            boolean belongs =
                    (!firstResponse.isOk() || firstResponse.body().startsWith(prefix))
                            && (!secondResponse.isOk() || secondResponse.body().startsWith(prefix));
            return belongs
                    && (!firstResponse.isOk()
                            || !secondResponse.isOk()
                            || firstResponse.body().equals(secondResponse.body()));
        }
    }
}
