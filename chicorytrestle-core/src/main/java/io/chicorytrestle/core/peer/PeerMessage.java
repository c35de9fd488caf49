package io.chicorytrestle.core.peer;

/**
 * Marks the type of a message between entry instances.
 *
 * <p>A message is a record of numbers, strings, byte arrays, booleans, and of lists and records of
 * these. For compatibility, components may only be added at the end of a record; readers skip those
 * that they don't know.
 */
public interface PeerMessage {}
