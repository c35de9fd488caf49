package io.chicorytrestle.gateway.front;

import io.chicorytrestle.core.admission.HeldBytes;
import io.chicorytrestle.gateway.operations.GatewayMetrics;
import io.chicorytrestle.gateway.operations.YieldReporter;
import io.chicorytrestle.gateway.settings.MachineLimits;
import java.util.function.Consumer;

/**
 * The limits over all connections of a server.
 *
 * @param held Counts what is held for callers, and decides who yields.
 * @param yieldObserver Called for each caller that yields.
 */
public record CallerLimits(HeldBytes held, Consumer<HeldBytes.Reason> yieldObserver) {

    /** The number of connections of a server for operators. */
    private static final int FEW_CONNECTIONS = 16;

    /** The bytes that are held for the connections of a server for operators. */
    private static final int FEW_BYTES = 1_048_576;

    /** The time in milliseconds for which an answer of a server for operators may stay unread. */
    private static final long UNREAD_TIMEOUT_MILLIS = 60_000;

    /**
     * Returns the limits of the server for callers, and registers gauges for what is held.
     *
     * @param machine What the machine allows.
     * @param metrics Receives the metrics.
     * @return The limits.
     */
    public static CallerLimits forCallers(MachineLimits machine, GatewayMetrics metrics) {
        long heapBytes = Runtime.getRuntime().maxMemory();
        HeldBytes held =
                new HeldBytes(
                        machine.heldBytes(heapBytes),
                        machine.callerConnections(heapBytes),
                        machine.unreadTimeoutMillis());
        YieldReporter reporter = new YieldReporter(metrics);
        reporter.registerGauges(held);
        return new CallerLimits(held, reporter);
    }

    /**
     * Returns the limits of a server that only operators and the platform reach.
     *
     * @return The limits.
     */
    public static CallerLimits forOperators() {
        return new CallerLimits(
                new HeldBytes(FEW_BYTES, FEW_CONNECTIONS, UNREAD_TIMEOUT_MILLIS), reason -> {});
    }
}
