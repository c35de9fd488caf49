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

/** Books with tickets and repeats each call, with the same ticket, at another entry instance. */
final class BookingLoad implements Runnable {

    /** The operation that may run once at most. */
    private static final String OPERATION = "book";

    /** The verdict of a call that certainly did not run. */
    private static final String NOT_RUN = "not_run";

    /** The longest pause between bookings in milliseconds. */
    private static final int MAXIMUM_PAUSE_MILLIS = 200;

    /** The pause after a refused ticket in milliseconds. */
    private static final long TICKET_RETRY_MILLIS = 300;

    /** Keeps the numbers of this load's choices apart from those of the chats. */
    private static final int RANDOM_STREAM_OFFSET = 1_000;

    /** Reads JSON. */
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** The fleet. */
    private final Plan plan;

    /** Calls the fleet. */
    private final FleetClient client;

    /** Names this load. */
    private final int number;

    /** Makes the choices. */
    private final UniformRandomProvider random;

    /** The bookings that were tried; guarded by itself. */
    private final List<Booking> bookings = new ArrayList<>();

    /** Whether the load goes on. */
    private volatile boolean running = true;

    /**
     * Creates a new load.
     *
     * @param plan The fleet.
     * @param client Calls the fleet.
     * @param number Names this load.
     */
    BookingLoad(Plan plan, FleetClient client, int number) {
        this.plan = plan;
        this.client = client;
        this.number = number;
        random =
                RandomSource.XO_RO_SHI_RO_128_PP.create(
                        new long[] {plan.seed(), RANDOM_STREAM_OFFSET + number});
    }

    /** Lets the load end after the present booking. */
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
     * Returns the bookings that were tried.
     *
     * @return The bookings that were tried.
     */
    List<Booking> bookings() {
        synchronized (bookings) {
            return List.copyOf(bookings);
        }
    }

    /**
     * Books once and repeats the call.
     *
     * @param visit The body, which no other booking has.
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
        FleetClient.CallResponse once = sendBooking(first, workspace, ticket, visit);
        FleetClient.CallResponse again = sendBooking(second, workspace, ticket, visit);
        synchronized (bookings) {
            bookings.add(new Booking(visit, plan.daemons().get(issuer).name(), once, again));
        }
    }

    /**
     * Asks for a ticket.
     *
     * @param daemon The entry instance to ask.
     * @param workspace The workspace.
     * @return The ticket, or empty if it was refused.
     * @throws InterruptedException If the thread is interrupted.
     */
    private String requestTicket(Plan.Daemon daemon, Plan.Workspace workspace)
            throws InterruptedException {
        FleetClient.CallResponse answer =
                client.call(
                        "POST",
                        daemon.callers() + "/v1/tickets",
                        workspace,
                        FleetClient.HeaderAndBody.NONE);
        try {
            JsonNode body = answer.isOk() ? MAPPER.readTree(answer.body()) : MAPPER.nullNode();
            return body.path("ticket").asText("");
        } catch (IOException exception) {
            return "";
        }
    }

    /**
     * Books with a ticket.
     *
     * @param daemon The position of the entry instance to call.
     * @param workspace The workspace.
     * @param ticket The ticket.
     * @param visit The body.
     * @return The answer.
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
     * Holds a booking and what its caller learned.
     *
     * @param visit The body.
     * @param issuer The name of the entry instance that issued the ticket.
     * @param firstResponse The answer to the first call.
     * @param secondResponse The answer to the repeated call.
     */
    record Booking(
            String visit,
            String issuer,
            FleetClient.CallResponse firstResponse,
            FleetClient.CallResponse secondResponse) {

        /**
         * Returns by what the plain services count this booking.
         *
         * @return The operation and the body.
         */
        String executionKey() {
            return OPERATION + " " + visit;
        }

        /**
         * Returns {@code true} if the caller was told of the booking's success.
         *
         * @return {@code true} if an answer was a success.
         */
        boolean isConfirmed() {
            return firstResponse.isOk() || secondResponse.isOk();
        }

        /**
         * Returns {@code true} if the caller was told only that the booking did not run.
         *
         * @return {@code true} if both answers say that it did not run.
         */
        boolean isRefused() {
            return firstResponse.verdict().equals(NOT_RUN)
                    && secondResponse.verdict().equals(NOT_RUN);
        }

        /**
         * Returns {@code true} if every confirmation is this booking's own and they agree.
         *
         * @return {@code true} if no confirmation is another's.
         */
        boolean hasMatchingConfirmations() {
            String beginning = ServiceModel.responsePrefix(OPERATION, visit) + " ";
            boolean own =
                    (!firstResponse.isOk() || firstResponse.body().startsWith(beginning))
                            && (!secondResponse.isOk()
                                    || secondResponse.body().startsWith(beginning));
            return own
                    && (!firstResponse.isOk()
                            || !secondResponse.isOk()
                            || firstResponse.body().equals(secondResponse.body()));
        }
    }
}
