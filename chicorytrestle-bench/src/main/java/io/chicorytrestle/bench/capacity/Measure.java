package io.chicorytrestle.bench.capacity;

import com.google.common.collect.ImmutableList;
import com.google.errorprone.annotations.Immutable;

/** A cost that is sampled at several sizes. */
interface Measure {

    /**
     * Returns the name, the unit and the sizes of this measure.
     *
     * @return The definition of this measure.
     */
    Definition definition();

    /**
     * Samples the cost at one size.
     *
     * @param size The size.
     * @param seed The seed of random choices.
     * @return The measured value in this measure's unit.
     * @throws Exception If the sample failed.
     */
    double sample(int size, long seed) throws Exception;

    /**
     * Describes what is measured and at which sizes.
     *
     * @param key The name in reports and formulas, in camel case.
     * @param unit The unit of what is measured, such as bytes or nanoseconds.
     * @param per The noun, in the singular, for what the sizes count.
     * @param sizes At least three sizes in ascending order.
     */
    @Immutable
    record Definition(String key, String unit, String per, ImmutableList<Integer> sizes) {}
}
