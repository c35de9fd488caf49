package io.chicorytrestle.peer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.chicorytrestle.core.blackboard.Blackboard;
import io.chicorytrestle.core.blackboard.Topics;
import io.chicorytrestle.core.identity.InstanceIdentity;
import io.chicorytrestle.core.membership.InstanceMember;
import io.chicorytrestle.core.membership.MemberDigest;
import io.chicorytrestle.core.membership.MembershipView;
import io.chicorytrestle.core.peer.MessagePriority;
import io.chicorytrestle.core.peer.PeerMessage;
import io.chicorytrestle.core.peer.PeerMessageKind.Acknowledgement;
import io.chicorytrestle.core.verdict.RequestFailureException;
import io.chicorytrestle.core.verdict.Verdict;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class PeerChannelTest {

    private static final String HOST = "127.0.0.1";

    private static final PeerKey KEY = new PeerKey("k1", "a-secret-of-24-characters");

    private final List<PeerChannel> channels = new ArrayList<>();

    private final Blackboard blackboard = new Blackboard();

    private final List<InstanceMember> members = new ArrayList<>();

    @AfterEach
    void closeChannels() {
        channels.forEach(PeerChannel::close);
    }

    @Test
    void testSendWhenPeerIsKnown() throws Exception {
        BlockingQueue<PeerMessage> received = new LinkedBlockingQueue<>();
        PeerChannel one = channel("one", KEY);
        PeerChannel two = channel("two", KEY);
        two.register(
                MemberDigest.class,
                (sender, message, nowMillis) -> {
                    received.add(message);
                    return null;
                });
        start(one, "one");
        start(two, "two");
        MemberDigest digest = new MemberDigest("bravo", 42);
        assertThat(one.send("two", digest, MessagePriority.PROMPT), is(true));
        assertThat(received.poll(20, TimeUnit.SECONDS), is(digest));
        assertThat(two.traffic().receivedBytes(MessagePriority.PROMPT) > 0, is(true));
    }

    @Test
    void testRequestWhenPeerReplies() throws Exception {
        PeerChannel one = channel("one", KEY);
        PeerChannel two = channel("two", KEY);
        two.register(
                MemberDigest.class,
                (sender, message, nowMillis) ->
                        CompletableFuture.completedFuture(new Acknowledgement()));
        start(one, "one");
        start(two, "two");
        CompletableFuture<PeerMessage> reply =
                one.request("two", new MemberDigest("bravo", 42), 20_000);
        assertThat(reply.get(20, TimeUnit.SECONDS), is(new Acknowledgement()));
    }

    @Test
    void testRequestWhenMessageHasNoHandler() throws Exception {
        PeerChannel one = channel("one", KEY);
        PeerChannel two = channel("two", KEY);
        start(one, "one");
        start(two, "two");
        assertThat(
                verdict(one.request("two", new Acknowledgement(), 20_000)),
                is(Verdict.MAY_HAVE_RUN));
    }

    @Test
    void testRequestWhenPeerIsDown() throws Exception {
        PeerChannel one = channel("one", KEY);
        start(one, "one");
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            addMember("two", socket.getLocalPort());
        }
        assertThat(verdict(one.request("two", new Acknowledgement(), 20_000)), is(Verdict.NOT_RUN));
    }

    @Test
    void testRequestWhenPeerNeverReplies() throws Exception {
        PeerChannel one = channel("one", KEY);
        PeerChannel two = channel("two", KEY);
        two.register(
                MemberDigest.class,
                (sender, message, nowMillis) -> new CompletableFuture<PeerMessage>());
        start(one, "one");
        start(two, "two");
        assertThat(
                verdict(one.request("two", new MemberDigest("bravo", 1), 500)),
                is(Verdict.MAY_HAVE_RUN));
    }

    @Test
    void testRequestWhenKeysDiffer() throws Exception {
        PeerChannel one = channel("one", new PeerKey("k1", "another-secret-of-24-chars"));
        PeerChannel two = channel("two", KEY);
        start(one, "one");
        start(two, "two");
        assertThat(verdict(one.request("two", new Acknowledgement(), 20_000)), is(Verdict.NOT_RUN));
        assertThat(one.traffic().rejectedPeers(), is(1L));
    }

    @Test
    void testAcceptWhenBytesAreMalformed() throws Exception {
        PeerChannel two = channel("two", KEY);
        int port = start(two, "two");
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            socket.getOutputStream().write(new byte[] {4, 1, 2, 3, 4});
            socket.setSoTimeout(20_000);
            assertThat(socket.getInputStream().read(), is(-1));
        }
    }

    @Test
    void testRequestWhenPeerRestarted() throws Exception {
        PeerChannel one = channel("one", KEY);
        start(one, "one");
        for (int run = 0; run < 2; run++) {
            PeerChannel two = channel("two", KEY);
            two.register(
                    MemberDigest.class,
                    (sender, message, nowMillis) ->
                            CompletableFuture.completedFuture(new Acknowledgement()));
            start(two, "two");
            PeerMessage reply =
                    one.request("two", new MemberDigest("bravo", run), 20_000)
                            .get(20, TimeUnit.SECONDS);
            assertThat(reply, is(new Acknowledgement()));
            two.close();
        }
    }

    private static Verdict verdict(CompletableFuture<PeerMessage> reply) {
        ExecutionException failure =
                assertThrows(ExecutionException.class, () -> reply.get(20, TimeUnit.SECONDS));
        if (failure.getCause() instanceof RequestFailureException cause) {
            return cause.verdict();
        }
        throw new AssertionError("Cannot read verdict", failure);
    }

    private PeerChannel channel(String name, PeerKey key) {
        PeerSettings settings =
                new PeerSettings(
                        new InstanceIdentity(name, "bravo", 1),
                        HOST,
                        0,
                        List.of(key),
                        PeerLimits.DEFAULT);
        PeerChannel channel = new PeerChannel(settings, blackboard, System::currentTimeMillis);
        channels.add(channel);
        return channel;
    }

    private int start(PeerChannel channel, String name) throws IOException {
        int port = channel.start();
        addMember(name, port);
        return port;
    }

    private void addMember(String name, int port) {
        members.removeIf(member -> member.identity().name().equals(name));
        members.add(new InstanceMember(new InstanceIdentity(name, "bravo", 1), HOST, port, true));
        blackboard.write(Topics.MEMBERSHIP, new MembershipView(port, members, List.of()));
    }
}
