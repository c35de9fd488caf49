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

/** Reads and checks settings. */
final class SettingsReader {

    /** The largest TCP port. */
    private static final int MAXIMUM_PORT = 65_535;

    /** The fewest characters of a secret. */
    private static final int MINIMUM_SECRET_CHARACTERS = 16;

    /** The longest time span in milliseconds, an hour. */
    private static final int MAXIMUM_DURATION_MILLIS = 3_600_000;

    /** The longest life of a ticket in milliseconds, a day. */
    private static final int MAXIMUM_TICKET_LIFE_MILLIS = 86_400_000;

    /** The longest request body and answer buffer in bytes. */
    private static final int MAXIMUM_BYTES = 67_108_864;

    /** The most event loops. */
    private static final int MAXIMUM_THREADS = 64;

    /** The largest byte budget of the peer channel in bytes a second. */
    private static final int MAXIMUM_BYTES_PER_SECOND = 1_000_000_000;

    /** The smallest byte budget of the peer channel in bytes a second. */
    private static final int MINIMUM_BYTES_PER_SECOND = 1_000;

    /** The most entries of a kept collection. */
    private static final int MAXIMUM_ENTRIES = 10_000_000;

    /** The default event loops. */
    private static final long DEFAULT_THREADS = 2;

    /** The default longest request body in bytes. */
    private static final long DEFAULT_BODY_BYTES = 4_194_304;

    /** The default most milliseconds to receive a request. */
    private static final long DEFAULT_REQUEST_TIMEOUT_MILLIS = 10_000;

    /** The default most milliseconds between requests of a connection. */
    private static final long DEFAULT_IDLE_TIMEOUT_MILLIS = 60_000;

    /** The default most milliseconds that a caller may leave bytes unread. */
    private static final long DEFAULT_WRITE_TIMEOUT_MILLIS = 10_000;

    /** The default milliseconds within which an answer has to begin. */
    private static final long DEFAULT_DEADLINE_MILLIS = 30_000;

    /** The default byte budget of the peer channel in bytes a second. */
    private static final long DEFAULT_BYTES_PER_SECOND = 5_000;

    /** The default watchers of a zone. */
    private static final long DEFAULT_WATCHERS = 2;

    /** The default milliseconds that one watch waits. */
    private static final long DEFAULT_WATCH_MILLIS = 10_000;

    /** The default milliseconds between two reads of the instance list. */
    private static final long DEFAULT_LIST_MILLIS = 1_000;

    /** The default life of a ticket in milliseconds. */
    private static final long DEFAULT_TICKET_LIFE_MILLIS = 900_000;

    /** The default most milliseconds to wait for a connection. */
    private static final long DEFAULT_CONNECT_TIMEOUT_MILLIS = 2_000;

    /** The default most milliseconds of an endpoint's silence. */
    private static final long DEFAULT_SILENCE_TIMEOUT_MILLIS = 30_000;

    /** The default most milliseconds of one answer. */
    private static final long DEFAULT_ANSWER_TIMEOUT_MILLIS = 600_000;

    /** The default most requests in flight. */
    private static final long DEFAULT_REQUESTS_IN_FLIGHT = 4_096;

    /** The default most bytes that wait for a slow caller. */
    private static final long DEFAULT_ANSWER_BUFFER_BYTES = 262_144;

    /** The default most entries of the ledger. */
    private static final long DEFAULT_LEDGER_ENTRIES = 100_000;

    /** The default most audit events. */
    private static final long DEFAULT_AUDIT_EVENTS = 4_096;

    /** The default most milliseconds of a graceful shutdown. */
    private static final long DEFAULT_DRAIN_MILLIS = 60_000;

    /** A name of the system. */
    private static final SettingSchema NAME =
            new ForString(
                    Names::isValid,
                    "1 to 64 letters, digits, dots, underscores, colons and hyphens, the first a"
                            + " letter or digit",
                    false);

    /** An IP number. */
    private static final SettingSchema HOST =
            new ForString(InetAddresses::isInetAddress, "an IP number", false);

    /** The address of a service of the platform. */
    private static final SettingSchema ADDRESS =
            new ForString(
                    SettingsReader::isHttpAddress,
                    "an address such as http://10.0.0.1:8080",
                    false);

    /** A TCP port to listen at. */
    private static final SettingSchema PORT = new ForInteger(0, MAXIMUM_PORT, Optional.empty());

    /** A list of pool names. */
    private static final SettingSchema POOL_NAMES = new ForList(NAME, 0);

    /** A list of keys. */
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

    /** All settings. */
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

    /** Reads YAML. */
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

    /** Prevents instances. */
    private SettingsReader() {}

    /**
     * Reads a settings text.
     *
     * @param text The text in YAML.
     * @return The settings.
     * @throws SettingsException If the text has faults; it carries all of them.
     * @throws IllegalStateException If settings that passed all checks cannot be bound.
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
            throw new IllegalStateException("Cannot bind checked settings", exception);
        }
    }

    /**
     * Parses a settings text.
     *
     * @param text The text in YAML.
     * @return The parsed tree.
     * @throws SettingsException If the text is not well-formed.
     */
    private static JsonNode parseYaml(String text) throws SettingsException {
        try {
            JsonNode root = MAPPER.readTree(text);
            return root == null || root instanceof MissingNode || root instanceof NullNode
                    ? MAPPER.createObjectNode()
                    : root;
        } catch (JsonProcessingException exception) {
            JsonLocation location = exception.getLocation();
            String place =
                    location == null
                            ? "text"
                            : "line %d column %d"
                                    .formatted(location.getLineNr(), location.getColumnNr());
            throw new SettingsException(
                    List.of(
                            new SettingsFault(
                                    place, "malformed", "well-formed YAML with each key once")));
        }
    }

    /**
     * Returns the shape of the settings about callers.
     *
     * @return The shape of the settings about callers.
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
     * Returns the shape of the settings about other entry instances.
     *
     * @return The shape of the settings about other entry instances.
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
     * Returns the shape of the settings about the platform.
     *
     * @return The shape of the settings about the platform.
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
     * Returns the shape of the settings about tickets.
     *
     * @return The shape of the settings about tickets.
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
     * Returns the shape of the settings about endpoints.
     *
     * @return The shape of the settings about endpoints.
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
     * Returns the shape of the limits.
     *
     * @return The shape of the limits.
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
     * Returns the shape of a time span.
     *
     * @param fallback The default in milliseconds.
     * @return The shape.
     */
    private static SettingSchema durationMillis(long fallback) {
        return integer(1, MAXIMUM_DURATION_MILLIS, fallback);
    }

    /**
     * Returns the shape of a whole number.
     *
     * @param minimum The smallest number.
     * @param maximum The largest number.
     * @param fallback The default.
     * @return The shape.
     */
    private static SettingSchema integer(long minimum, long maximum, long fallback) {
        return new ForInteger(minimum, maximum, Optional.of(fallback));
    }

    /**
     * Returns {@code true} if a text is the address of an HTTP service by IP number.
     *
     * @param text The text.
     * @return {@code true} if a text is the address of an HTTP service by IP number.
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
