package io.chicorytrestle.core.chat;

/**
 * Holds the settings of chat turns.
 *
 * @param stallTimeoutMillis The silence after which a stream counts as cut, in milliseconds.
 * @param maximumResumeAttempts The most tries to resume a stream without progress.
 * @param resumeDelayMillis The delay before the second try to resume a stream, doubled each time,
 *     in milliseconds.
 */
public record ChatSettings(
        long stallTimeoutMillis, int maximumResumeAttempts, long resumeDelayMillis) {

    /** The settings of an ordinary entry instance. */
    public static final ChatSettings DEFAULT = new ChatSettings(15_000, 3, 100);
}
