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

    /** Whether the current run has produced no event. */
    private boolean isRunEmpty = true;

    /** Whether an earlier run began an event that no run has completed. */
    private boolean isEventDue;

    /** Whether the current run repeats an event instead of continuing the stream. */
    private boolean isRepeating;

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
                    id = Optional.of(events.substring(lineStart + ID_FIELD.length(), newline));
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
            isRepeating = isRepeated(id);
            if (isRepeating) {
                return false;
            }
            isResuming = false;
        }
        isRunEmpty = false;
        isEventDue = false;
        if (id.isPresent()) {
            lastId = id.map(String::strip);
        }
        return true;
    }

    /**
     * Returns {@code true} if the first event of a run repeats an event.
     *
     * @param id The identifier of the event, or empty if it carries none.
     * @return {@code true} if both identifiers are numbers and that of the event is not larger.
     */
    private boolean isRepeated(Optional<String> id) {
        OptionalLong first = parse(id);
        OptionalLong last = parse(lastId);
        return first.isPresent() && last.isPresent() && first.getAsLong() <= last.getAsLong();
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
        isRepeating = false;
    }

    /**
     * Returns {@code true} if the current run repeats an event instead of continuing the stream.
     *
     * @return {@code true} if nothing more of this run may be forwarded.
     */
    boolean isRepeating() {
        return isRepeating;
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
     * Parses an identifier.
     *
     * @param id The identifier, if there is one.
     * @return The number, or empty if there is none.
     */
    private static OptionalLong parse(Optional<String> id) {
        try {
            return id.isPresent()
                    ? OptionalLong.of(Long.parseLong(id.get().strip()))
                    : OptionalLong.empty();
        } catch (NumberFormatException exception) {
            return OptionalLong.empty();
        }
    }
}
