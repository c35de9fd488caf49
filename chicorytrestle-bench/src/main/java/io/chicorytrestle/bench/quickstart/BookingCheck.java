package io.chicorytrestle.bench.quickstart;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** Compares what callers were told of their bookings with what the plain services executed. */
final class BookingCheck {

    /** The bookings. */
    private final List<BookingLoad.Booking> bookings;

    /** The executions by operation and body. */
    private final JsonNode executions;

    /**
     * Creates a new comparison.
     *
     * @param bookings The bookings.
     * @param executions The executions by operation and body.
     */
    BookingCheck(List<BookingLoad.Booking> bookings, JsonNode executions) {
        this.bookings = List.copyOf(bookings);
        this.executions = executions;
    }

    /**
     * Judges whether anything ran twice.
     *
     * @return The finding.
     */
    PromiseResult checkAtMostOnce() {
        long twice = bookings.stream().filter(booking -> executionCount(booking) > 1).count();
        long confirmed = bookings.stream().filter(BookingLoad.Booking::isConfirmed).count();
        long lost =
                bookings.stream()
                        .filter(booking -> booking.isConfirmed() && executionCount(booking) == 0)
                        .count();
        long foreign = bookings.stream().filter(booking -> !booking.hasMatchingConfirmations()).count();
        return new PromiseResult(
                "a booking runs at most once",
                twice == 0 && lost == 0 && foreign == 0 && confirmed > 0,
                "%d bookings each called twice, %d confirmed, %d ran twice, %d confirmed but lost, %d not their own"
                        .formatted(bookings.size(), confirmed, twice, lost, foreign));
    }

    /**
     * Judges whether what was refused as not run did not run.
     *
     * @return The finding.
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
     * Judges whether every booking was confirmed whose ticket's issuer lived.
     *
     * @param ended The names of the entry instances that ended during the run.
     * @return The finding.
     */
    PromiseResult checkConfirmations(Set<String> ended) {
        List<BookingLoad.Booking> lasting =
                bookings.stream().filter(booking -> !ended.contains(booking.issuer())).toList();
        long unconfirmed = lasting.stream().filter(booking -> !booking.isConfirmed()).count();
        return new PromiseResult(
                "a booking is confirmed while its issuer lives",
                unconfirmed == 0,
                "%d bookings by issuers that lived, %d not confirmed"
                        .formatted(lasting.size(), unconfirmed));
    }

    /**
     * Returns why bookings were not confirmed.
     *
     * @return The answers' statuses and verdicts and how often each was met.
     */
    Map<String, Integer> unconfirmedCalls() {
        Map<String, Integer> problems = new TreeMap<>();
        for (BookingLoad.Booking booking : bookings) {
            for (FleetClient.CallResponse answer : List.of(booking.firstResponse(), booking.secondResponse())) {
                if (!answer.isOk()) {
                    String code = answer.body().replaceAll(".*\"code\":\"([a-z_]*)\".*", "$1");
                    problems.merge(
                            answer.status() + " " + code + " " + answer.verdict(), 1, Integer::sum);
                }
            }
        }
        return problems;
    }

    /**
     * Returns how often a booking was executed.
     *
     * @param booking The booking.
     * @return The executions.
     */
    private int executionCount(BookingLoad.Booking booking) {
        return executions.path(booking.executionKey()).asInt();
    }
}
