package io.chicorytrestle.daemon.platform;

/**
 * A value of the configuration service.
 *
 * @param key The key of the value.
 * @param revision The revision, which increases with each change of the value.
 * @param content The content of the value.
 */
@SuppressWarnings("ArrayRecordComponent")
public record ConfigurationValue(String key, long revision, byte[] content) {}
