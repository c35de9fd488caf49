package io.chicorytrestle.peer;

import io.chicorytrestle.core.identity.InstanceIdentity;
import java.security.MessageDigest;
import java.security.SecureRandom;
import java.util.List;
import java.util.Optional;

/**
 * Lets two entry instances prove to each other that they hold the same key, and agrees on keys for
 * one connection. The instance that connects offers all keys it has; the other takes the first it
 * knows.
 */
@SuppressWarnings("ArrayRecordComponent")
final class Handshake {

    /** The most bytes of a frame before both sides proved themselves. */
    static final int MAXIMUM_FRAME_BYTES = 1_024;

    /** The version of the frames. */
    private static final int PROTOCOL_VERSION = 1;

    /** The bytes of a random challenge. */
    private static final int NONCE_BYTES = 16;

    /** The most keys that are offered. */
    private static final int MAXIMUM_OFFERED_KEYS = 8;

    /** Draws the challenges. */
    private static final SecureRandom RANDOM = new SecureRandom();

    /** Prevents instances. */
    private Handshake() {}

    /**
     * Draws a challenge.
     *
     * @return The challenge.
     */
    private static byte[] newNonce() {
        byte[] nonce = new byte[NONCE_BYTES];
        RANDOM.nextBytes(nonce);
        return nonce;
    }

    /**
     * Checks a peer's name.
     *
     * @param name The peer's name.
     * @param zone The peer's availability zone.
     * @param incarnation The peer's incarnation.
     * @param nonce The peer's challenge.
     * @return The peer's identity.
     * @throws PeerRejectedException If a value is malformed.
     */
    private static InstanceIdentity validateIdentity(
            String name, String zone, long incarnation, byte[] nonce) throws PeerRejectedException {
        if (nonce.length != NONCE_BYTES) {
            throw new PeerRejectedException("Cannot use challenge of bytes: " + nonce.length);
        }
        try {
            return new InstanceIdentity(name, zone, incarnation);
        } catch (IllegalArgumentException exception) {
            throw new PeerRejectedException("Cannot use name of peer", exception);
        }
    }

    /**
     * Checks a peer's proof.
     *
     * @param given The proof that the peer gave.
     * @param expected The proof that a holder of the key gives.
     * @throws PeerRejectedException If the proofs differ.
     */
    private static void checkProof(byte[] given, byte[] expected) throws PeerRejectedException {
        if (!MessageDigest.isEqual(given, expected)) {
            throw new PeerRejectedException("Cannot authenticate peer");
        }
    }

    /** The side that connects. */
    static final class Client {

        /** This entry instance. */
        private final InstanceIdentity localInstance;

        /** The name of the instance that is connected to. */
        private final String targetName;

        /** The keys, the preferred one first. */
        private final List<PeerKey> keys;

        /** The first frame that is sent. */
        private final byte[] hello;

        /**
         * Creates a new side.
         *
         * @param own This entry instance.
         * @param target The name of the instance that is connected to.
         * @param keys The keys, the preferred one first.
         */
        Client(InstanceIdentity own, String target, List<PeerKey> keys) {
            this.localInstance = own;
            this.targetName = target;
            this.keys = keys;
            List<String> ids = keys.stream().map(PeerKey::id).limit(MAXIMUM_OFFERED_KEYS).toList();
            hello =
                    FrameCodec.INSTANCE.encode(
                            new ClientHello(
                                    PROTOCOL_VERSION,
                                    own.name(),
                                    own.zone(),
                                    own.incarnation(),
                                    target,
                                    ids,
                                    newNonce()));
        }

        /**
         * Returns the first frame to send.
         *
         * @return The frame.
         */
        byte[] hello() {
            return hello;
        }

        /**
         * Checks the other side's answer.
         *
         * @param frame The frame that the other side sent.
         * @return The session, and the last frame to send.
         * @throws PeerRejectedException If the other side does not hold the key.
         */
        Session finish(byte[] frame) throws PeerRejectedException {
            ServerHello answer = FrameCodec.INSTANCE.decode(frame, ServerHello.class);
            InstanceIdentity peer =
                    validateIdentity(answer.name(), answer.zone(), answer.incarnation(), answer.nonce());
            if (!peer.name().equals(targetName)) {
                throw new PeerRejectedException("Cannot accept other instance: " + peer.name());
            }
            PeerKey key =
                    findKey(keys, List.of(answer.keyId()))
                            .orElseThrow(() -> new PeerRejectedException("Cannot use other key"));
            byte[] unproved = FrameCodec.INSTANCE.encode(answer.withProof(new byte[0]));
            checkProof(answer.proof(), key.mac("server", hello, unproved).asBytes());
            byte[] proof = key.mac("client", hello, unproved).asBytes();
            return new Session(
                    peer,
                    new FrameAuthenticator(key.mac("to server", hello, unproved).asBytes()),
                    new FrameAuthenticator(key.mac("to client", hello, unproved).asBytes()),
                    FrameCodec.INSTANCE.encode(new ClientProof(proof)));
        }

        @Override
        public String toString() {
            return localInstance.name() + " to " + targetName;
        }
    }

    /** The side that is connected to. */
    static final class Server {

        /** This entry instance. */
        private final InstanceIdentity localInstance;

        /** The keys. */
        private final List<PeerKey> keys;

        /** The proof that the other side has to give. */
        private byte[] expectedProof = new byte[0];

        /** The session once the other side gave its proof. */
        private Optional<Session> session = Optional.empty();

        /**
         * Creates a new side.
         *
         * @param own This entry instance.
         * @param keys The keys.
         */
        Server(InstanceIdentity own, List<PeerKey> keys) {
            this.localInstance = own;
            this.keys = keys;
        }

        /**
         * Answers the other side's first frame.
         *
         * @param frame The frame that the other side sent.
         * @return The frame to send.
         * @throws PeerRejectedException If the frame is malformed or offers no known key.
         */
        byte[] respond(byte[] frame) throws PeerRejectedException {
            ClientHello hello = FrameCodec.INSTANCE.decode(frame, ClientHello.class);
            InstanceIdentity peer =
                    validateIdentity(hello.name(), hello.zone(), hello.incarnation(), hello.nonce());
            if (hello.protocol() != PROTOCOL_VERSION || !hello.target().equals(localInstance.name())) {
                throw new PeerRejectedException("Cannot answer hello from: " + peer.name());
            }
            PeerKey key =
                    findKey(keys, hello.keyIds())
                            .orElseThrow(() -> new PeerRejectedException("Cannot use other key"));
            ServerHello answer =
                    new ServerHello(
                            localInstance.name(),
                            localInstance.zone(),
                            localInstance.incarnation(),
                            key.id(),
                            newNonce(),
                            new byte[0]);
            byte[] unproved = FrameCodec.INSTANCE.encode(answer);
            expectedProof = key.mac("client", frame, unproved).asBytes();
            session =
                    Optional.of(
                            new Session(
                                    peer,
                                    new FrameAuthenticator(key.mac("to client", frame, unproved).asBytes()),
                                    new FrameAuthenticator(key.mac("to server", frame, unproved).asBytes()),
                                    new byte[0]));
            byte[] proof = key.mac("server", frame, unproved).asBytes();
            return FrameCodec.INSTANCE.encode(answer.withProof(proof));
        }

        /**
         * Checks the other side's proof.
         *
         * @param frame The frame that the other side sent.
         * @return The session.
         * @throws PeerRejectedException If the other side does not hold the key.
         */
        Session finish(byte[] frame) throws PeerRejectedException {
            checkProof(FrameCodec.INSTANCE.decode(frame, ClientProof.class).proof(), expectedProof);
            return session.orElseThrow(() -> new PeerRejectedException("Cannot skip hello"));
        }
    }

    /**
     * Finds a key.
     *
     * @param keys The known keys.
     * @param ids The names of the offered keys, the preferred one first.
     * @return The first offered key that is known, or empty if none is.
     */
    private static Optional<PeerKey> findKey(List<PeerKey> keys, List<String> ids) {
        return ids.stream()
                .limit(MAXIMUM_OFFERED_KEYS)
                .flatMap(id -> keys.stream().filter(key -> key.id().equals(id)))
                .findFirst();
    }

    /**
     * Holds what both sides agreed on.
     *
     * @param peer The other side.
     * @param outbound Seals the frames that are sent.
     * @param inbound Opens the frames that are received.
     * @param lastFrame The last frame of the handshake to send, empty if there is none.
     */
    record Session(
            InstanceIdentity peer, FrameAuthenticator outbound, FrameAuthenticator inbound, byte[] lastFrame) {}

    /**
     * The first frame of the side that connects.
     *
     * @param protocol The version of the frames.
     * @param name The sender's name.
     * @param zone The sender's availability zone.
     * @param incarnation The sender's incarnation.
     * @param target The name of the instance that is connected to.
     * @param keyIds The names of the keys that the sender has.
     * @param nonce The sender's challenge.
     */
    record ClientHello(
            int protocol,
            String name,
            String zone,
            long incarnation,
            String target,
            List<String> keyIds,
            byte[] nonce) {}

    /**
     * The answer of the side that is connected to.
     *
     * @param name The sender's name.
     * @param zone The sender's availability zone.
     * @param incarnation The sender's incarnation.
     * @param keyId The name of the chosen key.
     * @param nonce The sender's challenge.
     * @param proof The proof that the sender holds the key, or empty before it was computed.
     */
    record ServerHello(
            String name, String zone, long incarnation, String keyId, byte[] nonce, byte[] proof) {

        /**
         * Returns this answer with a proof.
         *
         * @param replaced The proof.
         * @return This answer with the proof.
         */
        private ServerHello withProof(byte[] replaced) {
            return new ServerHello(name, zone, incarnation, keyId, nonce, replaced);
        }
    }

    /**
     * The last frame of the side that connects.
     *
     * @param proof The proof that the sender holds the key.
     */
    record ClientProof(byte[] proof) {}
}
