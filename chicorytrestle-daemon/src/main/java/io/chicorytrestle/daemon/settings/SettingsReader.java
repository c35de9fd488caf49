package io.chicorytrestle.daemon.settings;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.databind.node.NullNode;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import com.google.common.collect.ImmutableMap;
import com.google.common.net.InetAddresses;
import io.chicorytrestle.core.identity.Names;
import io.chicorytrestle.daemon.settings.SettingSchema.ForInteger;
import io.chicorytrestle.daemon.settings.SettingSchema.ForList;
import io.chicorytrestle.daemon.settings.SettingSchema.ForObject;
import io.chicorytrestle.daemon.settings.SettingSchema.ForString;
import java.net.URI;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/** Parses, validates and binds settings. */
final class SettingsReader {

    /** The maximum TCP port. */
    private static final int MAXIMUM_PORT = 65_535;

    /** The minimum length of a secret. */
    private static final int MINIMUM_SECRET_CHARACTERS = 16;

    /** The maximum of most durations in milliseconds, one hour. */
    private static final int MAXIMUM_DURATION_MILLIS = 3_600_000;

    /** The maximum validity of a ticket in milliseconds, one day. */
    private static final int MAXIMUM_TICKET_LIFE_MILLIS = 86_400_000;

    /** The maximum length of request bodies and response buffers in bytes. */
    private static final int MAXIMUM_BYTES = 67_108_864;

    /** The maximum number of event loops. */
    private static final int MAXIMUM_THREADS = 64;

    /** The maximum bandwidth of the peer channel in bytes per second. */
    private static final int MAXIMUM_BYTES_PER_SECOND = 1_000_000_000;

    /** The minimum bandwidth of the peer channel in bytes per second. */
    private static final int MINIMUM_BYTES_PER_SECOND = 1_000;

    /** The maximum number of entries of a collection. */
    private static final int MAXIMUM_ENTRIES = 10_000_000;

    /** The default number of event loops that serve callers. */
    private static final long DEFAULT_THREADS = 2;

    /** The default maximum length of a request body in bytes. */
    private static final long DEFAULT_BODY_BYTES = 4_194_304;

    /** The default time-out for receiving a request in milliseconds. */
    private static final long DEFAULT_REQUEST_TIMEOUT_MILLIS = 10_000;

    /** The default time-out of idle connections in milliseconds. */
    private static final long DEFAULT_IDLE_TIMEOUT_MILLIS = 60_000;

    /** The default maximum number of milliseconds that a caller may leave bytes unread. */
    private static final long DEFAULT_WRITE_TIMEOUT_MILLIS = 10_000;

    /** The default number of milliseconds within which a response has to begin. */
    private static final long DEFAULT_DEADLINE_MILLIS = 30_000;

    /** The default bandwidth of the peer channel in bytes per second. */
    private static final long DEFAULT_BYTES_PER_SECOND = 5_000;

    /** The default number of entry instances of a zone that watch the configuration service. */
    private static final long DEFAULT_WATCHERS = 2;

    /** The default number of milliseconds that a watch request waits. */
    private static final long DEFAULT_WATCH_MILLIS = 10_000;

    /** The default period of reading the instance list in milliseconds. */
    private static final long DEFAULT_LIST_MILLIS = 1_000;

    /** The default validity of a ticket in milliseconds. */
    private static final long DEFAULT_TICKET_LIFE_MILLIS = 900_000;

    /** The default connect time-out for endpoints in milliseconds. */
    private static final long DEFAULT_CONNECT_TIMEOUT_MILLIS = 2_000;

    /** The default maximum number of milliseconds without a frame. */
    private static final long DEFAULT_SILENCE_TIMEOUT_MILLIS = 30_000;

    /** The default maximum number of milliseconds that one response may take. */
    private static final long DEFAULT_ANSWER_TIMEOUT_MILLIS = 600_000;

    /** The default maximum number of requests in flight. */
    private static final long DEFAULT_REQUESTS_IN_FLIGHT = 4_096;

    /** The default maximum number of buffered bytes of one response. */
    private static final long DEFAULT_ANSWER_BUFFER_BYTES = 262_144;

    /** The default maximum number of stored tickets. */
    private static final long DEFAULT_LEDGER_ENTRIES = 100_000;

    /** The default maximum number of stored audit events. */
    private static final long DEFAULT_AUDIT_EVENTS = 4_096;

    /** The default maximum duration of a graceful shutdown in milliseconds. */
    private static final long DEFAULT_DRAIN_MILLIS = 60_000;

    /** The name of an entry instance, a zone, a pool or a key. */
    private static final SettingSchema NAME =
            new ForString(
                    Names::isValid,
                    "1 to 64 letters, digits, dots, underscores, colons and hyphens, the first a"
                            + " letter or digit",
                    false);

    /** An IP address to listen on. */
    private static final SettingSchema HOST =
            new ForString(InetAddresses::isInetAddress, "an IP number", false);

    /** The address of one of the platform's services. */
    private static final SettingSchema ADDRESS =
            new ForString(
                    SettingsReader::isHttpAddress,
                    "an address such as http://10.0.0.1:8080",
                    false);

    /** A TCP port to listen on. */
    private static final SettingSchema PORT = new ForInteger(0, MAXIMUM_PORT, Optional.empty());

    /** A list of pool names. */
    private static final SettingSchema POOL_NAMES = new ForList(NAME, 0);

    /** A list of shared secrets. */
    private static final SettingSchema KEYS =
            new ForList(
                    new ForObject(
                            ImmutableMap.of(
                                    "id",
                                    NAME,
                                    "secret",
                                    new ForString(
                                            text -> text.length() >= MINIMUM_SECRET_CHARACTERS,
                                            "a secret of %d or more characters"
                                                    .formatted(MINIMUM_SECRET_CHARACTERS),
                                            true))),
                    1);

    /** The schema of the complete settings. */
    private static final ForObject ROOT_SCHEMA =
            new ForObject(
                    ImmutableMap.of(
                            "instance",
                            new ForObject(ImmutableMap.of("name", NAME, "zone", NAME)),
                            "callers",
                            callersSchema(),
                            "operators",
                            new ForObject(ImmutableMap.of("host", HOST, "port", PORT)),
                            "peers",
                            peersSchema(),
                            "platform",
                            platformSchema(),
                            "tickets",
                            ticketsSchema(),
                            "endpoints",
                            endpointsSchema(),
                            "limits",
                            limitsSchema(),
                            "drain",
                            new ForObject(
                                    ImmutableMap.of(
                                            "deadlineMillis",
                                            durationMillis(DEFAULT_DRAIN_MILLIS)))));

    /** Parses YAML. It rejects duplicate keys and treats empty texts as missing. */
    private static final YAMLMapper MAPPER =
            new YAMLMapper(
                    YAMLFactory.builder()
                            .enable(
                                    com.fasterxml.jackson.core.StreamReadFeature
                                            .STRICT_DUPLICATE_DETECTION)
                            .enable(
                                    com.fasterxml.jackson.dataformat.yaml.YAMLParser.Feature
                                            .EMPTY_STRING_AS_NULL)
                            .build());

    /** Not instantiable. */
    private SettingsReader() {}

    /**
     * Parses, validates and binds a settings text.
     *
     * @param text The text as YAML.
     * @return The settings.
     * @throws SettingsException If the text has faults; the exception holds all of them.
     * @throws IllegalStateException If settings that passed the validation cannot be bound.
     */
    static Settings read(String text) throws SettingsException {
        JsonNode root = parseYaml(text);
        List<SettingsFault> faults = new ArrayList<>();
        ROOT_SCHEMA.validate("", root, faults::add);
        faults.sort(Comparator.comparing(SettingsFault::path));
        if (!faults.isEmpty()) {
            throw new SettingsException(faults);
        }
        try {
            return MAPPER.treeToValue(root, Settings.class);
        } catch (JsonProcessingException exception) {
            throw new IllegalStateException("Cannot bind validated settings", exception);
        }
    }

    /**
     * Parses a settings text.
     *
     * @param text The text as YAML.
     * @return The parsed tree, an empty object for an empty text.
     * @throws SettingsException If the text is not well-formed YAML or has a duplicate key.
     */
    private static JsonNode parseYaml(String text) throws SettingsException {
        try {
            JsonNode root = MAPPER.readTree(text);
            return root == null || root instanceof MissingNode || root instanceof NullNode
                    ? MAPPER.createObjectNode()
                    : root;
        } catch (JsonProcessingException exception) {
            JsonLocation location = exception.getLocation();
            String faultPath =
                    location == null
                            ? "text"
                            : "line %d column %d"
                                    .formatted(location.getLineNr(), location.getColumnNr());
            throw new SettingsException(
                    List.of(
                            new SettingsFault(
                                    faultPath,
                                    "malformed",
                                    "well-formed YAML with each key once")));
        }
    }

    /**
     * Creates the schema of the server for callers.
     *
     * @return The schema.
     */
    private static SettingSchema callersSchema() {
        return new ForObject(
                ImmutableMap.of(
                        "host",
                        HOST,
                        "port",
                        PORT,
                        "threads",
                        integer(1, MAXIMUM_THREADS, DEFAULT_THREADS),
                        "maximumBodyBytes",
                        integer(1, MAXIMUM_BYTES, DEFAULT_BODY_BYTES),
                        "requestTimeoutMillis",
                        durationMillis(DEFAULT_REQUEST_TIMEOUT_MILLIS),
                        "idleTimeoutMillis",
                        durationMillis(DEFAULT_IDLE_TIMEOUT_MILLIS),
                        "writeTimeoutMillis",
                        durationMillis(DEFAULT_WRITE_TIMEOUT_MILLIS),
                        "defaultDeadlineMillis",
                        durationMillis(DEFAULT_DEADLINE_MILLIS)));
    }

    /**
     * Creates the schema of the channel to other entry instances.
     *
     * @return The schema.
     */
    private static SettingSchema peersSchema() {
        return new ForObject(
                ImmutableMap.of(
                        "host",
                        HOST,
                        "port",
                        PORT,
                        "bytesPerSecond",
                        integer(
                                MINIMUM_BYTES_PER_SECOND,
                                MAXIMUM_BYTES_PER_SECOND,
                                DEFAULT_BYTES_PER_SECOND),
                        "keys",
                        KEYS));
    }

    /**
     * Creates the schema of the platform's services.
     *
     * @return The schema.
     */
    private static SettingSchema platformSchema() {
        return new ForObject(
                ImmutableMap.of(
                        "configuration",
                        ADDRESS,
                        "instanceList",
                        ADDRESS,
                        "weightStore",
                        ADDRESS,
                        "watchers",
                        integer(1, MAXIMUM_THREADS, DEFAULT_WATCHERS),
                        "watchMillis",
                        durationMillis(DEFAULT_WATCH_MILLIS),
                        "listMillis",
                        durationMillis(DEFAULT_LIST_MILLIS)));
    }

    /**
     * Creates the schema of tickets.
     *
     * @return The schema.
     */
    private static SettingSchema ticketsSchema() {
        return new ForObject(
                ImmutableMap.of(
                        "keys",
                        KEYS,
                        "lifeMillis",
                        integer(1, MAXIMUM_TICKET_LIFE_MILLIS, DEFAULT_TICKET_LIFE_MILLIS)));
    }

    /**
     * Creates the schema of the connections to endpoints.
     *
     * @return The schema.
     */
    private static SettingSchema endpointsSchema() {
        return new ForObject(
                ImmutableMap.of(
                        "checkFencing",
                        POOL_NAMES,
                        "checkIdempotencyKeys",
                        POOL_NAMES,
                        "connectTimeoutMillis",
                        durationMillis(DEFAULT_CONNECT_TIMEOUT_MILLIS),
                        "silenceTimeoutMillis",
                        durationMillis(DEFAULT_SILENCE_TIMEOUT_MILLIS),
                        "answerTimeoutMillis",
                        durationMillis(DEFAULT_ANSWER_TIMEOUT_MILLIS)));
    }

    /**
     * Creates the schema of the limits.
     *
     * @return The schema.
     */
    private static SettingSchema limitsSchema() {
        return new ForObject(
                ImmutableMap.of(
                        "requestsInFlight",
                        integer(1, MAXIMUM_ENTRIES, DEFAULT_REQUESTS_IN_FLIGHT),
                        "answerBufferBytes",
                        integer(1, MAXIMUM_BYTES, DEFAULT_ANSWER_BUFFER_BYTES),
                        "ledgerEntries",
                        integer(1, MAXIMUM_ENTRIES, DEFAULT_LEDGER_ENTRIES),
                        "auditEvents",
                        integer(1, MAXIMUM_ENTRIES, DEFAULT_AUDIT_EVENTS)));
    }

    /**
     * Creates the schema of a duration from one millisecond to one hour.
     *
     * @param defaultNumber The default in milliseconds.
     * @return The schema.
     */
    private static SettingSchema durationMillis(long defaultNumber) {
        return integer(1, MAXIMUM_DURATION_MILLIS, defaultNumber);
    }

    /**
     * Creates the schema of an integer with a default.
     *
     * @param minimum The minimum, inclusive.
     * @param maximum The maximum, inclusive.
     * @param defaultNumber The default.
     * @return The schema.
     */
    private static SettingSchema integer(long minimum, long maximum, long defaultNumber) {
        return new ForInteger(minimum, maximum, Optional.of(defaultNumber));
    }

    /**
     * Returns whether a text is the HTTP address of a service, without a path.
     *
     * @param text The text.
     * @return {@code true} if the text consists of the scheme http, an IP address and a port.
     */
    private static boolean isHttpAddress(String text) {
        try {
            URI address = URI.create(text);
            return "http".equals(address.getScheme())
                    && address.getHost() != null
                    && InetAddresses.isUriInetAddress(address.getHost())
                    && address.getPort() > 0
                    && address.getPort() <= MAXIMUM_PORT
                    && address.getRawPath().isEmpty();
        } catch (IllegalArgumentException exception) {
            return false;
        }
    }
}
