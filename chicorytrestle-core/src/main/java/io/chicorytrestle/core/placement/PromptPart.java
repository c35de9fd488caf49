package io.chicorytrestle.core.placement;

/**
 * Identifies a part of a prompt that several requests may share.
 *
 * @param id The identifier of the content, equal for equal content; a digest if it is long.
 * @param tokens The number of tokens, at least zero.
 */
public record PromptPart(String id, int tokens) {

    /** Bounds the length of the identifier and rejects a negative number of tokens. */
    public PromptPart {
        id = BoundedIdentifier.of(id);
        if (tokens < 0) {
            throw new IllegalArgumentException("Part " + id + " has negative tokens: " + tokens);
        }
    }
}
