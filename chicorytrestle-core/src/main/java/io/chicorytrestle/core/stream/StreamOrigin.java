package io.chicorytrestle.core.stream;

/**
 * Describes the endpoint that wrote the first event of a stream.
 *
 * @param service The name of its service.
 * @param version The version of its software, without an order, or empty if unknown.
 */
public record StreamOrigin(String service, String version) {

    /** The origin of an identifier that names streams of several origins. */
    public static final StreamOrigin AMBIGUOUS = new StreamOrigin("", "");

    /**
     * Returns {@code true} if endpoints of the same version can be found.
     *
     * @return {@code false} if the version is unknown or the origin is ambiguous.
     */
    public boolean isKnown() {
        return !version.isEmpty();
    }

    /**
     * Combines two origins that were recorded for one identifier.
     *
     * @param other The other origin.
     * @return The origin, ambiguous unless both are equal.
     */
    public StreamOrigin combinedWith(StreamOrigin other) {
        return equals(other) ? this : AMBIGUOUS;
    }
}
