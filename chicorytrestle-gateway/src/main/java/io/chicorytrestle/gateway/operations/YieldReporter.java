package io.chicorytrestle.gateway.operations;

import com.google.common.flogger.FluentLogger;
import io.chicorytrestle.core.admission.HeldBytes;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** Counts and logs callers that yield because they are outside of the limits. */
public final class YieldReporter implements Consumer<HeldBytes.Reason> {

    /** Logs callers that yield. */
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** The shortest interval in seconds between two log lines. */
    private static final int LOG_INTERVAL_SECONDS = 1;

    /** The metrics. */
    private final GatewayMetrics metrics;

    /**
     * Creates a reporter.
     *
     * @param metrics Receives the counters.
     */
    public YieldReporter(GatewayMetrics metrics) {
        this.metrics = metrics;
    }

    /**
     * Registers gauges for what is held for callers.
     *
     * @param held What is held.
     */
    public void registerGauges(HeldBytes held) {
        for (HeldBytes.Place place : HeldBytes.Place.values()) {
            metrics.gauge(
                    "held_bytes{kind=\"" + place.label() + "\"}", () -> held.heldBytes(place));
        }
    }

    @Override
    public void accept(HeldBytes.Reason reason) {
        metrics.counter("callers_yielded_total", reason.label()).inc();
        LOGGER.atWarning()
                .atMostEvery(LOG_INTERVAL_SECONDS, TimeUnit.SECONDS)
                .with(LogFields.REASON, reason.label())
                .log("caller_yielded");
    }
}
