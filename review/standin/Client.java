import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;

/** Sends requests to an instance, each on a new connection, and records what comes back. */
final class Client {

    private static final AtomicInteger NEXT_ID = new AtomicInteger();

    private Client() {}

    static String newId() {
        return String.format("%016x", 0x9c41d07be2a30000L + NEXT_ID.incrementAndGet());
    }

    static String head(String method, String path, String id, int deadlineMillis, int bodyBytes) {
        return method + " " + path + " HTTP/1.1\r\nHost: " + Configuration.HOST
                + "\r\nChicorytrestle-Request-Id: " + id + "\r\nChicorytrestle-Deadline-Ms: "
                + deadlineMillis + "\r\nChicorytrestle-Credential: " + Configuration.KEY
                + "\r\nContent-Length: " + bodyBytes + "\r\n\r\n";
    }

    /** Sends a GET and returns its status, 0 if no response came. */
    static int get(Fleet fleet, Fleet.Instance instance, String id, int deadlineMillis) {
        return send(fleet, instance, "GET", "/cufi504/2f", id, deadlineMillis);
    }

    /** Sends a request without a body and returns its status, 0 if no response came. */
    static int send(
            Fleet fleet,
            Fleet.Instance instance,
            String method,
            String path,
            String id,
            int deadlineMillis) {
        long sentMillis = fleet.nowMillis();
        String outcome;
        int status = 0;
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(instance.host, instance.callerPort), 1_000);
            socket.setSoTimeout(deadlineMillis);
            socket.getOutputStream()
                    .write(
                            head(method, path, id, deadlineMillis, 0)
                                    .getBytes(StandardCharsets.ISO_8859_1));
            Http.Message response = Http.read(socket.getInputStream());
            status = response == null ? 0 : response.status();
            outcome = response == null ? "connection closed" : response.startLine;
        } catch (IOException exception) {
            outcome = String.valueOf(exception.getMessage());
        }
        fleet.log(
                "client: " + method + " " + path + " " + id + " sent at " + sentMillis + " ms to " + instance.name + ": "
                        + outcome);
        return status;
    }
}
