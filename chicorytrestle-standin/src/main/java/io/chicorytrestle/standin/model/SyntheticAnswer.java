package io.chicorytrestle.standin.model;

import io.chicorytrestle.core.identity.ChatKey;
import java.nio.charset.StandardCharsets;
import java.util.UUID;

/**
 * Computes the text that every engine answers a prompt with, so that a reader can tell whether an
 * answer is whole and its own.
 *
 * @param seed Depends on the workspace, the chat and the whole prompt.
 * @param tokens The words of the answer, one a token.
 */
public record SyntheticAnswer(long seed, int tokens) {

    /** The fewest words of an answer that no limit shortens. */
    private static final int MINIMUM_TOKENS = 8;

    /** The number of different lengths. */
    private static final int LENGTH_VARIANTS = 32;

    /** The characters that count as one token of a prompt. */
    private static final int CHARACTERS_PER_TOKEN = 4;

    /** Spreads positions over all numbers; it is odd, so that no two positions share a word. */
    private static final long WORD_MULTIPLIER = 0x9E3779B97F4A7C15L;

    /** Ends each word. */
    private static final String SEPARATOR = " ";

    /**
     * Computes the answer to a prompt.
     *
     * @param chat The chat.
     * @param prompt The whole prompt.
     * @param maximumTokens The most words.
     * @return The answer.
     */
    public static SyntheticAnswer forPrompt(ChatKey chat, String prompt, int maximumTokens) {
        String owner = chat.workspace() + '\n' + chat.chat() + '\n' + prompt;
        UUID digest = UUID.nameUUIDFromBytes(owner.getBytes(StandardCharsets.UTF_8));
        long seed = digest.getMostSignificantBits() ^ digest.getLeastSignificantBits();
        int tokens = MINIMUM_TOKENS + (int) Math.floorMod(seed, (long) LENGTH_VARIANTS);
        return new SyntheticAnswer(seed, Math.max(0, Math.min(tokens, maximumTokens)));
    }

    /**
     * Estimates the tokens of a prompt.
     *
     * @param prompt The prompt.
     * @return The tokens, at least one.
     */
    public static int estimatePromptTokens(String prompt) {
        return Math.max(1, prompt.length() / CHARACTERS_PER_TOKEN);
    }

    /**
     * Returns a word of the answer.
     *
     * @param position The position of the word from zero.
     * @return The word and what separates it from the next.
     */
    public String wordAt(int position) {
        return Long.toHexString(seed + position * WORD_MULTIPLIER) + SEPARATOR;
    }

    /**
     * Returns the whole answer.
     *
     * @return All words in order.
     */
    public String fullText() {
        StringBuilder builder = new StringBuilder();
        for (int position = 0; position < tokens; position++) {
            builder.append(wordAt(position));
        }
        return builder.toString();
    }
}
