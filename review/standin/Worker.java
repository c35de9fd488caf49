import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** A worker that registers in the store and runs requests; it records each request that it runs. */
final class Worker implements AutoCloseable {

    /** The path of requests that crash each worker that begins to run them. */
    static final String CRASHING_PATH = "/puxa403/crash";

    private static final long DOWN_MILLIS = 2_500;

    final String service;

    private final Fleet fleet;

    private final Store store;

    private final String zone;

    private final int answerBytes;

    private final Set<Socket> open = new HashSet<>();

    private volatile String id;

    private volatile long bornMillis = System.currentTimeMillis();

    private volatile ServerSocket listener;

    private int incarnations = 1;

    private final List<Run> runs = new ArrayList<>();

    private volatile long workMillis = 20;

    private volatile boolean isGrey;

    private int requests;

    private int failures;

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
        ServerSocket first = listener;
        Http.daemon(() -> acceptAll(first));
    }

    String id() {
        return id;
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

    /** From now on fails crashing requests with status 500 before it begins to run them. */
    void turnGrey() {
        isGrey = true;
    }

    /** Returns the share of its requests that this worker has failed. */
    synchronized double failedShare() {
        return requests == 0 ? 0 : (double) failures / requests;
    }

    synchronized List<Run> runs() {
        return List.copyOf(runs);
    }

    private void acceptAll(ServerSocket accepting) {
        try {
            while (true) {
                Socket socket = accepting.accept();
                synchronized (this) {
                    open.add(socket);
                }
                Http.daemon(() -> serve(socket));
            }
        } catch (IOException exception) {
            // The listener was closed by a crash or at the end of the case.
        }
    }

    /** Resets all connections; the worker is back after some seconds as a new incarnation. */
    private void crash() throws IOException {
        fleet.log("worker " + id + " crashes");
        listener.close();
        Set<Socket> lost;
        synchronized (this) {
            lost = Set.copyOf(open);
            open.clear();
        }
        for (Socket socket : lost) {
            socket.setSoLinger(true, 0);
            Http.close(socket);
        }
        String crashedId = id;
        Http.daemon(
                () -> {
                    try {
                        Thread.sleep(DOWN_MILLIS);
                        incarnations++;
                        id = crashedId.split("-r")[0] + "-r" + incarnations;
                        bornMillis = System.currentTimeMillis();
                        ServerSocket next =
                                new ServerSocket(0, 200, listener.getInetAddress());
                        listener = next;
                        Http.daemon(() -> acceptAll(next));
                        register("ready");
                        Thread.sleep(1_100);
                        store.remove("servers/" + crashedId);
                    } catch (IOException | InterruptedException exception) {
                        fleet.log("worker " + crashedId + " does not come back: " + exception);
                    }
                });
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
        boolean isCrashing = request.startLine.split(" ")[1].equals(CRASHING_PATH);
        synchronized (this) {
            requests++;
            runs.add(new Run(requestId, fleet.nowMillis(), isCrashing));
        }
        fleet.log(
                "worker " + id + " of " + service + " runs " + requestId + " ("
                        + request.startLine + ", " + request.body.length + " bytes)");
        if (isCrashing && isGrey) {
            synchronized (this) {
                failures++;
            }
            fleet.log("worker " + id + " fails it with 500");
            output.write(
                    ("HTTP/1.1 500 Internal Server Error\r\n" + common
                                    + "Chicorytrestle-Response-Seal: " + id + "." + requestId
                                    + "\r\nContent-Length: 0\r\n\r\n")
                            .getBytes(StandardCharsets.ISO_8859_1));
            return;
        }
        if (isCrashing) {
            crash();
            return;
        }
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

        final boolean isCrashing;

        private Run(String requestId, long startMillis, boolean isCrashing) {
            this.requestId = requestId;
            this.startMillis = startMillis;
            this.isCrashing = isCrashing;
        }
    }
}
