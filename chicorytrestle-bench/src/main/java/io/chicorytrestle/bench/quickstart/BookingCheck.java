package io.chicorytrestle.bench.quickstart;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** Compares the responses to bookings with what the service stand-ins executed. */
final class BookingCheck {

    /** The bookings of all loads. */
    private final List<BookingLoad.Booking> bookings;

    /** The number of executions by operation and body, as reported by the stand-ins. */
    private final JsonNode executions;

    /**
     * Creates a new check.
     *
     * @param bookings The bookings of all loads.
     * @param executions The number of executions by operation and body.
     */
    BookingCheck(List<BookingLoad.Booking> bookings, JsonNode executions) {
        this.bookings = List.copyOf(bookings);
        this.executions = executions;
    }

    /**
     * Checks that no booking ran twice and that every confirmed booking ran.
     *
     * @return The result.
     */
    PromiseResult checkAtMostOnce() {
        long twice = bookings.stream().filter(booking -> executionCount(booking) > 1).count();
        long confirmed = bookings.stream().filter(BookingLoad.Booking::isConfirmed).count();
        long lost =
                bookings.stream()
                        .filter(booking -> booking.isConfirmed() && executionCount(booking) == 0)
                        .count();
        long foreign =
                bookings.stream().filter(booking -> !booking.hasMatchingConfirmations()).count();
        return new PromiseResult(
                "a booking runs at most once",
                twice == 0 && lost == 0 && foreign == 0 && confirmed > 0,
                "%d bookings each called twice, %d confirmed, %d ran twice, %d confirmed but lost, %d not their own"
                        .formatted(bookings.size(), confirmed, twice, lost, foreign));
    }

    /**
     * Checks that no booking ran that was refused with the verdict that it did not run.
     *
     * @return The result.
     */
    PromiseResult checkRefusals() {
        long refused = bookings.stream().filter(BookingLoad.Booking::isRefused).count();
        long ran =
                bookings.stream()
                        .filter(booking -> booking.isRefused() && executionCount(booking) > 0)
                        .count();
        return new PromiseResult(
                "what is refused as not run did not run",
                ran == 0,
                "%d bookings refused, %d of them ran".formatted(refused, ran));
    }

    /**
     * Checks that every booking was confirmed unless the issuer of its ticket was terminated.
     *
     * @param terminated The names of the entry instances that were killed or stopped during the
     *     run.
     * @return The result.
     */
    PromiseResult checkConfirmations(Set<String> terminated) {
        List<BookingLoad.Booking> withLiveIssuer =
                bookings.stream()
                        .filter(booking -> !terminated.contains(booking.issuer()))
                        .toList();
        long unconfirmed =
                withLiveIssuer.stream().filter(booking -> !booking.isConfirmed()).count();
        return new PromiseResult(
                "a booking is confirmed while its issuer lives",
                unconfirmed == 0,
                "%d bookings by issuers that lived, %d not confirmed"
                        .formatted(withLiveIssuer.size(), unconfirmed));
    }

    /**
     * Returns the unsuccessful responses.
     *
     * @return The number of responses by status, error code and verdict.
     */
    Map<String, Integer> unconfirmedCalls() {
        Map<String, Integer> responses = new TreeMap<>();
        for (BookingLoad.Booking booking : bookings) {
            for (FleetClient.CallResponse response :
                    List.of(booking.firstResponse(), booking.secondResponse())) {
                if (!response.isOk()) {
                    String code = response.body().replaceAll(".*\"code\":\"([a-z_]*)\".*", "$1");
                    responses.merge(
                            response.status() + " " + code + " " + response.verdict(),
                            1,
                            Integer::sum);
                }
            }
        }
        return responses;
    }

    /**
     * Returns the number of executions of a booking.
     *
     * @param booking The booking.
     * @return The number of executions, zero if the stand-ins report none.
     */
    private int executionCount(BookingLoad.Booking booking) {
        return executions.path(booking.executionKey()).asInt();
    }
}
