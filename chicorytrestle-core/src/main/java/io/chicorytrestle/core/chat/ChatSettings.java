package io.chicorytrestle.core.chat;

/**
 * Holds the settings by which interrupted streams of chat turns are resumed.
 *
 * @param stallTimeoutMillis The time without a frame after which a stream counts as interrupted, in
 *     milliseconds.
 * @param maximumResumeAttempts The maximum number of attempts to resume a stream without progress.
 * @param resumeDelayMillis The delay before the second attempt to resume a stream, in milliseconds;
 *     it doubles with each further attempt.
 */
public record ChatSettings(
        long stallTimeoutMillis, int maximumResumeAttempts, long resumeDelayMillis) {

    /**
     * The default settings: 15 s until a stream counts as stalled, three attempts to resume it, and
     * 100 ms before the second one.
     */
    public static final ChatSettings DEFAULT = new ChatSettings(15_000, 3, 100);
}
