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

/** Starts the daemon's own code within this process, in front of the given stand-ins. */
final class DaemonUnderTest {

    /** The workspace that calls. */
    static final String WORKSPACE = "bench";

    /** The pool of engines. */
    static final String POOL = "guidance";

    /** The beginning of the names of the threads that serve callers. */
    static final String THREAD_NAME_PREFIX = "callers";

    /** The workspace's secret. */
    private static final String SECRET = "bench-secret-of-the-run";

    /** The table. */
    private static final String TABLE =
            """
            version: 1
            workspaces:
              - {name: %s, share: 1, ceiling: 100000, priority: 5, queue: 10000}
            pools:
              - {name: %s, kind: engine, multiple: 10, ceiling: 10000, model: m, version: "1"}
            """
                    .formatted(WORKSPACE, POOL);

    /** The settings, of which the platform's addresses and the threads are left open. */
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

    /** Prevents instances. */
    private DaemonUnderTest() {}

    /**
     * Describes stand-ins with one engine.
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
     * @param threads The event loops that serve callers.
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
            throw new IOException("Cannot use settings: " + exception.faults(), exception);
        }
    }

    /**
     * Returns what the workspace shows to authenticate.
     *
     * @return The header's value.
     */
    static String authorization() {
        return "Bearer " + WORKSPACE + ":" + SECRET;
    }

    /**
     * Describes the workspace's key as the configuration service holds it.
     *
     * @return The value.
     */
    private static String workspaceKeys() {
        String hash =
                Hashing.sha256().hashString("salt" + SECRET, StandardCharsets.UTF_8).toString();
        return "workspaces: [{name: %s, salt: salt, hash: \"%s\"}]".formatted(WORKSPACE, hash);
    }
}
