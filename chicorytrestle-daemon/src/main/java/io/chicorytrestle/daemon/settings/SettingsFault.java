package io.chicorytrestle.daemon.settings;

/**
 * Describes one invalid value of a settings text.
 *
 * @param path The path of the invalid key, with dots between keys and list indices in brackets.
 * @param value The invalid value as written; a secret is replaced by a placeholder.
 * @param allowed The description of the allowed values.
 */
public record SettingsFault(String path, String value, String allowed) {

    /**
     * Formats the fault as one line.
     *
     * @return The line.
     */
    public String describe() {
        return "Cannot use setting %s: %s (allowed: %s)".formatted(path, value, allowed);
    }
}
