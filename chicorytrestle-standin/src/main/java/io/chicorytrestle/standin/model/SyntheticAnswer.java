package io.chicorytrestle.standin.model;

import io.chicorytrestle.core.identity.ChatKey;
import java.nio.charset.StandardCharsets;
import java.util.UUID;

/**
 * The text that every engine generates for a prompt. It depends only on the prompt, its workspace
 * and its chat, so that a reader can check whether a response is complete and belongs to its
 * request.
 *
 * @param seed A hash of the workspace, the chat and the complete prompt.
 * @param tokens The number of words, one for each token.
 */
public record SyntheticAnswer(long seed, int tokens) {

    /** The minimum number of words, unless the request's limit is lower. */
    private static final int MINIMUM_TOKENS = 8;

    /** The number of different lengths, which the seed selects from. */
    private static final int LENGTH_VARIANTS = 32;

    /** The number of prompt characters that count as one token. */
    private static final int CHARACTERS_PER_TOKEN = 4;

    /** Maps positions to words; it is odd, so that no two positions share a word. */
    private static final long WORD_MULTIPLIER = 0x9E3779B97F4A7C15L;

    /** The separator after each word. */
    private static final String SEPARATOR = " ";

    /**
     * Computes the text that engines generate for a prompt.
     *
     * @param chat The chat.
     * @param prompt The complete prompt.
     * @param maximumTokens The maximum number of words.
     * @return The text.
     */
    public static SyntheticAnswer forPrompt(ChatKey chat, String prompt, int maximumTokens) {
        String hashInput = chat.workspace() + '\n' + chat.chat() + '\n' + prompt;
        UUID digest = UUID.nameUUIDFromBytes(hashInput.getBytes(StandardCharsets.UTF_8));
        long seed = digest.getMostSignificantBits() ^ digest.getLeastSignificantBits();
        int tokens = MINIMUM_TOKENS + (int) Math.floorMod(seed, (long) LENGTH_VARIANTS);
        return new SyntheticAnswer(seed, Math.max(0, Math.min(tokens, maximumTokens)));
    }

    /**
     * Estimates the number of tokens in a prompt from its length.
     *
     * @param prompt The prompt.
     * @return The number of tokens, at least one.
     */
    public static int estimatePromptTokens(String prompt) {
        return Math.max(1, prompt.length() / CHARACTERS_PER_TOKEN);
    }

    /**
     * Returns the word at a position.
     *
     * @param position The position of the word, from zero.
     * @return The word and the separator after it.
     */
    public String wordAt(int position) {
        return Long.toHexString(seed + position * WORD_MULTIPLIER) + SEPARATOR;
    }

    /**
     * Returns the complete text.
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
