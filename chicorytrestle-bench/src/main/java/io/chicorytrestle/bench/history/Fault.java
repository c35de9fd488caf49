package io.chicorytrestle.bench.history;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Describes one fault of a history.
 *
 * @param kind The kind of fault.
 * @param atMillis The virtual time of the fault in milliseconds.
 * @param target Chooses what the fault hits.
 * @param durationMillis How long the fault lasts, in milliseconds.
 */
public record Fault(FaultKind kind, long atMillis, int target, long durationMillis) {

    /** The span in which faults begin, in milliseconds. */
    static final int SPAN_MILLIS = 20_000;

    /** The time of the earliest fault in milliseconds. */
    private static final int EARLIEST_MILLIS = 2_000;

    /** The shortest fault in milliseconds. */
    private static final int MINIMUM_DURATION_MILLIS = 500;

    /** The longest fault in milliseconds. */
    private static final int MAXIMUM_DURATION_MILLIS = 8_000;

    /** The most faults of a history of one kind. */
    private static final int MAXIMUM_FAULTS = 4;

    /** The most faults of a history of all kinds. */
    private static final int MAXIMUM_MIXED_FAULTS = 8;

    /** The bound of the numbers that choose a target. */
    private static final int TARGET_BOUND = 60;

    /**
     * Returns the faults of a history, all of one kind or of mixed kinds as the seed decides.
     *
     * @param seed The seed.
     * @return The faults.
     */
    static List<Fault> schedule(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        FaultKind[] kinds = FaultKind.values();
        int choice = (int) Math.floorMod(seed, 2L * kinds.length);
        boolean mixed = choice >= kinds.length;
        int count = 1 + random.nextInt(mixed ? MAXIMUM_MIXED_FAULTS : MAXIMUM_FAULTS);
        List<Fault> faults = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            FaultKind kind = mixed ? kinds[random.nextInt(kinds.length)] : kinds[choice];
            faults.add(
                    new Fault(
                            kind,
                            random.nextInt(EARLIEST_MILLIS, SPAN_MILLIS),
                            random.nextInt(TARGET_BOUND),
                            random.nextInt(MINIMUM_DURATION_MILLIS, MAXIMUM_DURATION_MILLIS)));
        }
        return faults;
    }
}
