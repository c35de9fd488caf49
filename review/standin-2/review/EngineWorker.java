package review;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A model worker that answers each request with a short stream of events. */
final class EngineWorker {

    private static final int EVENTS = 8;

    /** The time to the first token of a short prompt. */
    private static final long SHORT_PREFILL_MILLIS = 20;

    /** The same of a long one, with others in the batch. */
    private static final long LONG_PREFILL_MILLIS = 1_000;

    private static final int LONG_PROMPT_TOKENS = 2_000;

    final String id;

    /** The ids of the requests that all workers have run. */
    static final Set<String> RUN = ConcurrentHashMap.newKeySet();

    private final Http.Server server;

    EngineWorker(Deployment deployment, String id, String ip) throws IOException {
        this.id = id;
        server = new Http.Server(ip, Deployment.freePort(ip), this::answer);
        deployment.store.put(
                "servers/" + id,
                Deployment.entry("motor-lengua", server.address(), "zona-bravo", 64, "ready"));
    }

    private boolean answer(Http.Head head, byte[] body, Socket socket)
            throws IOException, InterruptedException {
        String requestId = head.header("Chicorytrestle-Request-Id");
        if (!id.equals(head.header("Chicorytrestle-Expect-Instance"))) {
            socket.getOutputStream()
                    .write(
                            ("HTTP/1.1 421 Misdirected Request\r\nChicorytrestle-Request-Id: "
                                            + requestId + "\r\nChicorytrestle-Instance-Id: " + id
                                            + "\r\nContent-Length: 0\r\n\r\n")
                                    .getBytes(StandardCharsets.US_ASCII));
            return true;
        }
        RUN.add(requestId);
        int tokens = Integer.parseInt(head.header("Chicorytrestle-Token-Count").split(",")[0]);
        Thread.sleep(tokens >= LONG_PROMPT_TOKENS ? LONG_PREFILL_MILLIS : SHORT_PREFILL_MILLIS);
        StringBuilder answer =
                new StringBuilder(
                        "HTTP/1.1 200 OK\r\nChicorytrestle-Request-Id: " + requestId
                                + "\r\nChicorytrestle-Response-Seal: 3e1b.07.5a2.600.0.c9f2a4d1"
                                + "\r\nContent-Type: text/event-stream"
                                + "\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int event = 1; event <= EVENTS; event++) {
            String text = "id: " + event + "\ndata: token token token\n\n";
            answer.append(Integer.toHexString(text.length())).append("\r\n");
            answer.append(text).append("\r\n");
        }
        answer.append("0\r\n\r\n");
        socket.getOutputStream().write(answer.toString().getBytes(StandardCharsets.US_ASCII));
        return true;
    }

    /** The configuration with one route to model workers. */
    static String configuration() {
        return "{\"version\":7,\"routes\":[{\"name\":\"r-hato\",\"host\":\"tags.example\","
                + "\"prefix\":\"/hato/\",\"kind\":\"streaming\",\"timeout_ms\":6000,"
                + "\"latency_target_ms\":800,\"priority\":1,\"service\":\"motor-lengua\","
                + "\"max_attempts\":1,\"public\":false,\"sticky\":true,\"can_resume\":false,"
                + "\"gap_target_ms\":400}],"
                + "\"services\":[{\"name\":\"motor-lengua\",\"health_path\":\"/healthz\","
                + "\"max_connections\":780,\"protocol\":\"h1\",\"tls\":false,\"engine\":{"
                + "\"slots\":64,\"kv_capacity\":342590,\"kv_token_bytes\":163840,"
                + "\"link_mbps\":740000.0,\"moves\":true,\"backups\":true,\"stride\":3,"
                + "\"most\":2,\"pin_ms\":4000.0,\"hold_ms\":2000.0,\"handle_s\":5.0,"
                + "\"models\":[{\"name\":\"m\"}]}}],"
                + "\"limits\":{\"header_bytes\":16384,\"body_bytes\":4194304,"
                + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
                + "\"tenants\":[{\"name\":\"hule930\",\"api_keys\":[\"key-1\"],\"priority\":1}]}";
    }
}
