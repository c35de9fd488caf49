package io.chicorytrestle.bench.routing;

import io.chicorytrestle.core.identity.ChatKey;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;

/** Generates the random turns of a run, which are the same for every strategy under test. */
final class TraceGenerator {

    /** The milliseconds in a second. */
    private static final double MILLIS_PER_SECOND = 1_000;

    /** The minimum size of a chat's first prompt in tokens. */
    private static final int MINIMUM_FIRST_PROMPT_TOKENS = 400;

    /** The mean number of tokens that a caller adds in a turn. */
    private static final int MEAN_USER_TOKENS = 300;

    /** The mean number of tokens that a turn generates. */
    private static final int MEAN_GENERATED_TOKENS = 150;

    /** The maximum size of a prompt in tokens. */
    private static final int MAXIMUM_PROMPT_TOKENS = 16_000;

    /** Prevents instantiation. */
    private TraceGenerator() {}

    /**
     * Generates the turns of a run; chats start as a Poisson process.
     *
     * @param settings The distribution of the turns.
     * @param seed The seed, which determines the turns.
     * @return The turns in order of time.
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
     * Shifts turns to a later time and to separate chats.
     *
     * @param turns The turns.
     * @param offsetMillis The time to add in milliseconds.
     * @param prefix The prefix of the chats' identifiers.
     * @return The shifted turns.
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
     * Generates the turns of a chat.
     *
     * @param turns Receives the turns.
     * @param settings The distribution of the turns.
     * @param random The random source.
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
            int prompt =
                    Math.min(
                            MAXIMUM_PROMPT_TOKENS,
                            (index == 0 ? MINIMUM_FIRST_PROMPT_TOKENS : history) + added);
            int generated =
                    1
                            + (int)
                                    Math.min(
                                            sampleExponential(random, MEAN_GENERATED_TOKENS),
                                            MAXIMUM_PROMPT_TOKENS);
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
     * Samples an exponential distribution.
     *
     * @param random The random source.
     * @param mean The mean of the distribution.
     * @return A non-negative number.
     */
    private static double sampleExponential(SplittableRandom random, double mean) {
        return -mean * Math.log(1 - random.nextDouble());
    }
}
