package io.chicorytrestle.bench.routing;

import io.chicorytrestle.core.identity.ChatKey;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;

/** Draws the turns of a run, the same for every way that is weighed. */
final class TraceGenerator {

    /** The milliseconds of a second. */
    private static final double MILLIS_PER_SECOND = 1_000;

    /** The fewest tokens of a chat's first prompt. */
    private static final int MINIMUM_FIRST_PROMPT_TOKENS = 400;

    /** The mean tokens that a caller adds in a turn. */
    private static final int MEAN_USER_TOKENS = 300;

    /** The mean tokens that a turn generates. */
    private static final int MEAN_GENERATED_TOKENS = 150;

    /** The most tokens of a prompt. */
    private static final int MAXIMUM_PROMPT_TOKENS = 16_000;

    /** Prevents instances. */
    private TraceGenerator() {}

    /**
     * Draws the turns of a run.
     *
     * @param settings Describes the turns.
     * @param seed The seed.
     * @return The turns by time.
     */
    static List<Turn> generate(TraceSettings settings, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        List<Turn> turns = new ArrayList<>();
        double atMillis = 0;
        int number = 0;
        while (atMillis < settings.durationMillis()) {
            atMillis += sampleExponential(random, MILLIS_PER_SECOND / settings.chatsPerSecond());
            number++;
            addChat(turns, settings, random, atMillis, "c" + number);
        }
        turns.removeIf(turn -> turn.atMillis() > settings.durationMillis());
        turns.sort(Comparator.comparingLong(Turn::atMillis));
        return List.copyOf(turns);
    }

    /**
     * Moves turns to a later time and to chats of their own.
     *
     * @param turns The turns.
     * @param offsetMillis The time to add in milliseconds.
     * @param prefix The text to put before the chats' identifiers.
     * @return The turns.
     */
    static List<Turn> shift(List<Turn> turns, long offsetMillis, String prefix) {
        return turns.stream()
                .map(
                        turn ->
                                new Turn(
                                        turn.atMillis() + offsetMillis,
                                        new ChatKey(
                                                turn.chat().workspace(),
                                                prefix + turn.chat().chat()),
                                        turn.promptTokens(),
                                        turn.reusableTokens(),
                                        turn.generatedTokens(),
                                        turn.router(),
                                        turn.presentsToken()))
                .toList();
    }

    /**
     * Draws the turns of a chat.
     *
     * @param turns Receives the turns.
     * @param settings Describes the turns.
     * @param random Draws numbers.
     * @param startMillis The time of the first turn in milliseconds.
     * @param chat The chat's identifier.
     */
    private static void addChat(
            List<Turn> turns,
            TraceSettings settings,
            SplittableRandom random,
            double startMillis,
            String chat) {
        int workspace = (int) Math.floor(settings.workspaces() * Math.pow(random.nextDouble(), 2));
        ChatKey key = new ChatKey("w" + workspace, chat);
        int count = 1 + (int) sampleExponential(random, settings.meanTurns() - 1);
        double atMillis = startMillis;
        int history = 0;
        for (int index = 0; index < count; index++) {
            int added = 1 + (int) sampleExponential(random, MEAN_USER_TOKENS);
            int prompt = Math.min(MAXIMUM_PROMPT_TOKENS, (index == 0 ? MINIMUM_FIRST_PROMPT_TOKENS : history) + added);
            int generated = 1 + (int) Math.min(sampleExponential(random, MEAN_GENERATED_TOKENS), MAXIMUM_PROMPT_TOKENS);
            turns.add(
                    new Turn(
                            (long) atMillis,
                            key,
                            prompt,
                            Math.min(history, prompt),
                            generated,
                            random.nextInt(settings.routers()),
                            random.nextDouble() < settings.tokenShare()));
            history = prompt + generated;
            atMillis += MILLIS_PER_SECOND + sampleExponential(random, settings.meanThinkMillis());
        }
    }

    /**
     * Draws from an exponential distribution.
     *
     * @param random Draws numbers.
     * @param mean The mean.
     * @return A number.
     */
    private static double sampleExponential(SplittableRandom random, double mean) {
        return -mean * Math.log(1 - random.nextDouble());
    }
}
