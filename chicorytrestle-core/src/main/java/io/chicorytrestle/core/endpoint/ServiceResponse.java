package io.chicorytrestle.core.endpoint;

/**
 * Holds the complete response of a plain service.
 *
 * @param status The status code, as in HTTP.
 * @param body The complete body, which is passed on unread.
 */
public record ServiceResponse(int status, String body) {}
