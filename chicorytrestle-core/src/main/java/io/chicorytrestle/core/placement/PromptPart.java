package io.chicorytrestle.core.placement;

/**
 * Names a part of a prompt that several requests may share.
 *
 * @param id The identifier of the content.
 * @param tokens The number of tokens.
 */
public record PromptPart(String id, int tokens) {

    /** Checks the tokens. */
    public PromptPart {
        if (tokens < 0) {
            throw new IllegalArgumentException("Part " + id + " has negative tokens: " + tokens);
        }
    }
}
