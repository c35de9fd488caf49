package io.chicorytrestle.standin.model;

import io.chicorytrestle.core.identity.ChatKey;

/**
 * A change of the tokens that a prefix cache holds of a chat.
 *
 * @param number The sequence number of the event, from one without gaps.
 * @param chat The chat whose tokens changed.
 * @param tokens The number of tokens that are held after a store, or were held before an eviction.
 * @param kind The kind of change.
 * @param atMillis The time of the change in milliseconds.
 */
public record CacheEvent(long number, ChatKey chat, int tokens, Kind kind, long atMillis) {

    /** The kinds of changes. */
    public enum Kind {

        /** A chat's tokens were stored. */
        STORED,

        /** A chat's tokens were evicted to make room for others. */
        EVICTED
    }
}
