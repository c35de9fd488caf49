package io.chicorytrestle.daemon.log;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.slf4j.MDC;

/** Adds fields to the log lines of the current thread until the scope is closed. */
public final class LogScope implements AutoCloseable {

    /** The field with the identifier of a request. */
    private static final String REQUEST_ID = "requestId";

    /** Removes the fields from the mapped diagnostic context when the scope is closed. */
    private final List<MDC.MDCCloseable> mdcEntries = new ArrayList<>();

    /**
     * Creates a scope and adds its fields.
     *
     * @param fields The values of the fields by name.
     */
    private LogScope(Map<String, String> fields) {
        fields.forEach((name, value) -> this.mdcEntries.add(MDC.putCloseable(name, value)));
    }

    /**
     * Opens a scope with the identifier of a request.
     *
     * @param requestId The identifier of the request.
     * @return The scope, which must be closed by the same thread.
     */
    public static LogScope ofRequest(String requestId) {
        return new LogScope(Map.of(REQUEST_ID, requestId));
    }

    /**
     * Opens a scope with any fields.
     *
     * @param fields The values of the fields by name.
     * @return The scope, which must be closed by the same thread.
     */
    static LogScope of(Map<String, String> fields) {
        return new LogScope(fields);
    }

    @Override
    public void close() {
        mdcEntries.forEach(MDC.MDCCloseable::close);
    }
}
