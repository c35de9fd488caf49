package io.chicorytrestle.bench.history;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Describes one fault that a history injects.
 *
 * @param kind The kind of fault.
 * @param atMillis The virtual time at which the fault starts, in milliseconds.
 * @param target A number that selects the affected instance, endpoint or zone, modulo their count.
 * @param durationMillis The duration of the fault in milliseconds; ignored by kinds that have a
 *     duration of their own.
 */
public record Fault(FaultKind kind, long atMillis, int target, long durationMillis) {

    /** The exclusive upper bound of the time at which faults start, in milliseconds. */
    static final int SPAN_MILLIS = 20_000;

    /** The earliest time at which a fault starts, in milliseconds. */
    private static final int EARLIEST_MILLIS = 2_000;

    /** The minimum duration of a fault in milliseconds. */
    private static final int MINIMUM_DURATION_MILLIS = 500;

    /** The exclusive upper bound of the duration of a fault in milliseconds. */
    private static final int MAXIMUM_DURATION_MILLIS = 8_000;

    /** The maximum number of faults in a history with a single kind of fault. */
    private static final int MAXIMUM_FAULTS = 4;

    /** The maximum number of faults in a history with mixed kinds of faults. */
    private static final int MAXIMUM_MIXED_FAULTS = 8;

    /** The exclusive upper bound of target numbers. */
    private static final int TARGET_BOUND = 60;

    /**
     * Creates the fault schedule of a history. The seed modulo twice the number of kinds decides
     * whether all faults are of one kind, and of which, or of mixed kinds.
     *
     * @param seed The seed.
     * @return The faults, in no particular order; always the same for the same seed.
     */
    static List<Fault> schedule(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        FaultKind[] kinds = FaultKind.values();
        int kindIndex = (int) Math.floorMod(seed, 2L * kinds.length);
        boolean mixed = kindIndex >= kinds.length;
        int count = 1 + random.nextInt(mixed ? MAXIMUM_MIXED_FAULTS : MAXIMUM_FAULTS);
        List<Fault> faults = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            FaultKind kind = mixed ? kinds[random.nextInt(kinds.length)] : kinds[kindIndex];
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
