package io.chicorytrestle.bench.capacity;

import java.util.Locale;

/** Enumerates the numbers of the two-year target, with those that follow from them. */
enum TargetQuantity {

    /** The entry instances. */
    NODES(390, "entry instances"),

    /** The workers before which they stand. */
    WORKERS(2_400, "workers"),

    /**
     * The accelerators of the workers; the workers report load, so that no state is kept for these.
     */
    ACCELERATORS(4_900, "accelerators"),

    /** The requests of the whole fleet in a second. */
    REQUESTS_PER_SECOND(5_600, "requests a second"),

    /** The tokens that the whole fleet generates in a second. */
    TOKENS_PER_SECOND(1_800_000, "tokens a second"),

    /** The seconds between two tokens of an answer. */
    SECONDS_BETWEEN_TOKENS(0.053, "seconds between tokens"),

    /** The seconds until the first token of an answer. */
    FIRST_TOKEN_SECONDS(1.2, "seconds to the first token"),

    /**
     * The chats that may return; callers carry their placement, so that no state is kept for them.
     */
    CHATS(5_800_000, "returning chats"),

    /** The workspaces. */
    WORKSPACES(230, "workspaces"),

    /** The models. */
    MODELS(12, "models"),

    /** The regions. */
    REGIONS(4, "regions"),

    /** The availability zones. */
    ZONES(11, "availability zones"),

    /** The changes of the table in a day. */
    CHANGES_PER_DAY(7_000, "table changes a day"),

    /** The restarts of entry instances and endpoints in a day. */
    RESTARTS_PER_DAY(400, "restarts a day"),

    /** The instances that fail in a day. */
    FAILURES_PER_DAY(21, "failures a day"),

    /** The tokens of a mean answer. */
    TOKENS_PER_ANSWER(
            TOKENS_PER_SECOND.value / REQUESTS_PER_SECOND.value, "tokens of a mean answer"),

    /** The requests that one node serves in a second. */
    NODE_REQUESTS_PER_SECOND(
            REQUESTS_PER_SECOND.value / NODES.value, "requests a second of a node"),

    /** The tokens that pass through one node in a second. */
    NODE_TOKENS_PER_SECOND(TOKENS_PER_SECOND.value / NODES.value, "tokens a second of a node"),

    /** The turns in flight of one node. */
    NODE_TURNS(
            NODE_REQUESTS_PER_SECOND.value
                    * (FIRST_TOKEN_SECONDS.value
                            + TOKENS_PER_ANSWER.value * SECONDS_BETWEEN_TOKENS.value),
            "turns in flight of a node"),

    /** The engines of one pool in one region. */
    POOL_ENGINES(WORKERS.value / (MODELS.value * REGIONS.value), "engines of a pool in a region"),

    /** The admissions that the steward of one pool in one region decides in a second. */
    STEWARD_REQUESTS_PER_SECOND(
            REQUESTS_PER_SECOND.value / (MODELS.value * REGIONS.value),
            "admissions a second of a pool in a region");

    /** The number. */
    private final double value;

    /** What the number counts. */
    private final String description;

    /**
     * Creates a new number.
     *
     * @param value The number.
     * @param text What the number counts.
     */
    TargetQuantity(double value, String text) {
        this.value = value;
        this.description = text;
    }

    /**
     * Returns the number.
     *
     * @return The number.
     */
    double value() {
        return value;
    }

    /**
     * Returns what the number counts.
     *
     * @return What the number counts.
     */
    String description() {
        return description;
    }

    /**
     * Returns the number as text.
     *
     * @return The number, with at most three decimals.
     */
    String formattedValue() {
        return value == Math.rint(value)
                ? String.format(Locale.ROOT, "%,d", (long) value)
                : String.format(Locale.ROOT, "%,.3f", value);
    }
}
