package io.chicorytrestle.standin.model;

import io.chicorytrestle.core.endpoint.ServiceResponse;
import java.util.Map;
import java.util.TreeMap;

/**
 * Simulates plain services and counts every execution, so that tests can detect repeated ones. It
 * is confined to one thread.
 */
public final class ServiceModel {

    /** The status of every response. */
    private static final int STATUS_OK = 200;

    /** The number of executions by the identifier of the request attempt. */
    private final Map<String, Integer> byRequest = new TreeMap<>();

    /** The number of executions by operation and body, such as {@code book visit-7}. */
    private final Map<String, Integer> byBody = new TreeMap<>();

    /**
     * Counts an execution of an operation and responds to it.
     *
     * @param requestId The identifier of the request attempt.
     * @param operation The name of the operation.
     * @param body The request body.
     * @return The response, which contains the operation, its body and how often they were
     *     executed.
     */
    public ServiceResponse execute(String requestId, String operation, String body) {
        byRequest.merge(requestId, 1, Integer::sum);
        int count = byBody.merge(operation + " " + body, 1, Integer::sum);
        return new ServiceResponse(STATUS_OK, responsePrefix(operation, body) + " " + count);
    }

    /**
     * Returns the text before the execution count in every response to an operation.
     *
     * @param operation The name of the operation.
     * @param body The request body.
     * @return The start of the response body.
     */
    public static String responsePrefix(String operation, String body) {
        return "done " + operation + " " + body;
    }

    /**
     * Returns the number of executions of each request attempt.
     *
     * @return A copy of the counts by the identifier of the request attempt.
     */
    public Map<String, Integer> executionsByRequest() {
        return Map.copyOf(byRequest);
    }

    /**
     * Returns the number of executions of each operation and body.
     *
     * @return A copy of the counts by operation and body, separated by a space.
     */
    public Map<String, Integer> executionsByBody() {
        return Map.copyOf(byBody);
    }
}
