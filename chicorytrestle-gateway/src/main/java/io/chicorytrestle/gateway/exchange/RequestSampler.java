package io.chicorytrestle.gateway.exchange;

/** Maps the identifier of a request to a number, which every instance computes alike. */
final class RequestSampler {

    /** The multiplier of a 64-bit mixing step (Steele, Lea and Flood 2014). */
    private static final long MULTIPLIER = 0xbf58476d1ce4e5b9L;

    /** The shift of the mixing step. */
    private static final int SHIFT = 31;

    /** The number of bits of a 64-bit hash that exceed the precision of a double. */
    private static final int SURPLUS_BITS = 11;

    /** The distance between adjacent doubles from one half to one. */
    private static final double DOUBLE_UNIT = 0x1.0p-53;

    /** Prevents instantiation. */
    private RequestSampler() {}

    /**
     * Hashes an identifier to a uniformly distributed number.
     *
     * @param id The identifier of the request.
     * @return A number from zero, inclusive, to one, exclusive.
     */
    static double sample(String id) {
        long mixed = id.hashCode() * MULTIPLIER;
        mixed = (mixed ^ (mixed >>> SHIFT)) * MULTIPLIER;
        mixed ^= mixed >>> SHIFT;
        return (mixed >>> SURPLUS_BITS) * DOUBLE_UNIT;
    }
}
