package io.chicorytrestle.daemon.settings;

import java.util.List;

/**
 * Holds the settings of the daemon, as read from its settings file.
 *
 * @param instance The identity of this entry instance.
 * @param callers The server for callers.
 * @param operators The server for operators.
 * @param peers The channel to other entry instances.
 * @param platform The addresses of the platform's services.
 * @param tickets The signing of tickets.
 * @param endpoints The connections to endpoints.
 * @param limits The limits of in-memory state.
 * @param drain The graceful shutdown.
 */
public record Settings(
        Instance instance,
        Callers callers,
        Operators operators,
        Peers peers,
        Platform platform,
        Tickets tickets,
        Endpoints endpoints,
        Limits limits,
        Drain drain) {

    /**
     * Parses and validates a settings text.
     *
     * @param text The text as YAML.
     * @return The settings.
     * @throws SettingsException If the text has faults; the exception holds all of them.
     */
    public static Settings parse(String text) throws SettingsException {
        return SettingsReader.read(text);
    }

    /**
     * Validates a settings text without using it.
     *
     * @param text The text as YAML.
     * @return The faults, empty if the text is valid.
     */
    public static List<SettingsFault> validate(String text) {
        try {
            SettingsReader.read(text);
            return List.of();
        } catch (SettingsException exception) {
            return exception.faults();
        }
    }

    /**
     * The identity of an entry instance.
     *
     * @param name The name, which stays the same over restarts.
     * @param zone The availability zone.
     */
    public record Instance(String name, String zone) {}

    /**
     * The settings of the server for callers.
     *
     * @param host The IP address to listen on.
     * @param port The TCP port to listen on, zero for a free one.
     * @param threads The number of event loops that serve callers, each with a thread of its own.
     * @param maximumBodyBytes The maximum length of a request body in bytes.
     * @param requestTimeoutMillis The maximum number of milliseconds from the first byte of a
     *     request, or from the connection's start, to the last byte of the request.
     * @param idleTimeoutMillis The maximum number of milliseconds that a connection may wait for
     *     its next request.
     * @param writeTimeoutMillis The maximum number of milliseconds that a caller may leave bytes of
     *     a response unread.
     * @param defaultDeadlineMillis The number of milliseconds within which a response has to begin
     *     if the request has no deadline.
     */
    public record Callers(
            String host,
            int port,
            int threads,
            int maximumBodyBytes,
            int requestTimeoutMillis,
            int idleTimeoutMillis,
            int writeTimeoutMillis,
            int defaultDeadlineMillis) {}

    /**
     * The settings of the server for operators.
     *
     * @param host The IP address to listen on.
     * @param port The TCP port to listen on, zero for a free one.
     */
    public record Operators(String host, int port) {}

    /**
     * The settings of the channel to other entry instances.
     *
     * @param host The IP address to listen on.
     * @param port The TCP port to listen on, zero for a free one.
     * @param bytesPerSecond The maximum number of bytes of control traffic that are sent in a
     *     second.
     * @param keys The keys that authenticate entry instances. The first one signs; all are
     *     accepted.
     */
    public record Peers(String host, int port, int bytesPerSecond, List<Key> keys) {

        /** Creates immutable copies of the lists. */
        public Peers {
            keys = List.copyOf(keys);
        }
    }

    /**
     * The addresses of the platform's services.
     *
     * @param configuration The address of the configuration service.
     * @param instanceList The address of the instance list.
     * @param weightStore The address of the weight store.
     * @param watchers The number of entry instances of a zone that watch the configuration service.
     * @param watchMillis The number of milliseconds that a watch request waits at the configuration
     *     service.
     * @param listMillis The period of reading the instance list in milliseconds.
     */
    public record Platform(
            String configuration,
            String instanceList,
            String weightStore,
            int watchers,
            int watchMillis,
            int listMillis) {}

    /**
     * The settings of tickets.
     *
     * @param keys The keys that sign tickets. The first one signs; all are accepted.
     * @param lifeMillis The number of milliseconds for which a ticket is valid.
     */
    public record Tickets(List<Key> keys, int lifeMillis) {

        /** Creates immutable copies of the lists. */
        public Tickets {
            keys = List.copyOf(keys);
        }
    }

    /**
     * The settings for connections to endpoints.
     *
     * @param checkFencing The pools whose engines refuse orders with an outdated fencing number.
     * @param checkIdempotencyKeys The pools whose services check idempotency keys.
     * @param connectTimeoutMillis The connect time-out in milliseconds.
     * @param silenceTimeoutMillis The maximum number of milliseconds without a frame while an
     *     engine runs a request.
     * @param answerTimeoutMillis The maximum number of milliseconds that one response may take.
     */
    public record Endpoints(
            List<String> checkFencing,
            List<String> checkIdempotencyKeys,
            int connectTimeoutMillis,
            int silenceTimeoutMillis,
            int answerTimeoutMillis) {

        /** Creates immutable copies of the lists. */
        public Endpoints {
            checkFencing = List.copyOf(checkFencing);
            checkIdempotencyKeys = List.copyOf(checkIdempotencyKeys);
        }
    }

    /**
     * The limits of the state that a process holds in memory.
     *
     * @param requestsInFlight The maximum number of callers' requests in flight.
     * @param answerBufferBytes The maximum number of buffered bytes of one response to a slow
     *     caller; beyond it, the response is aborted.
     * @param ledgerEntries The maximum number of tickets whose outcomes are stored.
     * @param auditEvents The maximum number of audit events that are stored for operators.
     */
    public record Limits(
            int requestsInFlight, int answerBufferBytes, int ledgerEntries, int auditEvents) {}

    /**
     * The settings of the graceful shutdown.
     *
     * @param deadlineMillis The maximum number of milliseconds to wait for requests in flight after
     *     the first signal.
     */
    public record Drain(int deadlineMillis) {}

    /**
     * A shared secret with an identifier.
     *
     * @param id The identifier, which is not secret.
     * @param secret The secret.
     */
    public record Key(String id, String secret) {

        @Override
        public String toString() {
            return "Key[id=" + id + "]";
        }
    }
}
