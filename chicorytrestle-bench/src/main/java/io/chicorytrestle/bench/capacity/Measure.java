package io.chicorytrestle.bench.capacity;

import com.google.common.collect.ImmutableList;
import com.google.errorprone.annotations.Immutable;

/** Measures one cost at several sizes. */
interface Measure {

    /**
     * Returns what is measured, and at which sizes.
     *
     * @return The scale of this measure.
     */
    Definition definition();

    /**
     * Measures at one size.
     *
     * @param size The size.
     * @param seed The seed of random choices.
     * @return The measured value in this measure's unit.
     * @throws Exception If the measure could not be taken.
     */
    double sample(int size, long seed) throws Exception;

    /**
     * Tells what is measured, and at which sizes.
     *
     * @param key The name in reports and formulas, in camel case.
     * @param unit The unit of what is measured, such as bytes or nanoseconds.
     * @param per One thing that the sizes count, in the singular.
     * @param sizes At least three sizes, smallest first.
     */
    @Immutable
    record Definition(String key, String unit, String per, ImmutableList<Integer> sizes) {}
}
