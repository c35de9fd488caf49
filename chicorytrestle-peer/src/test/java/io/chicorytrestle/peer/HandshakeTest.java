package io.chicorytrestle.peer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.chicorytrestle.core.identity.InstanceIdentity;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class HandshakeTest {

    private static final InstanceIdentity ONE = new InstanceIdentity("one", "bravo", 1);

    private static final InstanceIdentity TWO = new InstanceIdentity("two", "bravo", 1);

    private static final PeerKey OLD = new PeerKey("old", "old-secret-of-24-letters");

    private static final PeerKey NEW = new PeerKey("new", "new-secret-of-24-letters");

    @Test
    void testFinishWhenKeysAreBeingRotated() throws PeerRejectedException {
        Handshake.Client client = new Handshake.Client(ONE, "two", List.of(NEW, OLD));
        Handshake.Server server = new Handshake.Server(TWO, List.of(OLD));
        Handshake.Session clientSession = client.finish(server.respond(client.hello()));
        Handshake.Session serverSession = server.finish(clientSession.lastFrame());
        assertThat(clientSession.peer(), is(TWO));
        assertThat(serverSession.peer(), is(ONE));
        byte[] content = {1, 2, 3};
        assertThat(
                serverSession.inbound().verifyMac(clientSession.outbound().appendMac(content)),
                is(content));
    }

    @Test
    void testRespondWhenKeysDiffer() {
        Handshake.Client client = new Handshake.Client(ONE, "two", List.of(NEW));
        Handshake.Server server = new Handshake.Server(TWO, List.of(OLD));
        assertThrows(PeerRejectedException.class, () -> server.respond(client.hello()));
    }

    @Test
    void testFinishWhenSecretsDiffer() throws PeerRejectedException {
        PeerKey forged = new PeerKey("old", "other-secret-of-24-letters");
        Handshake.Client client = new Handshake.Client(ONE, "two", List.of(forged));
        Handshake.Server server = new Handshake.Server(TWO, List.of(OLD));
        byte[] serverHello = server.respond(client.hello());
        assertThrows(PeerRejectedException.class, () -> client.finish(serverHello));
    }

    @Property(tries = 200, seed = "61")
    void testRespondWhenBytesAreArbitrary(@ForAll byte[] bytes) {
        Handshake.Server server = new Handshake.Server(TWO, List.of(OLD));
        assertThrows(PeerRejectedException.class, () -> server.respond(bytes));
        assertThrows(PeerRejectedException.class, () -> server.finish(bytes));
    }
}
