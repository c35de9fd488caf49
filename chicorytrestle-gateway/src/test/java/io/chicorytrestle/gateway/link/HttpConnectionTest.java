package io.chicorytrestle.gateway.link;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.notNullValue;

import io.activej.eventloop.Eventloop;
import io.activej.net.socket.tcp.TcpSocket;
import io.chicorytrestle.gateway.operations.GatewayMetrics;
import io.chicorytrestle.gateway.operations.UnexpectedErrorReporter;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponseDecoder;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards a connection whose handling of input ends with an error that nothing expects. */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class HttpConnectionTest {

    private static final int TIMEOUT_MILLIS = 10_000;

    private static final List<Throwable> ERRORS =
            List.of(new IllegalStateException("of a test"), new StackOverflowError("of a test"));

    private final GatewayMetrics metrics = new GatewayMetrics();

    private final Eventloop reactor =
            Eventloop.builder().withFatalErrorHandler(new UnexpectedErrorReporter(metrics)).build();

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

    /** Guards against a connection that stays open and unread, so that its request has no end. */
    @Test
    void testConnectionWhenListenerThrows() throws Exception {
        for (Throwable error : ERRORS) {
            assertBroken(new ThrowingListener(error), null);
        }
        assertUnexpectedErrors(2);
    }

    @Test
    void testConnectionWhenCodecThrows() throws Exception {
        for (Throwable error : ERRORS) {
            assertBroken(new ThrowingListener(null), error);
        }
        assertUnexpectedErrors(2);
    }

    /** The event loop counts an error after the listener was told of the failure. */
    private void assertUnexpectedErrors(int count) throws Exception {
        CompletableFuture<String> rendered = new CompletableFuture<>();
        reactor.execute(() -> rendered.complete(metrics.render()));
        assertThat(
                rendered.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS),
                containsString("unexpected_errors_total " + count));
    }

    private void assertBroken(ThrowingListener listener, @Nullable Throwable codecError)
            throws Exception {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            InetSocketAddress address =
                    new InetSocketAddress(server.getInetAddress(), server.getLocalPort());
            reactor.execute(
                    () ->
                            TcpSocket.connect(reactor, address)
                                    .whenResult(
                                            socket ->
                                                    HttpConnection.of(
                                                                    socket,
                                                                    listener,
                                                                    new ThrowingHandler(codecError),
                                                                    new HttpResponseDecoder(),
                                                                    new HttpRequestEncoder())
                                                            .startReading()));
            try (Socket socket = server.accept()) {
                socket.setSoTimeout(TIMEOUT_MILLIS);
                socket.getOutputStream()
                        .write(
                                "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
                                        .getBytes(StandardCharsets.ISO_8859_1));
                assertThat(socket.getInputStream().read(), equalTo(-1));
            }
            assertThat(
                    listener.failures.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS), notNullValue());
            // The event loop counts an error after the listener was told, before its next task.
            CompletableFuture<Void> nextTask = new CompletableFuture<>();
            reactor.execute(() -> nextTask.complete(null));
            nextTask.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    @SuppressWarnings("unchecked")
    private static <T extends Throwable> void throwUnchecked(@Nullable Throwable error) throws T {
        if (error != null) {
            throw (T) error;
        }
    }

    /** Throws an error for each message. */
    private static final class ThrowingListener implements HttpConnection.Listener {

        private final @Nullable Throwable error;

        private final BlockingQueue<Exception> failures = new LinkedBlockingQueue<>();

        private ThrowingListener(@Nullable Throwable error) {
            this.error = error;
        }

        @Override
        public void onMessage(HttpObject message) {
            HttpConnectionTest.<RuntimeException>throwUnchecked(error);
        }

        @Override
        public void onEndOfStream() {}

        @Override
        public void onFailure(Exception cause) {
            failures.add(cause);
        }
    }

    /** Throws an error for each read, if there is one. */
    private static final class ThrowingHandler extends ChannelInboundHandlerAdapter {

        private final @Nullable Throwable error;

        private ThrowingHandler(@Nullable Throwable error) {
            this.error = error;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            HttpConnectionTest.<RuntimeException>throwUnchecked(error);
            context.fireChannelRead(message);
        }
    }
}
