package io.chicorytrestle.standin.model;

import io.chicorytrestle.core.endpoint.ServiceResponse;
import java.util.Map;
import java.util.TreeMap;

/** Models a plain service that counts every execution. It is confined to one thread. */
public final class ServiceModel {

    /** The status of an answer. */
    private static final int STATUS_OK = 200;

    /** The executions by the identifier of the attempt. */
    private final Map<String, Integer> byRequest = new TreeMap<>();

    /** The executions by operation and body, such as {@code book visit-7}. */
    private final Map<String, Integer> byBody = new TreeMap<>();

    /**
     * Executes an operation.
     *
     * @param requestId The identifier of the attempt.
     * @param operation The name of the operation.
     * @param body The body.
     * @return The answer, which names the operation, its body and how often it was executed.
     */
    public ServiceResponse execute(String requestId, String operation, String body) {
        byRequest.merge(requestId, 1, Integer::sum);
        int count = byBody.merge(operation + " " + body, 1, Integer::sum);
        return new ServiceResponse(STATUS_OK, responsePrefix(operation, body) + " " + count);
    }

    /**
     * Returns how every answer to an operation begins; the count of its executions follows.
     *
     * @param operation The name of the operation.
     * @param body The body.
     * @return The beginning of the answer.
     */
    public static String responsePrefix(String operation, String body) {
        return "done " + operation + " " + body;
    }

    /**
     * Returns the executions by attempt.
     *
     * @return The executions by the identifier of the attempt.
     */
    public Map<String, Integer> executionsByRequest() {
        return Map.copyOf(byRequest);
    }

    /**
     * Returns the executions by what was asked for.
     *
     * @return The executions by operation and body, with a space between.
     */
    public Map<String, Integer> executionsByBody() {
        return Map.copyOf(byBody);
    }
}
