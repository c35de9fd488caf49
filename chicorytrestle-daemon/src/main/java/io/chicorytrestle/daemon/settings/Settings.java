package io.chicorytrestle.daemon.settings;

import java.util.List;

/**
 * Holds everything that a process learns from its settings file.
 *
 * @param instance Who this entry instance is.
 * @param callers Where and how callers are served.
 * @param operators Where operators read.
 * @param peers Where and how other entry instances are met.
 * @param platform Where the platform's services are.
 * @param tickets How tickets are signed.
 * @param endpoints How endpoints are reached.
 * @param limits What this process keeps at most.
 * @param drain How long a graceful shutdown may take.
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
     * Reads a settings text.
     *
     * @param text The text in YAML.
     * @return The settings.
     * @throws SettingsException If the text has faults; it carries all of them.
     */
    public static Settings parse(String text) throws SettingsException {
        return SettingsReader.read(text);
    }

    /**
     * Checks a settings text.
     *
     * @param text The text in YAML.
     * @return The faults, empty if the text can be used.
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
     * Tells who an entry instance is.
     *
     * @param name The name of the entry instance, stable over restarts.
     * @param zone The availability zone.
     */
    public record Instance(String name, String zone) {}

    /**
     * Tells where and how callers are served.
     *
     * @param host The IP number to listen at.
     * @param port The TCP port to listen at, zero for a free one.
     * @param threads The event loops that serve callers, one thread each.
     * @param maximumBodyBytes The longest request body in bytes.
     * @param requestTimeoutMillis The most milliseconds from the first byte of a request, or from
     *     the connection's start, to the request's last byte.
     * @param idleTimeoutMillis The most milliseconds that a connection may wait for its next
     *     request.
     * @param writeTimeoutMillis The most milliseconds that a caller may leave bytes unread.
     * @param defaultDeadlineMillis The milliseconds within which an answer has to begin if the
     *     caller names none.
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
     * Tells where operators read.
     *
     * @param host The IP number to listen at.
     * @param port The TCP port to listen at, zero for a free one.
     */
    public record Operators(String host, int port) {}

    /**
     * Tells where and how other entry instances are met.
     *
     * @param host The IP number to listen at.
     * @param port The TCP port to listen at, zero for a free one.
     * @param bytesPerSecond The most bytes of control traffic to send in a second.
     * @param keys The keys that authenticate entry instances; the first signs, all are accepted.
     */
    public record Peers(String host, int port, int bytesPerSecond, List<Key> keys) {

        /** Creates new peer settings. */
        public Peers {
            keys = List.copyOf(keys);
        }
    }

    /**
     * Tells where the platform's services are.
     *
     * @param configuration The address of the configuration service.
     * @param instanceList The address of the instance list.
     * @param weightStore The address of the weight store.
     * @param watchers The entry instances of a zone that watch the configuration service.
     * @param watchMillis The milliseconds that one watch waits at the configuration service.
     * @param listMillis The milliseconds between two reads of the instance list.
     */
    public record Platform(
            String configuration,
            String instanceList,
            String weightStore,
            int watchers,
            int watchMillis,
            int listMillis) {}

    /**
     * Tells how tickets are signed.
     *
     * @param keys The keys that sign tickets; the first signs, all are accepted.
     * @param lifeMillis The milliseconds for which a ticket is valid.
     */
    public record Tickets(List<Key> keys, int lifeMillis) {

        /** Creates new ticket settings. */
        public Tickets {
            keys = List.copyOf(keys);
        }
    }

    /**
     * Tells how endpoints are reached.
     *
     * @param checkFencing The pools whose engines refuse orders with an old fencing number.
     * @param checkIdempotencyKeys The pools whose services check idempotency keys.
     * @param connectTimeoutMillis The most milliseconds to wait for a connection.
     * @param silenceTimeoutMillis The most milliseconds that an endpoint may stay silent while it
     *     runs a request.
     * @param answerTimeoutMillis The most milliseconds that one answer may take.
     */
    public record Endpoints(
            List<String> checkFencing,
            List<String> checkIdempotencyKeys,
            int connectTimeoutMillis,
            int silenceTimeoutMillis,
            int answerTimeoutMillis) {

        /** Creates new endpoint settings. */
        public Endpoints {
            checkFencing = List.copyOf(checkFencing);
            checkIdempotencyKeys = List.copyOf(checkIdempotencyKeys);
        }
    }

    /**
     * Tells what a process keeps at most.
     *
     * @param requestsInFlight The most requests of callers at the same time.
     * @param answerBufferBytes The most bytes of one answer that wait for a slow caller.
     * @param ledgerEntries The most tickets whose outcomes are kept.
     * @param auditEvents The most audit events that are kept for operators.
     */
    public record Limits(
            int requestsInFlight, int answerBufferBytes, int ledgerEntries, int auditEvents) {}

    /**
     * Tells how long a graceful shutdown may take.
     *
     * @param deadlineMillis The most milliseconds from the signal to the end of the process.
     */
    public record Drain(int deadlineMillis) {}

    /**
     * Holds a shared secret.
     *
     * @param id The name of the secret, which is not secret.
     * @param secret The secret.
     */
    public record Key(String id, String secret) {

        @Override
        public String toString() {
            return "Key[id=" + id + "]";
        }
    }
}
