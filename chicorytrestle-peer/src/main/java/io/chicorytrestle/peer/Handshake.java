package io.chicorytrestle.peer;

import io.chicorytrestle.core.identity.InstanceIdentity;
import java.security.MessageDigest;
import java.security.SecureRandom;
import java.util.List;
import java.util.Optional;

/**
 * Authenticates two entry instances to each other by a shared key, and derives the frame keys of
 * their connection. The connecting instance offers the names of all its keys; the other instance
 * selects the first one that it has.
 */
@SuppressWarnings("ArrayRecordComponent")
final class Handshake {

    /** The maximum size of a handshake frame in bytes, a limit for peers not yet authenticated. */
    static final int MAXIMUM_FRAME_BYTES = 1_024;

    /** The protocol version, which both instances must share. */
    private static final int PROTOCOL_VERSION = 1;

    /** The length of a nonce in bytes. */
    private static final int NONCE_BYTES = 16;

    /** The maximum number of offered keys; any others are ignored. */
    private static final int MAXIMUM_OFFERED_KEYS = 8;

    /** Generates the nonces. */
    private static final SecureRandom RANDOM = new SecureRandom();

    /** Prevents instantiation. */
    private Handshake() {}

    /**
     * Generates a nonce, which makes the proofs and keys of each connection unique.
     *
     * @return A random nonce.
     */
    private static byte[] newNonce() {
        byte[] nonce = new byte[NONCE_BYTES];
        RANDOM.nextBytes(nonce);
        return nonce;
    }

    /**
     * Validates the identity and the nonce that a peer sent.
     *
     * @param name The peer's name.
     * @param zone The peer's availability zone.
     * @param incarnation The peer's incarnation.
     * @param nonce The peer's nonce.
     * @return The peer's identity, which is not authenticated yet.
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
     * Checks a peer's proof in constant time.
     *
     * @param proof The proof that the peer sent.
     * @param expected The proof computed with the shared key.
     * @throws PeerRejectedException If the proofs differ.
     */
    private static void checkProof(byte[] proof, byte[] expected) throws PeerRejectedException {
        if (!MessageDigest.isEqual(proof, expected)) {
            throw new PeerRejectedException("Cannot authenticate peer");
        }
    }

    /** The side of the instance that opens the connection. */
    static final class Client {

        /** The identity of this entry instance. */
        private final InstanceIdentity localInstance;

        /** The expected name of the peer. */
        private final String targetName;

        /** The shared keys in order of preference. */
        private final List<PeerKey> keys;

        /** The encoded client hello, which all proofs and frame keys cover. */
        private final byte[] hello;

        /**
         * Creates the client side and its hello.
         *
         * @param localInstance The identity of this entry instance.
         * @param targetName The expected name of the peer.
         * @param keys The shared keys in order of preference.
         */
        Client(InstanceIdentity localInstance, String targetName, List<PeerKey> keys) {
            this.localInstance = localInstance;
            this.targetName = targetName;
            this.keys = keys;
            List<String> ids = keys.stream().map(PeerKey::id).limit(MAXIMUM_OFFERED_KEYS).toList();
            hello =
                    FrameCodec.INSTANCE.encode(
                            new ClientHello(
                                    PROTOCOL_VERSION,
                                    localInstance.name(),
                                    localInstance.zone(),
                                    localInstance.incarnation(),
                                    targetName,
                                    ids,
                                    newNonce()));
        }

        /**
         * Returns the client hello, the first frame to send.
         *
         * @return The encoded client hello.
         */
        byte[] hello() {
            return hello;
        }

        /**
         * Verifies the server hello and completes the handshake of this side.
         *
         * @param frame The encoded server hello.
         * @return The session, with the client's proof as the last frame to send.
         * @throws PeerRejectedException If the server is another instance or doesn't hold the key.
         */
        Session finish(byte[] frame) throws PeerRejectedException {
            ServerHello serverHello = FrameCodec.INSTANCE.decode(frame, ServerHello.class);
            InstanceIdentity peer =
                    validateIdentity(
                            serverHello.name(),
                            serverHello.zone(),
                            serverHello.incarnation(),
                            serverHello.nonce());
            if (!peer.name().equals(targetName)) {
                throw new PeerRejectedException("Cannot accept other instance: " + peer.name());
            }
            PeerKey key =
                    findKey(keys, List.of(serverHello.keyId()))
                            .orElseThrow(() -> new PeerRejectedException("Cannot use other key"));
            byte[] helloWithoutProof =
                    FrameCodec.INSTANCE.encode(serverHello.withProof(new byte[0]));
            checkProof(serverHello.proof(), key.mac("server", hello, helloWithoutProof).asBytes());
            byte[] proof = key.mac("client", hello, helloWithoutProof).asBytes();
            return new Session(
                    peer,
                    new FrameAuthenticator(
                            key.mac("to server", hello, helloWithoutProof).asBytes()),
                    new FrameAuthenticator(
                            key.mac("to client", hello, helloWithoutProof).asBytes()),
                    FrameCodec.INSTANCE.encode(new ClientProof(proof)));
        }

        @Override
        public String toString() {
            return localInstance.name() + " to " + targetName;
        }
    }

    /** The side of the instance that accepts the connection. */
    static final class Server {

        /** The identity of this entry instance. */
        private final InstanceIdentity localInstance;

        /** The shared keys. */
        private final List<PeerKey> keys;

        /** The proof expected from the client, or empty before the client hello. */
        private byte[] expectedProof = new byte[0];

        /**
         * The session to use once the client's proof is verified, or empty before the client hello.
         */
        private Optional<Session> session = Optional.empty();

        /**
         * Creates the server side.
         *
         * @param localInstance The identity of this entry instance.
         * @param keys The shared keys.
         */
        Server(InstanceIdentity localInstance, List<PeerKey> keys) {
            this.localInstance = localInstance;
            this.keys = keys;
        }

        /**
         * Handles the client hello and returns the server hello.
         *
         * @param frame The encoded client hello.
         * @return The encoded server hello with this side's proof.
         * @throws PeerRejectedException If the hello is malformed, is addressed to another instance
         *     or protocol version, or offers no known key.
         */
        byte[] respond(byte[] frame) throws PeerRejectedException {
            ClientHello clientHello = FrameCodec.INSTANCE.decode(frame, ClientHello.class);
            InstanceIdentity peer =
                    validateIdentity(
                            clientHello.name(),
                            clientHello.zone(),
                            clientHello.incarnation(),
                            clientHello.nonce());
            if (clientHello.protocol() != PROTOCOL_VERSION
                    || !clientHello.target().equals(localInstance.name())) {
                throw new PeerRejectedException(
                        "Cannot accept target or protocol version of hello from: " + peer.name());
            }
            PeerKey key =
                    findKey(keys, clientHello.keyIds())
                            .orElseThrow(() -> new PeerRejectedException("Cannot use other key"));
            ServerHello serverHello =
                    new ServerHello(
                            localInstance.name(),
                            localInstance.zone(),
                            localInstance.incarnation(),
                            key.id(),
                            newNonce(),
                            new byte[0]);
            byte[] helloWithoutProof = FrameCodec.INSTANCE.encode(serverHello);
            expectedProof = key.mac("client", frame, helloWithoutProof).asBytes();
            session =
                    Optional.of(
                            new Session(
                                    peer,
                                    new FrameAuthenticator(
                                            key.mac("to client", frame, helloWithoutProof)
                                                    .asBytes()),
                                    new FrameAuthenticator(
                                            key.mac("to server", frame, helloWithoutProof)
                                                    .asBytes()),
                                    new byte[0]));
            byte[] proof = key.mac("server", frame, helloWithoutProof).asBytes();
            return FrameCodec.INSTANCE.encode(serverHello.withProof(proof));
        }

        /**
         * Verifies the client's proof and completes the handshake of this side.
         *
         * @param frame The encoded proof.
         * @return The session.
         * @throws PeerRejectedException If the client doesn't hold the key or sent no hello.
         */
        Session finish(byte[] frame) throws PeerRejectedException {
            checkProof(FrameCodec.INSTANCE.decode(frame, ClientProof.class).proof(), expectedProof);
            return session.orElseThrow(
                    () -> new PeerRejectedException("Cannot accept proof before hello"));
        }
    }

    /**
     * Finds the first offered key that is known.
     *
     * @param keys The known keys.
     * @param ids The names of the offered keys in order of preference.
     * @return The key, or empty if none of the offered keys is known.
     */
    private static Optional<PeerKey> findKey(List<PeerKey> keys, List<String> ids) {
        return ids.stream()
                .limit(MAXIMUM_OFFERED_KEYS)
                .flatMap(id -> keys.stream().filter(key -> key.id().equals(id)))
                .findFirst();
    }

    /**
     * The result of a handshake.
     *
     * @param peer The authenticated peer.
     * @param outbound Adds the MACs of sent frames.
     * @param inbound Verifies the MACs of received frames.
     * @param lastFrame The last handshake frame to send; empty on the server's side.
     */
    record Session(
            InstanceIdentity peer,
            FrameAuthenticator outbound,
            FrameAuthenticator inbound,
            byte[] lastFrame) {}

    /**
     * The first frame from the client. Encoded as an array, so the order of the components is part
     * of the wire format.
     *
     * @param protocol The protocol version.
     * @param name The client's name.
     * @param zone The client's availability zone.
     * @param incarnation The client's incarnation.
     * @param target The name of the instance that the client wants to reach.
     * @param keyIds The names of the client's keys in order of preference.
     * @param nonce The client's nonce.
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
     * The server's reply to the client hello. Encoded as an array, so the order of the components
     * is part of the wire format.
     *
     * @param name The server's name.
     * @param zone The server's availability zone.
     * @param incarnation The server's incarnation.
     * @param keyId The name of the selected key.
     * @param nonce The server's nonce.
     * @param proof The proof that the server holds the key; empty in the form that proofs cover.
     */
    record ServerHello(
            String name, String zone, long incarnation, String keyId, byte[] nonce, byte[] proof) {

        /**
         * Returns a copy with another proof.
         *
         * @param newProof The proof, or empty for the form that proofs cover.
         * @return The copy.
         */
        private ServerHello withProof(byte[] newProof) {
            return new ServerHello(name, zone, incarnation, keyId, nonce, newProof);
        }
    }

    /**
     * The last frame from the client.
     *
     * @param proof The proof that the client holds the key.
     */
    record ClientProof(byte[] proof) {}
}
