package io.chicorytrestle.daemon.platform;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.flogger.FluentLogger;
import io.chicorytrestle.core.identity.Endpoint;
import io.chicorytrestle.core.identity.EndpointIdentity;
import io.chicorytrestle.core.identity.EndpointKind;
import io.chicorytrestle.core.identity.InstanceIdentity;
import io.chicorytrestle.core.membership.MemberDescription;
import io.chicorytrestle.core.membership.MemberFact;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;

/**
 * Parses the platform's list of entry instances and endpoints, which lags behind their actual
 * state.
 */
final class InstanceListParser {

    /** The logger of this class. */
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** Parses JSON, ignoring unknown members. */
    private static final ObjectMapper MAPPER =
            new ObjectMapper().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

    /** Not instantiable. */
    private InstanceListParser() {}

    /**
     * Parses the instance list. Malformed entries are skipped and logged.
     *
     * @param content The list as JSON.
     * @return The listed entry instances and endpoints as facts for the membership.
     * @throws UncheckedIOException If the list itself is malformed.
     */
    static List<MemberFact> parse(byte[] content) {
        Listing listing;
        try {
            listing = MAPPER.readValue(content, Listing.class);
        } catch (IOException exception) {
            throw new UncheckedIOException("Cannot read instance list", exception);
        }
        List<MemberFact> facts = new ArrayList<>();
        if (listing.entryInstances() != null) {
            listing.entryInstances().forEach(entry -> addIfValid(entry::toFact, facts));
        }
        if (listing.endpoints() != null) {
            listing.endpoints().forEach(entry -> addIfValid(entry::toFact, facts));
        }
        return List.copyOf(facts);
    }

    /**
     * Adds an entry, or logs it if it is malformed.
     *
     * @param entry Converts the entry; it throws an {@link IllegalArgumentException} if the entry
     *     is malformed.
     * @param facts Receives the entry.
     */
    private static void addIfValid(Supplier<MemberFact> entry, List<MemberFact> facts) {
        try {
            facts.add(entry.get());
        } catch (IllegalArgumentException exception) {
            LOGGER.atWarning().log(
                    "Skipped malformed entry of the instance list: %s", exception.getMessage());
        }
    }

    /** The states of listed processes. */
    enum State {
        /** The listed process runs. */
        LIVE,
        /** The listed process is leaving. */
        LEAVING
    }

    /**
     * The body of the instance list.
     *
     * @param entryInstances The entry instances, or {@code null} if there are none.
     * @param endpoints The endpoints, or {@code null} if there are none.
     */
    private record Listing(
            @Nullable List<ListedInstance> entryInstances,
            @Nullable List<ListedEndpoint> endpoints) {}

    /**
     * An entry instance on the list.
     *
     * @param name The name of the entry instance.
     * @param zone The availability zone.
     * @param host The IP address of the peer channel.
     * @param port The TCP port of the peer channel.
     * @param incarnation The incarnation, which increases with each start.
     * @param state The state of the process.
     */
    private record ListedInstance(
            String name, String zone, String host, int port, long incarnation, State state) {

        /**
         * Converts this entry to a fact for the membership.
         *
         * @return The fact, which marks the entry instance as leaving unless it is live.
         */
        MemberFact toFact() {
            return MemberFact.of(
                    MemberDescription.of(new InstanceIdentity(name, zone, incarnation), host, port),
                    state != State.LIVE);
        }
    }

    /**
     * An endpoint on the list.
     *
     * @param name The name of the endpoint.
     * @param incarnation The incarnation, which increases with each start.
     * @param kind Whether the endpoint is an engine or a plain service.
     * @param pool The name of the pool.
     * @param zone The availability zone.
     * @param host The IP address.
     * @param port The TCP port.
     * @param capacity The number of requests that the endpoint can run concurrently.
     * @param state The state of the process.
     */
    private record ListedEndpoint(
            String name,
            long incarnation,
            EndpointKind kind,
            String pool,
            String zone,
            String host,
            int port,
            int capacity,
            State state) {

        /**
         * Converts this entry to a fact for the membership.
         *
         * @return The fact, which marks the endpoint as leaving unless it is live.
         */
        MemberFact toFact() {
            return MemberFact.of(
                    MemberDescription.of(
                            new Endpoint(
                                    new EndpointIdentity(name, incarnation),
                                    kind,
                                    pool,
                                    zone,
                                    host,
                                    port,
                                    capacity)),
                    state != State.LIVE);
        }
    }
}
