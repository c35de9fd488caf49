package io.chicorytrestle.core.membership;

import io.chicorytrestle.core.identity.EndpointKind;
import java.util.Arrays;
import java.util.Optional;

/** Enumerates the kinds of members of the fleet. */
public enum MemberKind {

    /** An entry instance. */
    INSTANCE(1),

    /** A model engine. */
    ENGINE(2),

    /** A plain service. */
    SERVICE(3);

    /** The number that identifies the kind in messages between entry instances. */
    private final int number;

    /**
     * Creates a new kind.
     *
     * @param number The number that identifies the kind in messages between entry instances.
     */
    MemberKind(int number) {
        this.number = number;
    }

    /**
     * Returns the kind of a number.
     *
     * @param number The number.
     * @return The kind, or empty if this version doesn't know the number.
     */
    public static Optional<MemberKind> of(int number) {
        return Arrays.stream(values()).filter(kind -> kind.number == number).findFirst();
    }

    /**
     * Returns the kind of an endpoint.
     *
     * @param kind The kind of endpoint.
     * @return The kind of member.
     */
    public static MemberKind of(EndpointKind kind) {
        return kind == EndpointKind.ENGINE ? ENGINE : SERVICE;
    }

    /**
     * Returns the number that identifies the kind in messages between entry instances.
     *
     * @return The number, which is part of the wire format.
     */
    public int number() {
        return number;
    }

    /**
     * Returns the kind of endpoint of this kind of member.
     *
     * @return The kind of endpoint; a service for an entry instance.
     */
    EndpointKind endpointKind() {
        return this == ENGINE ? EndpointKind.ENGINE : EndpointKind.SERVICE;
    }
}
