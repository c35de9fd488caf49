package io.chicorytrestle.gateway.exchange;

import io.chicorytrestle.gateway.link.BodyFraming;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Follows the events of a stream over the runs that produce it, and decides whether a run continues
 * the stream and whether it may end it.
 */
final class EventSequence {

    /** The field that holds the identifier of an event. */
    private static final String ID_FIELD = "id:";

    /** The begin of a line that is no part of an event. */
    private static final char COMMENT_PREFIX = ':';

    /** The identifier of the last event that carried one. */
    private Optional<String> lastId = Optional.empty();

    /** Whether the next event is the first one of a run that must continue the stream. */
    private boolean isResuming;

    /** Whether the current run continues what an earlier one began. */
    private boolean isContinuation;

    /** Whether any run has produced an event. */
    private boolean hasEvents;

    /** Whether the current run has produced no event. */
    private boolean isRunEmpty = true;

    /** Whether an earlier run began an event that no run has completed. */
    private boolean isEventDue;

    /** Whether the last event carried no identifier, so that no run can continue after it. */
    private boolean isLastUnnumbered;

    /** Whether an identifier exceeded the one before by exactly one. */
    private boolean hasConsecutiveIds;

    /** Whether an identifier exceeded the one before by more than one. */
    private boolean hasGaps;

    /** Why the current run does not continue the stream, or empty if it may. */
    private Optional<Discontinuity> discontinuity = Optional.empty();

    /**
     * Adds events of the current run.
     *
     * @param events The complete events, each up to the blank line that ends it.
     * @return {@code true} if they may be forwarded, {@code false} if the run does not continue the
     *     stream.
     */
    boolean append(String events) {
        Optional<String> id = Optional.empty();
        boolean hasField = false;
        int lineStart = 0;
        for (int newline = events.indexOf('\n');
                newline >= 0;
                newline = events.indexOf('\n', lineStart)) {
            boolean isBlankLine =
                    newline == lineStart
                            || (newline == lineStart + 1 && events.charAt(lineStart) == '\r');
            if (isBlankLine && hasField) {
                if (!appendEvent(id)) {
                    return false;
                }
                id = Optional.empty();
                hasField = false;
            } else if (!isBlankLine && events.charAt(lineStart) != COMMENT_PREFIX) {
                hasField = true;
                if (events.startsWith(ID_FIELD, lineStart)) {
                    id =
                            Optional.of(events.substring(lineStart + ID_FIELD.length(), newline))
                                    .map(String::strip)
                                    .filter(text -> !text.isEmpty());
                }
            }
            lineStart = newline + 1;
        }
        return true;
    }

    /**
     * Adds an event of the current run.
     *
     * @param id The identifier of the event, or empty if it carries none.
     * @return {@code true} if it may be forwarded.
     */
    private boolean appendEvent(Optional<String> id) {
        if (isResuming) {
            discontinuity = discontinuityOf(id);
            if (discontinuity.isPresent()) {
                isEventDue |= discontinuity.get() == Discontinuity.EVENTS_LEFT_OUT;
                return false;
            }
            isResuming = false;
        }
        hasEvents = true;
        isRunEmpty = false;
        isEventDue = false;
        isLastUnnumbered = id.isEmpty();
        id.ifPresent(this::recordId);
        return true;
    }

    /**
     * Records the identifier of an event.
     *
     * @param id The identifier.
     */
    private void recordId(String id) {
        OptionalLong number = parse(id);
        OptionalLong last = lastNumber();
        if (number.isPresent() && number.getAsLong() == last.orElse(0) + 1) {
            hasConsecutiveIds = true;
        } else if (last.isPresent()) {
            hasGaps = true;
        }
        lastId = Optional.of(id);
    }

    /**
     * Compares the first event of a run with the last event of the stream. Identifiers may leave
     * out numbers; those of a stream that counts its events do not.
     *
     * @param id The identifier of the event, or empty if it carries none.
     * @return Why the event does not follow, or empty if it may.
     */
    private Optional<Discontinuity> discontinuityOf(Optional<String> id) {
        if (lastId.isEmpty()) {
            return Optional.empty();
        }
        OptionalLong first = id.map(EventSequence::parse).orElseGet(OptionalLong::empty);
        OptionalLong last = lastNumber();
        if (id.isEmpty() || first.isPresent() != last.isPresent()) {
            return Optional.of(Discontinuity.NUMBERED_DIFFERENTLY);
        }
        if (id.equals(lastId) || (last.isPresent() && first.getAsLong() <= last.getAsLong())) {
            return Optional.of(Discontinuity.EVENTS_REPEATED);
        }
        boolean countsEvents = hasConsecutiveIds && !hasGaps;
        return countsEvents && last.isPresent() && first.getAsLong() - 1 != last.getAsLong()
                ? Optional.of(Discontinuity.EVENTS_LEFT_OUT)
                : Optional.empty();
    }

    /**
     * Starts another run, which must continue the stream.
     *
     * @param isInsideEvent Whether the run before ended inside an event.
     */
    void resume(boolean isInsideEvent) {
        isEventDue |= isInsideEvent;
        isResuming = true;
        isContinuation = true;
        isRunEmpty = true;
        discontinuity = Optional.empty();
    }

    /**
     * Declares that the first run already must continue a stream, of which the caller received a
     * part. An identifier that is no number is not compared.
     *
     * @param id The identifier of the last event that the caller received.
     */
    void resumeAfter(String id) {
        if (parse(id.strip()).isPresent()) {
            lastId = Optional.of(id.strip());
            isResuming = true;
            isContinuation = true;
        }
    }

    /**
     * Returns {@code true} if another run can continue the stream after its last event.
     *
     * @return {@code true} if there was no event or the last one carried an identifier.
     */
    boolean canResume() {
        return !isLastUnnumbered;
    }

    /**
     * Returns {@code true} if any run has produced an event.
     *
     * @return {@code true} if an event may be forwarded or was.
     */
    boolean hasEvents() {
        return hasEvents;
    }

    /**
     * Returns why the current run does not continue the stream.
     *
     * @return The reason, after which nothing more of this run may be forwarded, or empty.
     */
    Optional<Discontinuity> discontinuity() {
        return discontinuity;
    }

    /**
     * Returns {@code true} if a run that ends now leaves events out. One without events can end a
     * stream only if it was run to its end, as its last chunk shows; a length of zero is stated
     * before anything runs.
     *
     * @param framing How the run declares the end of its body.
     * @return {@code true} if the stream cannot be complete.
     */
    boolean isEndMissing(BodyFraming framing) {
        return isRunEmpty
                && (framing == BodyFraming.CONNECTION_END
                        || (isContinuation && (framing == BodyFraming.LENGTH || isEventDue)));
    }

    /**
     * Returns the identifier of the last event that carried one.
     *
     * @return The identifier, or empty if no event carried one.
     */
    Optional<String> lastId() {
        return lastId;
    }

    /**
     * Returns the number of the last event that carried an identifier.
     *
     * @return The number, or empty if there is none.
     */
    private OptionalLong lastNumber() {
        return lastId.map(EventSequence::parse).orElseGet(OptionalLong::empty);
    }

    /**
     * Parses an identifier.
     *
     * @param id The identifier.
     * @return The number, or empty if the identifier is none.
     */
    private static OptionalLong parse(String id) {
        try {
            return OptionalLong.of(Long.parseLong(id));
        } catch (NumberFormatException exception) {
            return OptionalLong.empty();
        }
    }

    /** Enumerates why a run does not continue a stream. */
    enum Discontinuity {

        /** It begins with an event that was forwarded before. */
        EVENTS_REPEATED("response repeats events of the stream"),

        /** It begins after the event that follows. */
        EVENTS_LEFT_OUT("response leaves out events of the stream"),

        /** Its first event carries no identifier that could be compared. */
        NUMBERED_DIFFERENTLY("response does not number its events as the stream does");

        /** What is wrong with the response. */
        private final String description;

        /**
         * Creates a reason.
         *
         * @param description What is wrong with the response.
         */
        Discontinuity(String description) {
            this.description = description;
        }

        /**
         * Returns what is wrong with the response, for the log.
         *
         * @return The description.
         */
        String description() {
            return description;
        }
    }
}
