package io.chicorytrestle.daemon.log;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.slf4j.MDC;

/** Adds fields to the log lines that a thread writes until the scope is closed. */
public final class LogScope implements AutoCloseable {

    /** The field with the identifier of a request. */
    private static final String REQUEST_ID = "requestId";

    /** Removes the fields. */
    private final List<MDC.MDCCloseable> mdcEntries = new ArrayList<>();

    /**
     * Creates a new scope.
     *
     * @param fields The fields by name.
     */
    private LogScope(Map<String, String> fields) {
        fields.forEach((name, value) -> this.mdcEntries.add(MDC.putCloseable(name, value)));
    }

    /**
     * Opens the scope of a request.
     *
     * @param requestId The identifier of the request.
     * @return The open scope.
     */
    public static LogScope ofRequest(String requestId) {
        return new LogScope(Map.of(REQUEST_ID, requestId));
    }

    /**
     * Opens a scope.
     *
     * @param fields The fields by name.
     * @return The open scope.
     */
    static LogScope of(Map<String, String> fields) {
        return new LogScope(fields);
    }

    @Override
    public void close() {
        mdcEntries.forEach(MDC.MDCCloseable::close);
    }
}
