package io.chicorytrestle.bench.overhead;

import com.google.common.hash.Hashing;
import io.chicorytrestle.daemon.DaemonNode;
import io.chicorytrestle.daemon.settings.Settings;
import io.chicorytrestle.daemon.settings.SettingsException;
import io.chicorytrestle.standin.http.Scenario;
import io.chicorytrestle.standin.http.StandInFleet;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;

/** Starts the daemon within this process in front of stand-ins. */
final class DaemonUnderTest {

    /** The workspace of the caller. */
    static final String WORKSPACE = "bench";

    /** The name of the pool of engines. */
    static final String POOL = "guidance";

    /** The prefix of the names of the threads that serve callers. */
    static final String THREAD_NAME_PREFIX = "callers";

    /** The secret of the workspace. */
    private static final String SECRET = "bench-secret-of-the-run";

    /** The table, whose limits are too high to affect the measurement. */
    private static final String TABLE =
            """
            version: 1
            workspaces:
              - {name: %s, share: 1, ceiling: 100000, priority: 5, queue: 10000}
            pools:
              - {name: %s, kind: engine, multiple: 10, ceiling: 10000, model: m, version: "1"}
            """
                    .formatted(WORKSPACE, POOL);

    /**
     * The format of the settings, with the number of threads and the platform's URLs as arguments.
     */
    private static final String SETTINGS =
            """
            instance: {name: bench-1, zone: bench}
            callers: {host: 127.0.0.1, port: 0, threads: %d}
            operators: {host: 127.0.0.1, port: 0}
            peers: {host: 127.0.0.1, port: 0, keys: [{id: k, secret: 0123456789abcdef}]}
            platform: {configuration: "%s", instanceList: "%s", weightStore: "%s"}
            tickets: {keys: [{id: k, secret: 0123456789abcdef}]}
            endpoints: {checkFencing: [], checkIdempotencyKeys: []}
            limits: {}
            drain: {}
            """;

    /** Prevents instantiation. */
    private DaemonUnderTest() {}

    /**
     * Creates a scenario for stand-ins with one engine.
     *
     * @param engine The engine.
     * @return The scenario.
     */
    static Scenario scenario(Scenario.EndpointSpecification engine) {
        return new Scenario(
                HttpClients.HOST,
                0,
                0,
                0,
                0,
                Scenario.Platform.DEFAULT,
                Map.of("table", TABLE, "workspace-keys", workspaceKeys()),
                List.of(),
                List.of(engine));
    }

    /**
     * Starts the daemon.
     *
     * @param fleet The stand-ins.
     * @param threads The number of event loops that serve callers.
     * @return The daemon.
     * @throws IOException If the daemon cannot start.
     */
    static DaemonNode start(StandInFleet fleet, int threads) throws IOException {
        StandInFleet.Addresses addresses = fleet.addresses();
        String text =
                SETTINGS.formatted(
                        threads,
                        addresses.configuration(),
                        addresses.instanceList(),
                        addresses.weightStore());
        try {
            return DaemonNode.start(Settings.parse(text));
        } catch (SettingsException exception) {
            throw new IOException("Invalid settings: " + exception.faults(), exception);
        }
    }

    /**
     * Returns the authorization header of the workspace.
     *
     * @return The header's value.
     */
    static String authorization() {
        return "Bearer " + WORKSPACE + ":" + SECRET;
    }

    /**
     * Returns the workspace's salted hash in the format of the configuration service.
     *
     * @return The value in YAML.
     */
    private static String workspaceKeys() {
        String hash =
                Hashing.sha256().hashString("salt" + SECRET, StandardCharsets.UTF_8).toString();
        return "workspaces: [{name: %s, salt: salt, hash: \"%s\"}]".formatted(WORKSPACE, hash);
    }
}
