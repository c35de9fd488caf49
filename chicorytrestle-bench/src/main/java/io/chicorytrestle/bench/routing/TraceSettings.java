package io.chicorytrestle.bench.routing;

/**
 * Describes the random load of a run.
 *
 * @param durationMillis The period in which turns start, in milliseconds.
 * @param chatsPerSecond The mean number of chats that start per second.
 * @param meanTurns The mean number of turns of a chat.
 * @param meanThinkMillis The mean time between turns of a chat, beyond the first second, in
 *     milliseconds.
 * @param routers The number of routers.
 * @param workspaces The number of workspaces.
 * @param tokenShare The share of turns that present their placement token, from 0 to 1.
 */
record TraceSettings(
        long durationMillis,
        double chatsPerSecond,
        double meanTurns,
        double meanThinkMillis,
        int routers,
        int workspaces,
        double tokenShare) {}
