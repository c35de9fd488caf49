package io.chicorytrestle.gateway.link;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import io.activej.eventloop.Eventloop;
import io.activej.net.socket.tcp.TcpSocket;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.MessageToMessageEncoder;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards the event loop against connections whose peers send very many small pieces. */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class HttpConnectionFairnessTest {

    private static final int TIMEOUT_SECONDS = 10;

    /** The stated share of one connection in a turn of the event loop, in messages. */
    private static final int MESSAGES_PER_TURN = 256;

    private static final int CHUNK_COUNT = 50_000;

    private static final String HEAD =
            "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";

    private final Eventloop reactor = Eventloop.create();

    private Thread reactorThread;

    private int turn;

    @BeforeEach
    void setUp() {
        reactor.keepAlive(true);
        reactor.execute(this::countTurn);
        reactorThread = new Thread(reactor, "event-loop");
        reactorThread.start();
    }

    @AfterEach
    void tearDown() throws InterruptedException {
        reactor.execute(reactor::breakEventloop);
        reactorThread.join();
    }

    private void countTurn() {
        turn++;
        reactor.postNext(this::countTurn);
    }

    @Test
    void testMessagesOfATurnWhenChunksHaveOneByte() throws Exception {
        Recorder recorder = exchange(HEAD + "1\r\nx\r\n".repeat(CHUNK_COUNT) + "0\r\n\r\n");

        assertThat(recorder.events.size(), equalTo(CHUNK_COUNT + 3));
        assertThat(recorder.mostPerTurn(), lessThanOrEqualTo(MESSAGES_PER_TURN));
    }

    @Test
    void testMessagesOfATurnWhenRequestsArePipelined() throws Exception {
        String request = "GET / HTTP/1.1\r\n\r\n";
        Recorder recorder = exchange(request.repeat(5_000));

        assertThat(recorder.events.size(), equalTo(2 * 5_000 + 1));
        assertThat(recorder.mostPerTurn(), lessThanOrEqualTo(MESSAGES_PER_TURN));
    }

    /** Guards against an orderly end that overtakes messages of an earlier turn. */
    @Test
    void testOrderWhenStreamEndsBehindManyMessages() throws Exception {
        Recorder recorder = exchange(HEAD + "1\r\nx\r\n".repeat(2_000) + "0\r\n\r\n");

        assertThat(recorder.events.indexOf("last"), equalTo(2_001));
        assertThat(recorder.events.indexOf("end"), equalTo(2_002));
    }

    /** Guards against recursion when each message is answered and delivery resumes at once. */
    @Test
    void testMessagesWhenDeliveryIsSuspendedAndResumedForEach() throws Exception {
        Recorder recorder =
                exchange(
                        "GET / HTTP/1.1\r\n\r\n".repeat(5_000),
                        each -> {
                            each.connection().suspendDelivery();
                            each.connection().resumeDelivery();
                        },
                        true);

        assertThat(recorder.events.size(), equalTo(2 * 5_000 + 1));
        assertThat(recorder.mostPerTurn(), lessThanOrEqualTo(MESSAGES_PER_TURN));
    }

    /** Guards against messages that are lost or come twice when delivery stops at any of them. */
    @Test
    void testMessagesWhenDeliveryIsResumedInLaterTurns() throws Exception {
        Random random = new Random(39);
        Recorder recorder =
                exchange(
                        HEAD + "1\r\nx\r\n".repeat(5_000) + "0\r\n\r\n" + HEAD,
                        each -> {
                            HttpConnection connection = each.connection();
                            int choice = random.nextInt(20);
                            if (each.events.lastIndexOf("head") > 0) {
                                each.end.complete(null);
                            } else if (choice == 0) {
                                connection.suspendDelivery();
                                reactor.postNext(connection::resumeDelivery);
                            } else if (choice == 1) {
                                connection.pauseReading();
                                reactor.postNext(connection::resumeReading);
                            }
                        },
                        false);

        assertThat(recorder.events.indexOf("last"), equalTo(5_001));
        assertThat(recorder.events.lastIndexOf("head"), equalTo(5_002));
        assertThat(recorder.mostPerTurn(), lessThanOrEqualTo(MESSAGES_PER_TURN));
    }

    /** Guards against a system call for each small piece. */
    @Test
    void testBytesWhenPiecesAreWrittenInOneTurn() throws Exception {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            Recorder recorder = new Recorder(connection -> {});
            connect(server, recorder);
            try (Socket socket = server.accept()) {
                socket.setSoTimeout(TIMEOUT_SECONDS * 1_000);
                HttpConnection connection = recorder.opened.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
                reactor.execute(
                        () -> {
                            for (int piece = 0; piece < 100; piece++) {
                                connection.write(content("x"));
                            }
                            recorder.isDrainedInTurn.complete(connection.isDrained());
                            connection.close();
                        });
                byte[] bytes = socket.getInputStream().readAllBytes();
                assertThat(
                        new String(bytes, StandardCharsets.ISO_8859_1), equalTo("x".repeat(100)));
                assertThat(
                        recorder.isDrainedInTurn.get(TIMEOUT_SECONDS, TimeUnit.SECONDS),
                        equalTo(false));
            }
        }
    }

    private static HttpContent content(String text) {
        return new DefaultHttpContent(
                Unpooled.wrappedBuffer(text.getBytes(StandardCharsets.ISO_8859_1)));
    }

    private Recorder exchange(String bytes) throws Exception {
        return exchange(bytes, recorder -> {}, true);
    }

    /** Sends bytes to a connection, may end the stream, and waits until the recorder has ended. */
    private Recorder exchange(String bytes, Consumer<Recorder> action, boolean endsStream)
            throws Exception {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            Recorder recorder = new Recorder(action);
            connect(server, recorder);
            try (Socket socket = server.accept()) {
                socket.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
                if (endsStream) {
                    socket.shutdownOutput();
                }
                recorder.end.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
            }
            return recorder;
        }
    }

    private void connect(ServerSocket server, Recorder recorder) {
        InetSocketAddress address =
                new InetSocketAddress(server.getInetAddress(), server.getLocalPort());
        reactor.execute(
                () ->
                        TcpSocket.connect(reactor, address)
                                .whenResult(
                                        socket -> {
                                            HttpConnection connection =
                                                    HttpConnection.of(
                                                            socket,
                                                            recorder,
                                                            new HttpRequestDecoder(),
                                                            new ContentEncoder());
                                            recorder.opened.complete(connection);
                                            connection.startReading();
                                        }));
    }

    /** Writes the bytes of contents without a head. */
    private static final class ContentEncoder extends MessageToMessageEncoder<HttpContent> {

        @Override
        protected void encode(
                ChannelHandlerContext context, HttpContent content, List<Object> out) {
            out.add(content.content().retain());
        }
    }

    /** Records what a connection delivers, and in which turn. */
    private final class Recorder implements HttpConnection.Listener {

        private final Consumer<Recorder> action;

        private final List<String> events = new ArrayList<>();

        private final List<Integer> turns = new ArrayList<>();

        private final CompletableFuture<Void> end = new CompletableFuture<>();

        private final CompletableFuture<Boolean> isDrainedInTurn = new CompletableFuture<>();

        private final CompletableFuture<HttpConnection> opened = new CompletableFuture<>();

        private Recorder(Consumer<Recorder> action) {
            this.action = action;
        }

        private HttpConnection connection() {
            return opened.join();
        }

        private int mostPerTurn() {
            int most = 0;
            int count = 0;
            for (int index = 0; index < turns.size(); index++) {
                boolean isSame = index > 0 && turns.get(index).equals(turns.get(index - 1));
                count = isSame ? count + 1 : 1;
                most = Math.max(most, count);
            }
            return most;
        }

        @Override
        public void onMessage(HttpObject message) {
            turns.add(turn);
            if (message instanceof HttpRequest) {
                events.add("head");
            } else {
                events.add(message instanceof LastHttpContent ? "last" : "content");
            }
            action.accept(this);
        }

        @Override
        public void onEndOfStream() {
            events.add("end");
            end.complete(null);
        }

        @Override
        public void onFailure(Exception cause) {
            end.completeExceptionally(cause);
        }
    }
}
