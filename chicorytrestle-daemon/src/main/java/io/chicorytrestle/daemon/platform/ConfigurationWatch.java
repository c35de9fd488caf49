package io.chicorytrestle.daemon.platform;

import com.google.common.flogger.FluentLogger;
import io.activej.eventloop.Eventloop;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/** Follows one value of the configuration service. It is confined to its event loop. */
public final class ConfigurationWatch {

    /** Writes log lines. */
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** The shortest delay after a failure in milliseconds. */
    private static final long MINIMUM_BACKOFF_MILLIS = 200;

    /** The longest delay after a failure in milliseconds. */
    private static final long MAXIMUM_BACKOFF_MILLIS = 5_000;

    /** The delay after a value was found to be missing or watching was paused, in milliseconds. */
    private static final long IDLE_DELAY_MILLIS = 500;

    /** The event loop. */
    private final Eventloop loop;

    /** Reads the platform. */
    private final PlatformClient client;

    /** Tells what is read how often. */
    private final Schedule schedule;

    /** Tells whether this entry instance is to watch at the present. */
    private final BooleanSupplier enabled;

    /** Receives each new value. */
    private final Consumer<ConfigurationValue> consumer;

    /** The revision that was read last. */
    private long lastRevision;

    /** The delay after the next failure in milliseconds. */
    private long backoffMillis = MINIMUM_BACKOFF_MILLIS;

    /**
     * Creates a new watch.
     *
     * @param loop The event loop.
     * @param client Reads the platform.
     * @param schedule Tells what is read how often.
     * @param wanted Tells whether this entry instance is to watch at the present.
     * @param consumer Receives each new value.
     */
    public ConfigurationWatch(
            Eventloop loop,
            PlatformClient client,
            Schedule schedule,
            BooleanSupplier wanted,
            Consumer<ConfigurationValue> consumer) {
        this.loop = loop;
        this.client = client;
        this.schedule = schedule;
        this.enabled = wanted;
        this.consumer = consumer;
    }

    /** Starts to follow the value. */
    public void start() {
        loop.execute(this::readNext);
    }

    /** Reads or waits for the next value. */
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
     * Reads again after a failure.
     *
     * @param failure The failure.
     */
    private void retryAfterFailure(Throwable failure) {
        LOGGER.atFine().withCause(failure).log("Cannot read value: %s", schedule.key());
        scheduleRead(ThreadLocalRandom.current().nextLong(backoffMillis / 2, backoffMillis));
        backoffMillis = Math.min(backoffMillis * 2, MAXIMUM_BACKOFF_MILLIS);
    }

    /**
     * Accepts what was read.
     *
     * @param value The value, or empty if there is none newer.
     */
    private void handleValue(Optional<ConfigurationValue> value) {
        backoffMillis = MINIMUM_BACKOFF_MILLIS;
        value.ifPresent(
                present -> {
                    lastRevision = present.revision();
                    consumer.accept(present);
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
     * Reads again later.
     *
     * @param millis The delay in milliseconds.
     */
    private void scheduleRead(long millis) {
        loop.delayBackground(millis, this::readNext);
    }

    /**
     * Tells what is read how often.
     *
     * @param key The value's key.
     * @param waitMillis The milliseconds that one read waits for a newer value.
     * @param pauseMillis The milliseconds between two reads, zero to read again at once.
     */
    public record Schedule(String key, long waitMillis, long pauseMillis) {}
}
