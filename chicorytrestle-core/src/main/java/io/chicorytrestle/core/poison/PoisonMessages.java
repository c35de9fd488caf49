package io.chicorytrestle.core.poison;

import io.chicorytrestle.core.peer.PeerMessage;

/** Groups the messages by which entry instances exchange findings and leases. */
public final class PoisonMessages {

    /** Prevents instantiation. */
    private PoisonMessages() {}

    /**
     * Reports a finding about a request.
     *
     * @param workspace The workspace of the fingerprint.
     * @param hash The hash of the fingerprint.
     * @param finding The name of the {@link Suspicion.Result}.
     * @param endpoint The name of the endpoint that crashed.
     * @param incarnation The incarnation of the endpoint that crashed.
     * @param untilMillis The time until which the finding holds, in milliseconds.
     */
    public record SuspicionNotice(
            String workspace,
            String hash,
            String finding,
            String endpoint,
            long incarnation,
            long untilMillis)
            implements PeerMessage {

        /**
         * Returns the message that reports a suspicion.
         *
         * @param fingerprint The fingerprint.
         * @param suspicion The suspicion.
         * @return The message.
         */
        static SuspicionNotice of(Fingerprint fingerprint, Suspicion suspicion) {
            return new SuspicionNotice(
                    fingerprint.workspace(),
                    fingerprint.hash(),
                    suspicion.finding().name(),
                    suspicion.endpoint(),
                    suspicion.incarnation(),
                    suspicion.untilMillis());
        }

        /**
         * Returns the fingerprint of the request.
         *
         * @return The fingerprint.
         */
        Fingerprint fingerprint() {
            return new Fingerprint(workspace, hash);
        }

        /**
         * Decodes the suspicion. Fails if the name of the finding is unknown.
         *
         * @return The suspicion.
         */
        Suspicion suspicion() {
            return new Suspicion(
                    Suspicion.Finding.valueOf(finding), endpoint, incarnation, untilMillis);
        }
    }

    /**
     * Requests the lease of a key, or releases it.
     *
     * @param key The key, which identifies a suspect or the endpoint that is to execute it.
     * @param holder The holder of the lease, unique for each execution.
     * @param leaseMillis The duration of the lease in milliseconds; zero releases it.
     */
    public record LeaseRequest(String key, String holder, long leaseMillis)
            implements PeerMessage {}

    /**
     * Replies to the request for a lease.
     *
     * @param granted {@code true} if the lease was granted.
     */
    public record LeaseReply(boolean granted) implements PeerMessage {}
}
