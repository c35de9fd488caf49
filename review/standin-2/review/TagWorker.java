package review;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A worker that answers plain requests at once, and rejects those that expect another one. */
final class TagWorker {

    static final String SEAL = "3e1b.07.5a2.600.0.c9f2a4d1";

    final String id;

    private final Http.Server server;

    /** Told of each request that the worker runs. */
    interface Observer {

        void onRun(String worker, Http.Head head, byte[] body);
    }

    TagWorker(Deployment deployment, String id, String ip, Observer observer) throws IOException {
        this.id = id;
        server =
                new Http.Server(
                        ip,
                        Deployment.freePort(ip),
                        (head, body, socket) -> answer(observer, head, body, socket));
        deployment.store.put(
                "servers/" + id,
                Deployment.entry("tag-app", server.address(), "zona-bravo", 6, "ready"));
    }

    private boolean answer(Observer observer, Http.Head head, byte[] body, Socket socket)
            throws IOException {
        String requestId = head.header("Chicorytrestle-Request-Id");
        boolean isExpected = id.equals(head.header("Chicorytrestle-Expect-Instance"));
        if (isExpected) {
            observer.onRun(id, head, body);
        }
        String start = isExpected ? "200 OK" : "421 Misdirected Request";
        String text = isExpected ? "worker " + id + " ran " + requestId : "";
        socket.getOutputStream()
                .write(
                        ("HTTP/1.1 " + start + "\r\nChicorytrestle-Request-Id: " + requestId
                                        + "\r\nChicorytrestle-Instance-Id: " + id
                                        + (isExpected
                                                ? "\r\nChicorytrestle-Response-Seal: " + SEAL
                                                : "")
                                        + "\r\nContent-Length: " + text.length() + "\r\n\r\n"
                                        + text)
                                .getBytes(StandardCharsets.US_ASCII));
        return true;
    }
}
