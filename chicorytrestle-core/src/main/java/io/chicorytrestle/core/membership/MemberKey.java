package io.chicorytrestle.core.membership;

/**
 * Identifies a member over all its restarts. Entry instances are ordered before endpoints.
 *
 * @param isInstance {@code true} for an entry instance, {@code false} for an endpoint.
 * @param name The member's name.
 */
public record MemberKey(boolean isInstance, String name) implements Comparable<MemberKey> {

    @Override
    public int compareTo(MemberKey other) {
        int order = Boolean.compare(other.isInstance, isInstance);
        return order == 0 ? name.compareTo(other.name) : order;
    }
}
