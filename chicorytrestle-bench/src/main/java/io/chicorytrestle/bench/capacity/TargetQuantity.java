package io.chicorytrestle.bench.capacity;

import java.util.Locale;

/** Enumerates the quantities of the two-year target and those derived from them. */
enum TargetQuantity {

    /** The number of entry instances. */
    NODES(390, "entry instances"),

    /** The number of workers behind them. */
    WORKERS(2_400, "workers"),

    /**
     * The number of the workers' accelerators; the workers report load, so nodes keep no state for
     * accelerators.
     */
    ACCELERATORS(4_900, "accelerators"),

    /** The requests per second of the entire fleet. */
    REQUESTS_PER_SECOND(5_600, "requests a second"),

    /** The tokens per second that the entire fleet generates. */
    TOKENS_PER_SECOND(1_800_000, "tokens a second"),

    /** The time between two tokens of a response in seconds. */
    SECONDS_BETWEEN_TOKENS(0.053, "seconds between tokens"),

    /** The time to the first token of a response in seconds. */
    FIRST_TOKEN_SECONDS(1.2, "seconds to the first token"),

    /**
     * The number of chats that may return; callers present their placement, so nodes keep no state
     * for chats.
     */
    CHATS(5_800_000, "returning chats"),

    /** The number of workspaces. */
    WORKSPACES(230, "workspaces"),

    /** The number of models. */
    MODELS(12, "models"),

    /** The number of regions. */
    REGIONS(4, "regions"),

    /** The number of availability zones. */
    ZONES(11, "availability zones"),

    /** The table changes per day. */
    CHANGES_PER_DAY(7_000, "table changes a day"),

    /** The restarts of entry instances and endpoints per day. */
    RESTARTS_PER_DAY(400, "restarts a day"),

    /** The failures of instances per day. */
    FAILURES_PER_DAY(21, "failures a day"),

    /** The mean number of tokens of a response. */
    TOKENS_PER_ANSWER(
            TOKENS_PER_SECOND.value / REQUESTS_PER_SECOND.value, "tokens of a mean answer"),

    /** The requests per second of one node. */
    NODE_REQUESTS_PER_SECOND(
            REQUESTS_PER_SECOND.value / NODES.value, "requests a second of a node"),

    /** The tokens per second that pass through one node. */
    NODE_TOKENS_PER_SECOND(TOKENS_PER_SECOND.value / NODES.value, "tokens a second of a node"),

    /** The turns in flight on one node: its request rate times the duration of a turn. */
    NODE_TURNS(
            NODE_REQUESTS_PER_SECOND.value
                    * (FIRST_TOKEN_SECONDS.value
                            + TOKENS_PER_ANSWER.value * SECONDS_BETWEEN_TOKENS.value),
            "turns in flight of a node"),

    /** The engines of one pool in one region, with one pool for each model. */
    POOL_ENGINES(WORKERS.value / (MODELS.value * REGIONS.value), "engines of a pool in a region"),

    /** The admissions per second that the leader of one pool in one region decides. */
    STEWARD_REQUESTS_PER_SECOND(
            REQUESTS_PER_SECOND.value / (MODELS.value * REGIONS.value),
            "admissions a second of a pool in a region");

    /** The value, in the unit that the description names. */
    private final double value;

    /** The unit or the counted items, for the page. */
    private final String description;

    /**
     * Creates a new quantity.
     *
     * @param value The value.
     * @param description The unit or the counted items, for the page.
     */
    TargetQuantity(double value, String description) {
        this.value = value;
        this.description = description;
    }

    /**
     * Returns the value of this quantity.
     *
     * @return The value, in the unit that the description names.
     */
    double value() {
        return value;
    }

    /**
     * Returns the unit or the counted items.
     *
     * @return The description for the page.
     */
    String description() {
        return description;
    }

    /**
     * Formats the value for the page.
     *
     * @return The value without decimals if it is integral, or else with three.
     */
    String formattedValue() {
        return value == Math.rint(value)
                ? String.format(Locale.ROOT, "%,d", (long) value)
                : String.format(Locale.ROOT, "%,.3f", value);
    }
}
