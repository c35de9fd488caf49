package io.chicorytrestle.core.poison;

/**
 * Identifies requests of a workspace by their content.
 *
 * @param workspace The workspace.
 * @param hash The keyed hash of the content and the workspace, in hexadecimal digits.
 */
public record Fingerprint(String workspace, String hash) {}
