package io.chicorytrestle.standin.http;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import io.chicorytrestle.core.identity.EndpointKind;
import io.chicorytrestle.standin.model.EngineProfile;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.jspecify.annotations.Nullable;

/**
 * The stand-ins to start, as a scenario file describes them. Port zero stands for any free port.
 *
 * @param host The IP address to bind.
 * @param controlPort The port of the control interface.
 * @param configurationPort The port of the configuration service.
 * @param instanceListPort The port of the instance list.
 * @param weightStorePort The port of the weight store.
 * @param platform The limits and lags of the platform, or {@code null} for the default ones.
 * @param values The initial values of the configuration service by key, or {@code null} for none.
 * @param entryInstances The entry instances on the initial instance list, or {@code null} for none.
 * @param endpoints The engines and plain services to start, or {@code null} for none.
 */
public record Scenario(
        String host,
        int controlPort,
        int configurationPort,
        int instanceListPort,
        int weightStorePort,
        Platform platform,
        Map<String, String> values,
        List<EntryInstance> entryInstances,
        List<EndpointSpecification> endpoints) {

    /** Creates a new scenario and fills in the defaults of missing parts. */
    public Scenario {
        platform = Objects.requireNonNullElse(platform, Platform.DEFAULT);
        values = Map.copyOf(Objects.requireNonNullElse(values, Map.of()));
        entryInstances = List.copyOf(Objects.requireNonNullElse(entryInstances, List.of()));
        endpoints = List.copyOf(Objects.requireNonNullElse(endpoints, List.of()));
    }

    /**
     * Reads a scenario from a file.
     *
     * @param file The YAML file.
     * @return The scenario.
     * @throws IOException If the file cannot be read or holds an unknown key.
     */
    public static Scenario read(Path file) throws IOException {
        return new ObjectMapper(new YAMLFactory()).readValue(file.toFile(), Scenario.class);
    }

    /**
     * The limits, lags and crash behaviour of the simulated platform.
     *
     * @param readsPerSecond The maximum number of reads a second of the configuration service.
     * @param weightReadsPerSecond The maximum number of reads a second of the weight store.
     * @param listLagMillis The lag of the instance list in milliseconds.
     * @param loadLagMillis The minimum time between two load measurements of an engine, in
     *     milliseconds.
     * @param cacheEventLagMillis The delay of the engines' cache events in milliseconds.
     * @param cacheEventLossEvery The interval of lost cache events, such as 10 for every tenth, or
     *     zero for no loss.
     * @param crashWord The text that crashes the engine that accepts a prompt with it.
     * @param restartMillis The delay until an engine that a prompt crashed is restarted, in
     *     milliseconds.
     */
    public record Platform(
            int readsPerSecond,
            int weightReadsPerSecond,
            long listLagMillis,
            long loadLagMillis,
            long cacheEventLagMillis,
            int cacheEventLossEvery,
            String crashWord,
            long restartMillis) {

        /** The settings of scenarios without their own. */
        public static final Platform DEFAULT =
                new Platform(2_000, 10, 500, 500, 1_000, 10, "crash-the-engine", 1_500);
    }

    /**
     * An entry instance in the instance list.
     *
     * @param name The name.
     * @param zone The availability zone.
     * @param host The IP address.
     * @param port The peer port.
     * @param incarnation The incarnation, larger after each start.
     * @param state Either {@code LIVE} or {@code LEAVING}.
     */
    public record EntryInstance(
            String name, String zone, String host, int port, long incarnation, String state) {}

    /**
     * An engine or plain service to start.
     *
     * @param name The name.
     * @param kind The kind.
     * @param pool The pool.
     * @param zone The availability zone.
     * @param port The port, or zero for a free one.
     * @param capacity The maximum number of concurrent requests.
     * @param checksFences {@code true} if an engine refuses orders with an outdated fencing token.
     * @param profile The engine's capacity and speed, or {@code null} for the default.
     */
    public record EndpointSpecification(
            String name,
            EndpointKind kind,
            String pool,
            String zone,
            int port,
            int capacity,
            boolean checksFences,
            @Nullable EngineProfile profile) {

        /**
         * Returns how much an engine can do.
         *
         * @return The given profile, or the default one with this capacity as its batch slots.
         */
        EngineProfile profileOrDefault() {
            EngineProfile defaults = EngineProfile.DEFAULT;
            return profile != null
                    ? profile
                    : new EngineProfile(
                            capacity,
                            defaults.prefillTokensPerSecond(),
                            defaults.decodeTokensPerSecond(),
                            defaults.cacheTokens(),
                            defaults.queueSlots());
        }
    }
}
