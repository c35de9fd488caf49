package io.chicorytrestle.core.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Describes the prompt of a model request and the size of its output.
 *
 * @param model The name of the model; a digest if it is long.
 * @param inputTokens The number of tokens of the prompt.
 * @param outputTokens The maximum number of generated tokens.
 * @param parts The parts of the prompt in order; the last one belongs to the request alone. Of many
 *     parts the first and the last ones are kept, and the tokens of the others are added to the
 *     part before them.
 */
public record Prompt(String model, int inputTokens, int outputTokens, List<PromptPart> parts) {

    /** The maximum number of parts, several times that of a long chat. */
    private static final int MAXIMUM_PARTS = 64;

    /** Bounds the length of the model's name and the number of parts, and copies the parts. */
    public Prompt {
        model = BoundedIdentifier.of(model);
        parts = parts.size() <= MAXIMUM_PARTS ? List.copyOf(parts) : joinInnerParts(parts);
    }

    /**
     * Returns the first and the last parts of a prompt.
     *
     * @param parts More parts than are kept.
     * @return The maximum number of parts, with as many tokens in all as far as 32 bits hold them.
     */
    private static List<PromptPart> joinInnerParts(List<PromptPart> parts) {
        int first = MAXIMUM_PARTS / 2;
        int last = parts.size() - MAXIMUM_PARTS / 2;
        PromptPart joined = parts.get(first - 1);
        long tokens = parts.subList(first - 1, last).stream().mapToLong(PromptPart::tokens).sum();
        List<PromptPart> kept = new ArrayList<>(MAXIMUM_PARTS);
        kept.addAll(parts.subList(0, first - 1));
        kept.add(new PromptPart(joined.id(), (int) Math.min(Integer.MAX_VALUE, tokens)));
        kept.addAll(parts.subList(last, parts.size()));
        return List.copyOf(kept);
    }

    /**
     * Returns the last part that other requests may share.
     *
     * @return The part before the last one, or the only part, or empty if no part is named.
     */
    public Optional<PromptPart> lastSharedPart() {
        if (parts.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(parts.get(Math.max(0, parts.size() - 2)));
    }

    /**
     * Returns the parts that other requests may share.
     *
     * @return All parts but the last one.
     */
    public List<PromptPart> sharedParts() {
        return parts.subList(0, Math.max(0, parts.size() - 1));
    }
}
