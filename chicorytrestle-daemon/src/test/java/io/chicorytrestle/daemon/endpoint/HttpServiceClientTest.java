package io.chicorytrestle.daemon.endpoint;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.chicorytrestle.core.endpoint.ServiceRequest;
import io.chicorytrestle.core.endpoint.ServiceResponse;
import io.chicorytrestle.core.identity.Endpoint;
import io.chicorytrestle.core.identity.EndpointIdentity;
import io.chicorytrestle.core.identity.EndpointKind;
import io.chicorytrestle.core.verdict.FailureCode;
import io.chicorytrestle.core.verdict.RequestFailureException;
import io.chicorytrestle.core.verdict.Verdict;
import io.chicorytrestle.daemon.loop.EventLoopPool;
import io.chicorytrestle.daemon.loop.MonotonicClock;
import io.chicorytrestle.daemon.settings.Settings;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.LongPredicate;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class HttpServiceClientTest {

    private static final int TIMEOUT_SECONDS = 20;

    private final MonotonicClock clock = MonotonicClock.start();
    private final EventLoopPool loops = EventLoopPool.start("test", 1);
    private final HttpServiceClient client =
            HttpServiceClient.make(
                    loops,
                    new Settings.Endpoints(List.of(), List.of(), 2_000, 5_000, 10_000),
                    clock);
    private ServerSocket server;

    @BeforeEach
    void listen() throws Exception {
        server = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
        server.setSoTimeout(TIMEOUT_SECONDS * 1_000);
    }

    @AfterEach
    void stop() throws Exception {
        server.close();
        loops.close();
    }

    @Test
    void testExecuteWhenServiceIsUnreachable() throws Exception {
        server.close();

        RequestFailureException failure = failureOf(execute(nowMillis -> true));

        assertThat(failure.verdict(), is(Verdict.NOT_RUN));
        assertThat(failure.code(), is(FailureCode.NO_ENDPOINT));
    }

    @Test
    void testExecuteWhenConnectionBreaksAfterWrite() throws Exception {
        CompletableFuture<ServiceResponse> response = execute(nowMillis -> true);
        try (Socket socket = server.accept()) {
            assertThat(socket.getInputStream().read() >= 0, is(true));
        }

        assertThat(failureOf(response).verdict(), is(Verdict.MAY_HAVE_RUN));
    }

    @Test
    void testExecuteWhenServiceRefuses() throws Exception {
        CompletableFuture<ServiceResponse> response = execute(nowMillis -> true);
        try (Socket socket = server.accept()) {
            assertThat(socket.getInputStream().read() >= 0, is(true));
            socket.getOutputStream()
                    .write(
                            "HTTP/1.1 409 Conflict\r\nX-Verdict: not_run\r\nContent-Length: 0\r\n\r\n"
                                    .getBytes(StandardCharsets.US_ASCII));

            assertThat(failureOf(response).verdict(), is(Verdict.NOT_RUN));
        }
    }

    @Test
    void testExecuteWhenResponseIsTruncated() throws Exception {
        CompletableFuture<ServiceResponse> response = execute(nowMillis -> true);
        try (Socket socket = server.accept()) {
            assertThat(socket.getInputStream().read() >= 0, is(true));
            socket.getOutputStream()
                    .write(
                            "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf"
                                    .getBytes(StandardCharsets.US_ASCII));
        }

        assertThat(failureOf(response).verdict(), is(Verdict.MAY_HAVE_RUN));
    }

    @Test
    void testExecuteWhenWritingIsForbidden() throws Exception {
        CompletableFuture<ServiceResponse> response = execute(nowMillis -> false);

        assertThat(failureOf(response).verdict(), is(Verdict.NOT_RUN));
        assertThat(countReceivedBytes(), is(0));
    }

    @Test
    void testExecuteWhenWritingIsForbiddenAfterPause() throws Exception {
        AtomicBoolean allowed = new AtomicBoolean(true);
        CountDownLatch paused = new CountDownLatch(1);
        CountDownLatch proceed = new CountDownLatch(1);
        CompletableFuture<ServiceResponse> response =
                execute(
                        nowMillis -> {
                            paused.countDown();
                            await(proceed);
                            return allowed.get();
                        });
        await(paused);
        allowed.set(false);
        proceed.countDown();

        assertThat(failureOf(response).verdict(), is(Verdict.NOT_RUN));
        assertThat(countReceivedBytes(), is(0));
    }

    @Test
    void testExecuteWhenDeadlinePassesBeforeWrite() throws Exception {
        CountDownLatch permissionChecked = new CountDownLatch(1);
        CompletableFuture<ServiceResponse> response =
                execute(
                        clock.nowMillis() - 1,
                        nowMillis -> {
                            permissionChecked.countDown();
                            return nowMillis < 0;
                        });

        assertThat(failureOf(response).verdict(), is(Verdict.NOT_RUN));
    }

    private int countReceivedBytes() throws Exception {
        try (Socket socket = server.accept();
                InputStream input = socket.getInputStream()) {
            int count = 0;
            while (input.read() >= 0) {
                count++;
            }
            return count;
        }
    }

    private CompletableFuture<ServiceResponse> execute(LongPredicate mayWrite) {
        return execute(clock.nowMillis() + 10_000, mayWrite);
    }

    private CompletableFuture<ServiceResponse> execute(
            long deadlineMillis, LongPredicate mayWrite) {
        Endpoint service =
                new Endpoint(
                        new EndpointIdentity("booking-1", 1),
                        EndpointKind.SERVICE,
                        "booking",
                        "palermo",
                        "127.0.0.1",
                        server.getLocalPort(),
                        1);
        return client.execute(
                service,
                new ServiceRequest("r1", "confirm", "{}", Optional.empty(), deadlineMillis),
                mayWrite);
    }

    private static RequestFailureException failureOf(CompletableFuture<ServiceResponse> response) {
        ExecutionException exception =
                assertThrows(
                        ExecutionException.class,
                        () -> response.get(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        return assertInstanceOf(RequestFailureException.class, exception.getCause());
    }

    private static void await(CountDownLatch latch) {
        try {
            assertThat(latch.await(TIMEOUT_SECONDS, TimeUnit.SECONDS), is(true));
        } catch (InterruptedException exception) {
            throw new IllegalStateException(exception);
        }
    }
}
