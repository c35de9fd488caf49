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

/** Reads the platform's lagging list of entry instances and endpoints. */
final class InstanceListParser {

    /** Writes log lines. */
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** Reads JSON. */
    private static final ObjectMapper MAPPER =
            new ObjectMapper().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

    /** Prevents instances. */
    private InstanceListParser() {}

    /**
     * Parses the platform's list. An entry that is malformed is left out and logged.
     *
     * @param content The list in JSON.
     * @return The list.
     * @throws UncheckedIOException If the list as a whole is malformed.
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
     * Adds an entry unless it is malformed.
     *
     * @param entry Converts the entry.
     * @param facts Receives the fact.
     */
    private static void addIfValid(Supplier<MemberFact> entry, List<MemberFact> facts) {
        try {
            facts.add(entry.get());
        } catch (IllegalArgumentException exception) {
            LOGGER.atWarning().log("Cannot use entry of instance list: %s", exception.getMessage());
        }
    }

    /** Enumerates the states of the platform's list. */
    enum State {
        /** The listed process runs. */
        LIVE,
        /** The listed process is leaving. */
        LEAVING
    }

    /**
     * The platform's list.
     *
     * @param entryInstances The entry instances.
     * @param endpoints The endpoints.
     */
    private record Listing(
            @Nullable List<ListedInstance> entryInstances,
            @Nullable List<ListedEndpoint> endpoints) {}

    /**
     * An entry instance of the platform's list.
     *
     * @param name The name.
     * @param zone The availability zone.
     * @param host The IP number.
     * @param port The peer port.
     * @param incarnation The incarnation.
     * @param state The state.
     */
    private record ListedInstance(
            String name, String zone, String host, int port, long incarnation, State state) {

        /**
         * Returns this entry as a fact.
         *
         * @return This entry as a fact.
         */
        MemberFact toFact() {
            return MemberFact.of(
                    MemberDescription.of(new InstanceIdentity(name, zone, incarnation), host, port),
                    state != State.LIVE);
        }
    }

    /**
     * An endpoint of the platform's list.
     *
     * @param name The name.
     * @param incarnation The incarnation.
     * @param kind The kind.
     * @param pool The pool.
     * @param zone The availability zone.
     * @param host The IP number.
     * @param port The TCP port.
     * @param capacity The requests that the endpoint can run at the same time.
     * @param state The state.
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
         * Returns this entry as a fact.
         *
         * @return This entry as a fact.
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
