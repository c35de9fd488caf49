package io.chicorytrestle.daemon.platform;

import com.google.common.flogger.FluentLogger;
import io.activej.eventloop.Eventloop;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/** Watches one value of the configuration service. It is confined to its event loop. */
public final class ConfigurationWatch {

    /** The logger of this class. */
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** The minimum of the backoff after a failure in milliseconds. */
    private static final long MINIMUM_BACKOFF_MILLIS = 200;

    /** The maximum of the backoff after a failure in milliseconds. */
    private static final long MAXIMUM_BACKOFF_MILLIS = 5_000;

    /**
     * The delay before the next read if the value doesn't exist or the watch is disabled, in
     * milliseconds.
     */
    private static final long IDLE_DELAY_MILLIS = 500;

    /** The event loop of the watch. */
    private final Eventloop loop;

    /** Reads the value. */
    private final PlatformClient client;

    /** The key and the timing of the reads. */
    private final Schedule schedule;

    /** Supplies whether this entry instance currently has to watch the value. */
    private final BooleanSupplier enabled;

    /** Receives each new value. */
    private final Consumer<ConfigurationValue> consumer;

    /** The revision of the latest value, zero before the first. */
    private long lastRevision;

    /**
     * The upper bound of the delay after the next failure in milliseconds; it doubles with each
     * failure.
     */
    private long backoffMillis = MINIMUM_BACKOFF_MILLIS;

    /**
     * Creates a watch, which is not started.
     *
     * @param loop The event loop of the watch.
     * @param client Reads the value.
     * @param schedule The key and the timing of the reads.
     * @param enabled Supplies whether this entry instance currently has to watch the value.
     * @param consumer Receives each new value.
     */
    public ConfigurationWatch(
            Eventloop loop,
            PlatformClient client,
            Schedule schedule,
            BooleanSupplier enabled,
            Consumer<ConfigurationValue> consumer) {
        this.loop = loop;
        this.client = client;
        this.schedule = schedule;
        this.enabled = enabled;
        this.consumer = consumer;
    }

    /** Starts the watch. */
    public void start() {
        loop.execute(this::readNext);
    }

    /**
     * Waits for a value newer than the latest one, or tries again later if the watch is disabled.
     */
    private void readNext() {
        if (!enabled.getAsBoolean()) {
            scheduleRead(IDLE_DELAY_MILLIS);
            return;
        }
        client.readValue(schedule.key(), lastRevision, schedule.waitMillis())
                .whenComplete(
                        (value, failure) ->
                                loop.execute(
                                        failure == null
                                                ? () -> handleValue(value)
                                                : () -> retryAfterFailure(failure)));
    }

    /**
     * Schedules the next read after a failure, with a random delay (jitter).
     *
     * @param failure The failure.
     */
    private void retryAfterFailure(Throwable failure) {
        LOGGER.atFine().withCause(failure).log("Cannot read value: %s", schedule.key());
        scheduleRead(ThreadLocalRandom.current().nextLong(backoffMillis / 2, backoffMillis));
        backoffMillis = Math.min(backoffMillis * 2, MAXIMUM_BACKOFF_MILLIS);
    }

    /**
     * Passes a new value to the consumer and schedules the next read.
     *
     * @param value The value, or empty if there is no newer one.
     */
    private void handleValue(Optional<ConfigurationValue> value) {
        backoffMillis = MINIMUM_BACKOFF_MILLIS;
        value.ifPresent(
                newValue -> {
                    lastRevision = newValue.revision();
                    consumer.accept(newValue);
                });
        if (value.isEmpty() && lastRevision == 0) {
            scheduleRead(IDLE_DELAY_MILLIS);
        } else if (schedule.pauseMillis() > 0) {
            scheduleRead(schedule.pauseMillis());
        } else {
            loop.post(this::readNext);
        }
    }

    /**
     * Schedules the next read.
     *
     * @param millis The delay in milliseconds.
     */
    private void scheduleRead(long millis) {
        loop.delayBackground(millis, this::readNext);
    }

    /**
     * The key and the timing of the reads.
     *
     * @param key The key of the value.
     * @param waitMillis The milliseconds that one read waits at the service for a newer value.
     * @param pauseMillis The milliseconds between two reads, or zero to read again immediately.
     */
    public record Schedule(String key, long waitMillis, long pauseMillis) {}
}
