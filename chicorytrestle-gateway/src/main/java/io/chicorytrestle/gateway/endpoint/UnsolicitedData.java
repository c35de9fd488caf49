package io.chicorytrestle.gateway.endpoint;

import com.google.common.flogger.FluentLogger;
import io.chicorytrestle.gateway.operations.GatewayMetrics;
import io.chicorytrestle.gateway.operations.LogFields;
import java.util.Locale;

/** Enumerates what an endpoint may send that belongs to no response that a request waits for. */
enum UnsolicitedData {

    /** A response that names another request, or none, while a response is awaited. */
    FOREIGN_RESPONSE,

    /** Bytes that follow a response directly. */
    AFTER_RESPONSE,

    /** Bytes on a connection that carries no request. */
    WHILE_IDLE;

    /** Writes one line per report. */
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /**
     * Logs and counts data of this kind.
     *
     * @param metrics Holds the counter.
     * @param incarnation The incarnation of the endpoint.
     * @param requestId The identifier of the latest request on the connection.
     */
    void report(GatewayMetrics metrics, String incarnation, String requestId) {
        String kind = name().toLowerCase(Locale.ROOT);
        LOGGER.atInfo()
                .with(LogFields.REQUEST, requestId)
                .with(LogFields.ENDPOINT, incarnation)
                .with(LogFields.REASON, kind)
                .log("unsolicited_data");
        metrics.counter("endpoint_unsolicited_data_total", kind).inc();
    }
}
