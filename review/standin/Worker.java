import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** A worker that registers in the store and runs requests; it records each request that it runs. */
final class Worker implements AutoCloseable {

    final String id;

    final String service;

    private final Fleet fleet;

    private final Store store;

    private final String zone;

    private final int answerBytes;

    private final long bornMillis = System.currentTimeMillis();

    private final ServerSocket listener;

    private final List<Run> runs = new ArrayList<>();

    private volatile long workMillis = 20;

    private int sequence = 1;

    Worker(Fleet fleet, Store store, String id, String service, String zone, int answerBytes)
            throws IOException {
        this.fleet = fleet;
        this.store = store;
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.answerBytes = answerBytes;
        listener = new ServerSocket(0, 200, InetAddress.getByName(fleet.newHost()));
        Http.daemon(this::acceptAll);
    }

    /** Writes the worker's entry with a state; returns the time of the acknowledgement. */
    long register(String state) {
        return store.put(
                "servers/" + id,
                "{\"service\":\"" + service + "\",\"address\":\""
                        + listener.getInetAddress().getHostAddress() + ":"
                        + listener.getLocalPort() + "\",\"zone\":\"" + zone
                        + "\",\"version\":\"v1\",\"slots\":64,\"state\":\"" + state
                        + "\",\"warmup_left_ms\":0,\"sequence\":" + sequence++ + ",\"born\":"
                        + bornMillis + "}");
    }

    void setWorkMillis(long millis) {
        workMillis = millis;
    }

    synchronized List<Run> runs() {
        return List.copyOf(runs);
    }

    private void acceptAll() {
        try {
            while (true) {
                Socket socket = listener.accept();
                Http.daemon(() -> serve(socket));
            }
        } catch (IOException exception) {
            // The listener was closed at the end of the case.
        }
    }

    private void serve(Socket socket) {
        try {
            socket.setTcpNoDelay(true);
            InputStream input = socket.getInputStream();
            OutputStream output = socket.getOutputStream();
            while (true) {
                Http.Message request = Http.read(input);
                if (request == null) {
                    break;
                }
                respond(request, output);
            }
        } catch (IOException | InterruptedException exception) {
            // The caller has left, or the case ends.
        }
        Http.close(socket);
    }

    private void respond(Http.Message request, OutputStream output)
            throws IOException, InterruptedException {
        String requestId = request.headers.get("Chicorytrestle-Request-Id");
        String expected = request.headers.get("Chicorytrestle-Expect-Instance");
        String common =
                "Chicorytrestle-Request-Id: " + requestId + "\r\nChicorytrestle-Instance-Id: " + id
                        + "\r\n";
        if (expected != null && !expected.equals(id)) {
            output.write(
                    ("HTTP/1.1 421 Misdirected Request\r\n" + common
                                    + "Content-Length: 0\r\n\r\n")
                            .getBytes(StandardCharsets.ISO_8859_1));
            return;
        }
        synchronized (this) {
            runs.add(new Run(requestId, fleet.nowMillis()));
        }
        fleet.log(
                "worker " + id + " of " + service + " runs " + requestId + " ("
                        + request.startLine + ", " + request.body.length + " bytes)");
        Thread.sleep(workMillis);
        byte[] body = new byte[answerBytes];
        java.util.Arrays.fill(body, (byte) 'x');
        output.write(
                ("HTTP/1.1 200 OK\r\n" + common + "Chicorytrestle-Response-Seal: " + id + "."
                                + requestId + "\r\nContent-Length: " + body.length + "\r\n\r\n")
                        .getBytes(StandardCharsets.ISO_8859_1));
        output.write(body);
        output.flush();
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }

    /** A request that ran here. */
    static final class Run {

        final String requestId;

        final long startMillis;

        private Run(String requestId, long startMillis) {
            this.requestId = requestId;
            this.startMillis = startMillis;
        }
    }
}
