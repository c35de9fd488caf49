import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** The operator raises the limit for bodies while clients keep their connections open. */
final class RaisedLimit extends Case {

    private static final long LOW_LIMIT_BYTES = 1_048_576;

    private static final long HIGH_LIMIT_BYTES = 4_194_304;

    private static final int BODY_BYTES = 1_500_000;

    private static final int CONNECTIONS_PER_INSTANCE = 8;

    private static final int DEADLINE_MILLIS = 6_000;

    /** The number of denials that the rule allows, besides one in five hundred requests. */
    private static final int ALLOWED_DENIALS = 5;

    public static void main(String[] arguments) {
        new RaisedLimit().run(arguments);
    }

    @Override
    List<String> play(Fleet fleet) throws Exception {
        Store store = new Store(fleet);
        long firstLimitBytes = hasTrouble ? LOW_LIMIT_BYTES : HIGH_LIMIT_BYTES;
        store.put("op/config", Configuration.json(3, "huvo11a", firstLimitBytes));
        new Worker(fleet, store, "i-7f3a91c2", "huvo11a", "zona-bravo", 800).register("ready");
        new Worker(fleet, store, "i-8b02d4e1", "huvo11a", "zona-conchos", 800).register("ready");
        List<Fleet.Instance> instances = startFleet(fleet, store);
        List<Connection> connections = new ArrayList<>();
        for (Fleet.Instance instance : instances) {
            for (int index = 0; index < CONNECTIONS_PER_INSTANCE; index++) {
                connections.add(new Connection(fleet, instance));
            }
        }
        int requests = instances.size();
        for (Connection connection : connections) {
            requests++;
            if (connection.post(1_000) != 200) {
                throw new IllegalStateException("A connection does not serve before the case");
            }
        }
        store.put("op/config", Configuration.json(7, "huvo11a", HIGH_LIMIT_BYTES));
        Thread.sleep(BOUND_MILLIS + 100);
        List<String> denials = new ArrayList<>();
        for (Connection connection : connections) {
            requests++;
            int status = connection.post(BODY_BYTES);
            boolean isDenial =
                    status >= 300 && status < 500 && status != 408 && status != 421
                            && status != 429;
            if (isDenial) {
                denials.add(
                        connection.lastId + " with " + BODY_BYTES + " bytes of "
                                + HIGH_LIMIT_BYTES + " allowed got " + status + " from "
                                + connection.instance.name);
            }
        }
        fleet.log(denials.size() + " denials in " + requests + " requests");
        return denials.size() > ALLOWED_DENIALS + requests / 500 ? denials : List.of();
    }

    /** A connection that a client keeps open. */
    private static final class Connection {

        private final Fleet fleet;

        private final Fleet.Instance instance;

        private final Socket socket = new Socket();

        private String lastId = "";

        private Connection(Fleet fleet, Fleet.Instance instance) throws IOException {
            this.fleet = fleet;
            this.instance = instance;
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress(instance.host, instance.callerPort), 1_000);
            socket.setSoTimeout(DEADLINE_MILLIS);
        }

        /** Sends a request and returns its status, 0 if no response came. */
        private int post(int bodyBytes) {
            lastId = Client.newId();
            int status = 0;
            String outcome;
            try {
                OutputStream output = socket.getOutputStream();
                output.write(
                        Client.head("POST", "/puxa403/2f", lastId, DEADLINE_MILLIS, bodyBytes)
                                .getBytes(StandardCharsets.ISO_8859_1));
                // A short pause lets a refusal arrive before the unread body resets the connection.
                Thread.sleep(50);
                if (socket.getInputStream().available() == 0) {
                    output.write(new byte[bodyBytes]);
                }
                Http.Message response = Http.read(socket.getInputStream());
                status = response == null ? 0 : response.status();
                outcome = response == null ? "connection closed" : response.startLine;
            } catch (IOException | InterruptedException exception) {
                outcome = String.valueOf(exception.getMessage());
            }
            fleet.log(
                    "client: " + lastId + " on a kept connection to " + instance.name + ", "
                            + bodyBytes + " bytes: " + outcome);
            return status;
        }
    }
}
