package io.chicorytrestle.bench.quickstart;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import com.google.common.hash.Hashing;
import io.chicorytrestle.core.identity.EndpointKind;
import io.chicorytrestle.standin.http.Scenario;
import io.chicorytrestle.standin.model.EngineProfile;
import java.io.IOException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;

/** Writes the settings of all entry instances, the stand-ins' scenario and the driver's plan. */
final class FleetPreparer {

    /** The IP address that all servers listen on. */
    private static final String HOST = "127.0.0.1";

    /** The availability zones. */
    private static final List<String> ZONES = List.of("palermo", "catania", "messina");

    /** The number of entry instances in each availability zone. */
    private static final int DAEMONS_PER_ZONE = 2;

    /** The number of engines in each availability zone. */
    private static final int ENGINES_PER_ZONE = 2;

    /** The number of requests that a plain service runs concurrently. */
    private static final int SERVICE_CAPACITY = 64;

    /** The engines' speed and size. */
    private static final EngineProfile ENGINE_PROFILE =
            new EngineProfile(16, 8_000, 120, 40_000, 64);

    /** The length of a secret in bytes. */
    private static final int SECRET_BYTES = 16;

    /** Reads and writes YAML. */
    private static final ObjectMapper YAML = new YAMLMapper();

    /** The random source of secrets. */
    private final SecureRandom random = new SecureRandom();

    /** Allocates ports for all servers. */
    private final FreePortFinder ports = new FreePortFinder();

    /** The directory to write to. */
    private final Path directory;

    /**
     * Creates a new preparer.
     *
     * @param directory The directory to write to.
     */
    FleetPreparer(Path directory) {
        this.directory = directory;
    }

    /**
     * Writes all files.
     *
     * @param seed The seed of the driver's random choices.
     * @throws IOException If a file cannot be written or no port is free.
     */
    void writeFiles(long seed) throws IOException {
        List<Plan.Workspace> workspaces =
                QuickstartTable.WORKSPACES.stream()
                        .map(name -> new Plan.Workspace(name, randomSecret()))
                        .toList();
        List<Scenario.EntryInstance> instances = new ArrayList<>();
        List<Plan.Daemon> daemons = new ArrayList<>();
        for (String zone : ZONES) {
            for (int number = 1; number <= DAEMONS_PER_ZONE; number++) {
                String name = zone + "-" + number;
                daemons.add(new Plan.Daemon(name, zone, freeAddress(), freeAddress()));
                instances.add(
                        new Scenario.EntryInstance(name, zone, HOST, ports.allocate(), 1, "LIVE"));
            }
        }
        Scenario scenario =
                new Scenario(
                        HOST,
                        ports.allocate(),
                        ports.allocate(),
                        ports.allocate(),
                        ports.allocate(),
                        Scenario.Platform.DEFAULT,
                        Map.of(
                                "table",
                                QuickstartTable.toYaml(1),
                                "workspace-keys",
                                workspaceKeys(workspaces)),
                        instances,
                        endpoints());
        YAML.writeValue(directory.resolve("scenario.yaml").toFile(), scenario);
        new Plan(seed, url(scenario.controlPort()), daemons, workspaces).write(directory);
        String key = randomSecret();
        for (int index = 0; index < daemons.size(); index++) {
            writeSettings(daemons.get(index), instances.get(index).port(), scenario, key);
        }
        Files.write(directory.resolve("names"), daemons.stream().map(Plan.Daemon::name).toList());
    }

    /**
     * Creates the specifications of the endpoints.
     *
     * @return The engines and plain services of all zones.
     */
    private static List<Scenario.EndpointSpecification> endpoints() {
        List<Scenario.EndpointSpecification> endpoints = new ArrayList<>();
        for (String zone : ZONES) {
            for (int number = 1; number <= ENGINES_PER_ZONE; number++) {
                endpoints.add(
                        new Scenario.EndpointSpecification(
                                "engine-" + zone + "-" + number,
                                EndpointKind.ENGINE,
                                QuickstartTable.CHAT_POOL,
                                zone,
                                0,
                                ENGINE_PROFILE.batchSlots(),
                                true,
                                ENGINE_PROFILE));
            }
            endpoints.add(
                    new Scenario.EndpointSpecification(
                            "booking-" + zone,
                            EndpointKind.SERVICE,
                            QuickstartTable.BOOKING_POOL,
                            zone,
                            0,
                            SERVICE_CAPACITY,
                            false,
                            null));
        }
        return endpoints;
    }

    /**
     * Writes the settings of an entry instance.
     *
     * @param daemon The entry instance.
     * @param peerPort The port that other entry instances connect to.
     * @param scenario The scenario.
     * @param secret The secret that all entry instances share.
     * @throws IOException If the file cannot be written.
     */
    private void writeSettings(Plan.Daemon daemon, int peerPort, Scenario scenario, String secret)
            throws IOException {
        ObjectNode root = YAML.createObjectNode();
        root.putObject("instance").put("name", daemon.name()).put("zone", daemon.zone());
        root.putObject("callers").put("host", HOST).put("port", port(daemon.callers()));
        root.putObject("operators").put("host", HOST).put("port", port(daemon.operators()));
        ObjectNode peers = root.putObject("peers").put("host", HOST).put("port", peerPort);
        addKey(peers.putArray("keys"), secret);
        root.putObject("platform")
                .put("configuration", url(scenario.configurationPort()))
                .put("instanceList", url(scenario.instanceListPort()))
                .put("weightStore", url(scenario.weightStorePort()));
        addKey(root.putObject("tickets").putArray("keys"), secret);
        ObjectNode endpoints = root.putObject("endpoints");
        endpoints.putArray("checkFencing").add(QuickstartTable.CHAT_POOL);
        endpoints.putArray("checkIdempotencyKeys");
        root.putObject("limits");
        root.putObject("drain");
        YAML.writeValue(directory.resolve(daemon.name() + ".yaml").toFile(), root);
    }

    /**
     * Adds a key to a list of the settings.
     *
     * @param keys The list of keys.
     * @param secret The secret.
     */
    private static void addKey(ArrayNode keys, String secret) {
        keys.addObject().put("id", "quickstart").put("secret", secret);
    }

    /**
     * Returns the salted hashes of the workspaces' secrets in the format of the configuration
     * service.
     *
     * @param workspaces The workspaces.
     * @return The value in YAML.
     * @throws IOException If the value cannot be written.
     */
    private String workspaceKeys(List<Plan.Workspace> workspaces) throws IOException {
        ObjectNode root = YAML.createObjectNode();
        ArrayNode list = root.putArray("workspaces");
        for (Plan.Workspace workspace : workspaces) {
            String salt = randomSecret();
            list.addObject()
                    .put("name", workspace.name())
                    .put("salt", salt)
                    .put(
                            "hash",
                            Hashing.sha256()
                                    .hashString(salt + workspace.secret(), StandardCharsets.UTF_8)
                                    .toString());
        }
        return YAML.writeValueAsString(root);
    }

    /**
     * Generates a random secret.
     *
     * @return The secret in hexadecimal.
     */
    private String randomSecret() {
        byte[] bytes = new byte[SECRET_BYTES];
        random.nextBytes(bytes);
        return HexFormat.of().formatHex(bytes);
    }

    /**
     * Allocates a free port.
     *
     * @return The URL.
     * @throws IOException If no port is free.
     */
    private String freeAddress() throws IOException {
        return url(ports.allocate());
    }

    /**
     * Returns the URL of a port.
     *
     * @param port The port.
     * @return The URL.
     */
    private static String url(int port) {
        return "http://" + HOST + ":" + port;
    }

    /**
     * Returns the port of a URL.
     *
     * @param url The URL.
     * @return The port.
     */
    private static int port(String url) {
        return URI.create(url).getPort();
    }
}
