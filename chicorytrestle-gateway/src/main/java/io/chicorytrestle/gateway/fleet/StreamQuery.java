package io.chicorytrestle.gateway.fleet;

/**
 * Asks for the origin of a stream.
 *
 * @param number The number that the reply repeats.
 * @param id The identifier of the request that began the stream.
 */
public record StreamQuery(long number, String id) implements FleetMessage {}
