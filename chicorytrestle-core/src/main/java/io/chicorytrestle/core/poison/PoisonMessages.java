package io.chicorytrestle.core.poison;

import io.chicorytrestle.core.peer.PeerMessage;

/** Groups the messages by which entry instances share suspects. */
public final class PoisonMessages {

    /** Prevents instances. */
    private PoisonMessages() {}

    /**
     * Tells what is held against a request.
     *
     * @param workspace The workspace of the fingerprint.
     * @param hash The hash of the fingerprint.
     * @param finding The name of the {@link Suspicion.Finding}.
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
         * Returns the message that tells a suspicion.
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
         * Returns the fingerprint.
         *
         * @return The fingerprint.
         */
        Fingerprint fingerprint() {
            return new Fingerprint(workspace, hash);
        }

        /**
         * Returns the suspicion.
         *
         * @return The suspicion.
         */
        Suspicion suspicion() {
            return new Suspicion(
                    Suspicion.Finding.valueOf(finding), endpoint, incarnation, untilMillis);
        }
    }

    /**
     * Asks for the exclusive use of a key, or gives it back.
     *
     * @param key The key: a suspect, or an endpoint that a suspect wants to run on.
     * @param holder The holder, unique for each run.
     * @param leaseMillis How long the use may last, in milliseconds; zero gives it back.
     */
    public record LeaseRequest(String key, String holder, long leaseMillis)
            implements PeerMessage {}

    /**
     * Answers a question for a key.
     *
     * @param granted {@code true} if the key may be used.
     */
    public record LeaseReply(boolean granted) implements PeerMessage {}
}
