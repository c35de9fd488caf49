package io.chicorytrestle.gateway.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasItems;
import static org.hamcrest.Matchers.hasSize;

import io.activej.eventloop.Eventloop;
import io.chicorytrestle.core.fleet.StoreContact;
import io.chicorytrestle.core.fleet.StorePosition;
import io.chicorytrestle.core.placement.Evacuations;
import io.chicorytrestle.core.stream.StreamOrigin;
import io.chicorytrestle.core.stream.StreamOrigins;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Guards what instances tell each other of streams that callers may resume. */
class StreamExchangeTest {

    private static final StreamOrigin ORIGIN = new StreamOrigin("s", "v1");

    private static final long TIMEOUT_MILLIS = 40;

    private final Eventloop reactor = Eventloop.builder().withCurrentThread().build();

    private final FleetMembership members =
            new FleetMembership(
                    new PeerAddress("self", "10.0.0.1:9", "z"), List.of(), new Random(1));

    private final StreamOrigins origins = new StreamOrigins();

    private final List<Sent> sent = new ArrayList<>();

    private final StreamExchange streams =
            new StreamExchange(
                    reactor,
                    members,
                    origins,
                    (address, message, nowMillis) -> sent.add(new Sent(address, decode(message))));

    /** The answers to queries, in order. */
    private final List<Optional<StreamOrigin>> answers = new ArrayList<>();

    @Test
    void testAnnounceWhenAPeerDoesNotUnderstand() {
        addPeer("a", "y", true);
        addPeer("b", "z", true);
        addPeer("earlier", "z", false);

        streams.announce("r", ORIGIN);

        StreamNotice notice = new StreamNotice(Map.of(ORIGIN, List.of("r")));
        assertThat(sent, containsInAnyOrder(new Sent("a", notice), new Sent("b", notice)));
    }

    @Test
    void testAnnounceWhenStreamsBeginTogether() {
        addPeer("a", "z", true);

        streams.announce("r1", ORIGIN);
        streams.announce("r2", ORIGIN);
        streams.announce("r3", ORIGIN);
        assertThat(sent, hasSize(1));
        runEventLoop();

        assertThat(
                sent,
                contains(
                        new Sent("a", new StreamNotice(Map.of(ORIGIN, List.of("r1")))),
                        new Sent("a", new StreamNotice(Map.of(ORIGIN, List.of("r2", "r3"))))));
    }

    @Test
    void testAnnounceWhenTheFleetIsLarge() {
        for (int number = 0; number < 60; number++) {
            addPeer("i" + number, "z" + number % 3, true);
        }
        streams.announce("r", ORIGIN);
        List<String> told = sent.stream().map(Sent::address).toList();
        sent.clear();
        ask("r");
        List<String> asked = sent.stream().map(Sent::address).toList();

        assertThat(told, hasSize(3));
        assertThat(asked, hasSize(6));
        assertThat(asked, hasItems(told.toArray(String[]::new)));
    }

    @Test
    void testAskWhenAPeerKnowsTheStream() {
        addPeer("a", "z", true);
        addPeer("b", "z", true);

        ask("r");
        streams.handle(new StreamReply(1, Optional.empty()));
        assertThat(answers, empty());
        streams.handle(new StreamReply(1, Optional.of(ORIGIN)));
        runEventLoop();

        assertThat(answers, contains(Optional.of(ORIGIN)));
    }

    @Test
    void testAskWhenNoPeerKnowsTheStream() {
        addPeer("a", "z", true);
        addPeer("b", "z", true);

        ask("r");
        streams.handle(new StreamReply(1, Optional.empty()));
        streams.handle(new StreamReply(2, Optional.of(ORIGIN)));
        assertThat(answers, empty());
        streams.handle(new StreamReply(1, Optional.empty()));
        assertThat(answers, contains(Optional.empty()));

        streams.handle(new StreamReply(1, Optional.of(ORIGIN)));
        runEventLoop();
        assertThat(answers, contains(Optional.empty()));
    }

    @Test
    void testAskWhenNoPeerAnswers() {
        ask("r");
        assertThat(answers, contains(Optional.empty()));
        addPeer("earlier", "z", false);
        ask("r");
        assertThat(answers, contains(Optional.empty(), Optional.empty()));
        addPeer("a", "z", true);
        ask("r");
        assertThat(answers, hasSize(2));
        runEventLoop();

        assertThat(answers, contains(Optional.empty(), Optional.empty(), Optional.empty()));
    }

    @Test
    void testReplyWhenANoticeWasReceived() {
        String id = "x".repeat(5_000);
        addPeer("a", "z", true);
        streams.announce(id, ORIGIN);
        streams.record((StreamNotice) sent.get(0).message(), 0);
        sent.clear();
        ask(id);

        StreamQuery query = (StreamQuery) sent.get(0).message();
        assertThat(streams.reply(query, 0), equalTo(new StreamReply(1, Optional.of(ORIGIN))));
        assertThat(origins.find(id, 0), equalTo(Optional.of(ORIGIN)));
        assertThat(
                streams.reply(new StreamQuery(2, "other"), 0),
                equalTo(new StreamReply(2, Optional.empty())));
    }

    /** Runs the event loop until the notices and time-outs that are due soon have been handled. */
    private void runEventLoop() {
        reactor.delay(3 * TIMEOUT_MILLIS, () -> {});
        reactor.run();
    }

    private void ask(String id) {
        streams.ask(id, TIMEOUT_MILLIS, answers::add);
    }

    /** Adds an instance whose name is its address. */
    private void addPeer(String name, String zone, boolean isKeepingStreams) {
        Heartbeat heartbeat =
                new Heartbeat(
                        new PeerAddress(name, name, zone),
                        1,
                        1,
                        new StorePosition(0, 1),
                        false,
                        StoreContact.FOLLOWING,
                        Map.of(),
                        Map.of(),
                        List.of(),
                        List.of(),
                        List.of(),
                        Map.of(),
                        List.of(),
                        Evacuations.UNKNOWN,
                        isKeepingStreams);
        members.recordHeartbeat(heartbeat, reactor.currentTimeMillis());
        streams.record(heartbeat);
    }

    private static FleetMessage decode(byte[] message) {
        try {
            return FleetCodec.decode(message);
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    /** A message and the address that it was sent to. */
    private record Sent(String address, FleetMessage message) {}
}
