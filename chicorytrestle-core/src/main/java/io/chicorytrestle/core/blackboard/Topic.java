package io.chicorytrestle.core.blackboard;

/**
 * Identifies a value on the blackboard together with its type.
 *
 * @param name The topic's name.
 * @param initial The value that is read before any value was written.
 * @param <T> The type of the value.
 */
public record Topic<T>(String name, T initial) {}
