package io.chicorytrestle.core.placement;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.jspecify.annotations.Nullable;

/**
 * Keeps the times for which endpoints asked this instance to send them nothing. After such a time a
 * single request shows whether an endpoint accepts work again, so that those that waited for it do
 * not arrive together. This class is not thread-safe: it is confined to one thread.
 */
public final class EndpointBackoffs {

    /**
     * The longest time in milliseconds that an endpoint may ask for. A longer one would be a
     * permanent ban in effect.
     */
    public static final long MAXIMUM_BACKOFF_MILLIS = 3_600_000;

    /**
     * The time in milliseconds after which others no longer wait for the response to the first
     * request after a back-off.
     */
    private static final long TRIAL_MILLIS = 500;

    /** The back-offs by incarnation; an endpoint that asked for none has none. */
    private final Map<String, Backoff> backoffs = new HashMap<>();

    /**
     * Records that an endpoint asked for nothing more for some time. A shorter time than is left of
     * an earlier one does not shorten that, because the endpoint stated both.
     *
     * @param incarnation The incarnation of the endpoint.
     * @param backoffMillis The time in milliseconds, counted from now and shortened to {@link
     *     #MAXIMUM_BACKOFF_MILLIS}.
     * @param nowMillis The current time in milliseconds.
     * @return {@code true} if the endpoint is now closed for longer than before.
     */
    public boolean record(String incarnation, long backoffMillis, long nowMillis) {
        if (backoffMillis <= 0) {
            return false;
        }
        long untilMillis = nowMillis + Math.min(MAXIMUM_BACKOFF_MILLIS, backoffMillis);
        Backoff before = backoffs.get(incarnation);
        if (before != null && before.untilMillis() >= untilMillis) {
            return false;
        }
        backoffs.put(incarnation, new Backoff(untilMillis, OptionalLong.empty()));
        return true;
    }

    /**
     * Records that a request is placed on an endpoint. The first one after a back-off is its trial.
     *
     * @param incarnation The incarnation of the endpoint.
     * @param nowMillis The current time in milliseconds.
     */
    public void recordPlacement(String incarnation, long nowMillis) {
        backoffs.computeIfPresent(
                incarnation, (ignored, backoff) -> backoff.afterPlacement(nowMillis));
    }

    /**
     * Records the end of a request at an endpoint, which ends a trial.
     *
     * @param incarnation The incarnation of the endpoint.
     * @param nowMillis The current time in milliseconds.
     */
    public void recordEnd(String incarnation, long nowMillis) {
        Backoff backoff = backoffs.get(incarnation);
        if (backoff != null && backoff.untilMillis() <= nowMillis) {
            backoffs.remove(incarnation);
        }
    }

    /**
     * Returns {@code true} if an endpoint may be sent a request.
     *
     * @param incarnation The incarnation of the endpoint.
     * @param nowMillis The current time in milliseconds.
     * @return {@code true} if it asked for nothing, or the time is over and no trial is under way.
     */
    public boolean isOpen(String incarnation, long nowMillis) {
        Backoff backoff = backoffs.get(incarnation);
        return backoff == null || backoff.isOpen(nowMillis);
    }

    /**
     * Returns the endpoints that may be sent a request.
     *
     * @param endpoints The endpoints.
     * @param nowMillis The current time in milliseconds.
     * @return The given list itself if no endpoint asked for nothing.
     */
    public List<ServingEndpoint> openOf(List<ServingEndpoint> endpoints, long nowMillis) {
        return backoffs.isEmpty()
                ? endpoints
                : endpoints.stream()
                        .filter(endpoint -> isOpen(endpoint.incarnation(), nowMillis))
                        .toList();
    }

    /**
     * Returns {@code true} while the time that an endpoint asked for lasts.
     *
     * @param incarnation The incarnation of the endpoint.
     * @param nowMillis The current time in milliseconds.
     * @return {@code true} if the endpoint must get nothing, not even what waits for a connection.
     */
    public boolean isActive(String incarnation, long nowMillis) {
        Backoff backoff = backoffs.get(incarnation);
        return backoff != null && nowMillis < backoff.untilMillis();
    }

    /**
     * Returns the time until the first of several endpoints is open.
     *
     * @param endpoints The endpoints.
     * @param nowMillis The current time in milliseconds.
     * @return The time in milliseconds, zero if one is open, or empty without endpoints.
     */
    public OptionalLong millisUntilOpen(List<ServingEndpoint> endpoints, long nowMillis) {
        return endpoints.stream()
                .mapToLong(
                        endpoint -> {
                            Backoff backoff = backoffs.get(endpoint.incarnation());
                            return backoff == null ? 0 : backoff.millisUntilOpen(nowMillis);
                        })
                .min();
    }

    /**
     * Forgets the back-offs that are over for long, such as those of incarnations that have ended.
     *
     * @param nowMillis The current time in milliseconds.
     */
    public void removeExpired(long nowMillis) {
        backoffs.values()
                .removeIf(backoff -> nowMillis - backoff.untilMillis() > MAXIMUM_BACKOFF_MILLIS);
    }

    /**
     * Holds the back-off of an endpoint.
     *
     * @param untilMillis The time in milliseconds at which it ends.
     * @param trialMillis The time in milliseconds at which its trial was placed, or empty before.
     */
    private record Backoff(long untilMillis, OptionalLong trialMillis) {

        /**
         * Returns the back-off after a request was placed.
         *
         * @param nowMillis The current time in milliseconds.
         * @return The back-off with its trial, or null if the trial had all its time.
         */
        @Nullable Backoff afterPlacement(long nowMillis) {
            if (!isOpen(nowMillis)) {
                return this;
            }
            return trialMillis.isPresent()
                    ? null
                    : new Backoff(untilMillis, OptionalLong.of(nowMillis));
        }

        /**
         * Returns {@code true} if a request may be placed.
         *
         * @param nowMillis The current time in milliseconds.
         * @return {@code true} if the time is over and no trial is under way.
         */
        boolean isOpen(long nowMillis) {
            return millisUntilOpen(nowMillis) == 0;
        }

        /**
         * Returns the time until a request may be placed.
         *
         * @param nowMillis The current time in milliseconds.
         * @return The time in milliseconds, zero if a request may be placed now.
         */
        long millisUntilOpen(long nowMillis) {
            long openMillis =
                    trialMillis.isPresent() ? trialMillis.getAsLong() + TRIAL_MILLIS : untilMillis;
            return Math.max(0, openMillis - nowMillis);
        }
    }
}
