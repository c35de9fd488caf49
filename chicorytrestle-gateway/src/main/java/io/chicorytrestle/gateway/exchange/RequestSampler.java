package io.chicorytrestle.gateway.exchange;

/** Draws a number for a request that stays the same wherever the request is seen. */
final class RequestSampler {

    /** The multiplier of a 64-bit mixing step (Steele, Lea and Flood 2014). */
    private static final long MULTIPLIER = 0xbf58476d1ce4e5b9L;

    /** The shift of the mixing step. */
    private static final int SHIFT = 31;

    /** The bits that a double cannot hold. */
    private static final int SURPLUS_BITS = 11;

    /** The distance of neighbouring doubles between one half and one. */
    private static final double DOUBLE_UNIT = 0x1.0p-53;

    /** Not to be created. */
    private RequestSampler() {}

    /**
     * Draws a number.
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
