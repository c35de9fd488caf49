package io.chicorytrestle.core.endpoint;

/**
 * Holds the whole answer of a plain service.
 *
 * @param status The status that the service answered with, as in HTTP.
 * @param body The whole body, opaque to the system.
 */
public record ServiceResponse(int status, String body) {}
