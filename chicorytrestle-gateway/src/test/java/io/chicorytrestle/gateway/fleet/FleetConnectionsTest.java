package io.chicorytrestle.gateway.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import io.activej.eventloop.Eventloop;
import io.activej.net.SimpleServer;
import io.chicorytrestle.core.fleet.StorePosition;
import io.chicorytrestle.gateway.link.Addresses;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards the connections between instances, which may go silent without a reset. */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class FleetConnectionsTest {

    private static final long HEARTBEAT_INTERVAL_MILLIS = 400;

    /** The time in milliseconds after which an instance must have overcome a lost connection. */
    private static final long CONTACT_MILLIS = 3_000;

    private final Eventloop reactor = Eventloop.create();

    private final FleetConnections connections =
            new FleetConnections(reactor, (connection, message) -> {});

    private Thread reactorThread;

    @BeforeEach
    void setUp() {
        reactor.keepAlive(true);
        reactorThread = new Thread(reactor, "event-loop");
        reactorThread.start();
    }

    @AfterEach
    void tearDown() throws InterruptedException {
        reactor.execute(reactor::breakEventloop);
        reactorThread.join();
    }

    /** Guards against messages that a silent connection swallows for as long as it is open. */
    @Test
    void testSendWhenConnectionCarriesNoAcknowledgements() throws Exception {
        try (ServerSocket peer = new ServerSocket(0, 8, InetAddress.getLoopbackAddress())) {
            startSending(peer.getLocalPort());
            try (Socket silent = peer.accept();
                    Socket next = accept(peer)) {
                assertThat(next.getPort() == silent.getPort(), equalTo(false));
                assertThat(
                        readFrame(next),
                        equalTo(
                                FleetCodec.encode(
                                        new SnapshotRequest(1, new StorePosition(0, 0)))));
            }
        }
    }

    @Test
    void testSendWhenMessagesAreAcknowledged() throws Exception {
        BlockingQueue<FleetConnection> accepted = new LinkedBlockingQueue<>();
        BlockingQueue<FleetMessage> received = new LinkedBlockingQueue<>();
        String address;
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            address = "127.0.0.1:" + free.getLocalPort();
        }
        SimpleServer server =
                SimpleServer.builder(
                                reactor,
                                socket ->
                                        accepted.add(
                                                new FleetConnection(
                                                        socket,
                                                        reactor::currentTimeMillis,
                                                        (connection, message) ->
                                                                received.add(message),
                                                        closed -> {})))
                        .withListenAddress(Addresses.parse(address))
                        .build();
        reactor.submit(server::listen).get();
        startSending(Integer.parseInt(address.substring(address.indexOf(':') + 1)));

        for (int count = 0; count < 2 * CONTACT_MILLIS / HEARTBEAT_INTERVAL_MILLIS; count++) {
            assertThat(
                    received.poll(30, TimeUnit.SECONDS),
                    equalTo(new SnapshotRequest(1, new StorePosition(0, 0))));
        }
        assertThat(accepted.size(), lessThanOrEqualTo(1));
        reactor.execute(server::close);
    }

    /** Accepts the connection that must follow within the time to recover from a lost one. */
    private static Socket accept(ServerSocket peer) throws IOException {
        peer.setSoTimeout((int) CONTACT_MILLIS);
        return peer.accept();
    }

    private static byte[] readFrame(Socket socket) throws IOException {
        InputStream input = socket.getInputStream();
        return input.readNBytes(input.read());
    }

    /** Sends a message at each heartbeat interval, as an instance does. */
    private void startSending(int port) {
        reactor.execute(() -> sendNext("127.0.0.1:" + port));
    }

    private void sendNext(String address) {
        long nowMillis = reactor.currentTimeMillis();
        connections.closeSilent(nowMillis);
        connections.send(
                address,
                FleetCodec.encode(new SnapshotRequest(1, new StorePosition(0, 0))),
                true,
                nowMillis);
        reactor.delayBackground(HEARTBEAT_INTERVAL_MILLIS, () -> sendNext(address));
    }
}
