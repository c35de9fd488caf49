package io.chicorytrestle.core.membership;

import io.chicorytrestle.core.identity.Endpoint;
import io.chicorytrestle.core.identity.EndpointIdentity;
import io.chicorytrestle.core.identity.InstanceIdentity;
import io.chicorytrestle.core.identity.Names;
import java.util.Comparator;

/**
 * Describes one run of a member as the platform lists it. Its string form is hashed into the
 * digests that instances compare, so that the type and its components must keep their names.
 *
 * @param kind The number of the member's kind, see {@link MemberKind#number()}.
 * @param name The member's name, unique among entry instances or among endpoints.
 * @param incarnation A number that grows with each start of the member.
 * @param zone The availability zone.
 * @param host The IP address.
 * @param port The TCP port; the peer channel's for an entry instance.
 * @param pool The pool, or an empty string for an entry instance.
 * @param capacity The number of requests that an endpoint can run concurrently; zero for an entry
 *     instance.
 */
public record MemberDescription(
        int kind,
        String name,
        long incarnation,
        String zone,
        String host,
        int port,
        String pool,
        int capacity)
        implements Comparable<MemberDescription> {

    /** The largest TCP port. */
    private static final int MAXIMUM_PORT = 65535;

    /** The maximum length of a host in characters. */
    private static final int MAXIMUM_HOST_LENGTH = 64;

    /** Orders descriptions by incarnation first; the other components only make the order total. */
    private static final Comparator<MemberDescription> ORDER =
            Comparator.comparingLong(MemberDescription::incarnation)
                    .thenComparing(MemberDescription::name)
                    .thenComparingInt(MemberDescription::kind)
                    .thenComparing(MemberDescription::zone)
                    .thenComparing(MemberDescription::host)
                    .thenComparingInt(MemberDescription::port)
                    .thenComparing(MemberDescription::pool)
                    .thenComparingInt(MemberDescription::capacity);

    /**
     * Creates a new description.
     *
     * @throws IllegalArgumentException If a value is malformed or out of its range.
     */
    public MemberDescription {
        Names.require("member", name);
        Names.require("availability zone", zone);
        if (MemberKind.of(kind).isEmpty()) {
            throw new IllegalArgumentException("Cannot use unknown kind of member: " + kind);
        }
        if (incarnation < 0 || port < 0 || port > MAXIMUM_PORT || capacity < 0) {
            throw new IllegalArgumentException(
                    "Cannot use incarnation %d, port %d and capacity %d of member: %s"
                            .formatted(incarnation, port, capacity, name));
        }
        if (host.length() > MAXIMUM_HOST_LENGTH) {
            throw new IllegalArgumentException("Cannot use too long host of member: " + name);
        }
        if (kind != MemberKind.INSTANCE.number() && (!Names.isValid(pool) || capacity == 0)) {
            throw new IllegalArgumentException(
                    "Cannot use endpoint without valid pool or capacity: " + name);
        }
    }

    /**
     * Creates a description of an entry instance.
     *
     * @param identity The entry instance's identity.
     * @param host The IP address of the peer channel.
     * @param port The TCP port of the peer channel.
     * @return The description.
     */
    public static MemberDescription of(InstanceIdentity identity, String host, int port) {
        return new MemberDescription(
                MemberKind.INSTANCE.number(),
                identity.name(),
                identity.incarnation(),
                identity.zone(),
                host,
                port,
                "",
                0);
    }

    /**
     * Creates a description of an endpoint.
     *
     * @param endpoint The endpoint.
     * @return The description.
     */
    public static MemberDescription of(Endpoint endpoint) {
        return new MemberDescription(
                MemberKind.of(endpoint.kind()).number(),
                endpoint.name(),
                endpoint.identity().incarnation(),
                endpoint.zone(),
                endpoint.host(),
                endpoint.port(),
                endpoint.pool(),
                endpoint.capacity());
    }

    /**
     * Returns the kind of member.
     *
     * @return The kind of member.
     */
    public MemberKind memberKind() {
        return MemberKind.of(kind).orElseThrow();
    }

    /**
     * Returns the key that identifies the member over its restarts.
     *
     * @return The member's key.
     */
    public MemberKey key() {
        return new MemberKey(memberKind() == MemberKind.INSTANCE, name);
    }

    /**
     * Returns this description for another run of the same member.
     *
     * @param incarnation The other run's incarnation.
     * @return The description of the other run.
     */
    public MemberDescription withIncarnation(long incarnation) {
        return new MemberDescription(kind, name, incarnation, zone, host, port, pool, capacity);
    }

    /**
     * Converts this description of an endpoint.
     *
     * @return The endpoint.
     */
    public Endpoint toEndpoint() {
        return new Endpoint(
                new EndpointIdentity(name, incarnation),
                memberKind().endpointKind(),
                pool,
                zone,
                host,
                port,
                capacity);
    }

    /**
     * Converts this description of an entry instance.
     *
     * @return The entry instance's identity.
     */
    public InstanceIdentity toInstanceIdentity() {
        return new InstanceIdentity(name, zone, incarnation);
    }

    @Override
    public int compareTo(MemberDescription other) {
        return ORDER.compare(this, other);
    }
}
