import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** The platform's store: listings and long polls as PROTOCOL tells them. */
final class Store implements AutoCloseable {

    private final Fleet fleet;

    private final ServerSocket listener;

    private final Map<String, String> items = new TreeMap<>();

    private final List<Change> history = new ArrayList<>();

    private final Set<Socket> open = new HashSet<>();

    private final Set<Socket> silent = new HashSet<>();

    private long revision = 1;

    private String removedAfterListing = "";

    private long removedMillis = -1;

    Store(Fleet fleet) throws IOException {
        this.fleet = fleet;
        listener = new ServerSocket(0, 200, InetAddress.getByName(fleet.newHost()));
        Http.daemon(this::acceptAll);
    }

    String address() {
        return listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
    }

    /** Writes an item; the return is the acknowledgement. */
    long put(String key, String value) {
        return putBytes(key, value.getBytes(StandardCharsets.UTF_8));
    }

    synchronized long putBytes(String key, byte[] value) {
        revision++;
        String item =
                "{\"key\":\"" + key + "\",\"value\":\"" + Base64.getEncoder().encodeToString(value)
                        + "\",\"revision\":" + revision + ",\"create_revision\":" + revision
                        + ",\"lease\":0}";
        items.put(key, item);
        history.add(new Change(key, revision, item));
        notifyAll();
        long ackMillis = fleet.nowMillis();
        fleet.log("store acknowledges " + key + " at revision " + revision);
        return ackMillis;
    }

    synchronized long remove(String key) {
        revision++;
        items.remove(key);
        history.add(
                new Change(
                        key,
                        revision,
                        "{\"key\":\"" + key + "\",\"revision\":" + revision
                                + ",\"removed\":true}"));
        notifyAll();
        fleet.log("store removes " + key + " at revision " + revision);
        return fleet.nowMillis();
    }

    /** Removes an item as soon as the next listing of the workers has been read. */
    synchronized void removeAfterNextListing(String key) {
        removedAfterListing = key;
    }

    /** Returns when that item was removed. */
    synchronized long awaitRemoval() throws InterruptedException {
        while (removedMillis < 0) {
            wait();
        }
        return removedMillis;
    }

    /** From now on the open connections carry nothing and stay open; new ones work. */
    synchronized void silenceOpenConnections() {
        silent.addAll(open);
        fleet.log(open.size() + " open connections to the store go silent");
    }

    private void acceptAll() {
        try {
            while (true) {
                Socket socket = listener.accept();
                synchronized (this) {
                    open.add(socket);
                }
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
            while (true) {
                Http.Message request = Http.read(input);
                if (request == null) {
                    break;
                }
                String[] target = request.startLine.split(" ")[1].split("\\?", 2);
                String body = answer(target[0], target.length > 1 ? target[1] : "");
                synchronized (this) {
                    if (silent.contains(socket)) {
                        continue;
                    }
                }
                int status = body == null ? 404 : 200;
                byte[] bytes = (body == null ? "{}" : body).getBytes(StandardCharsets.UTF_8);
                byte[] head =
                        ("HTTP/1.1 " + status + " X\r\nContent-Type: application/json\r\n"
                                        + "Content-Length: " + bytes.length + "\r\n\r\n")
                                .getBytes(StandardCharsets.ISO_8859_1);
                byte[] answer = Arrays.copyOf(head, head.length + bytes.length);
                System.arraycopy(bytes, 0, answer, head.length, bytes.length);
                OutputStream output = socket.getOutputStream();
                output.write(answer);
                output.flush();
            }
        } catch (IOException | InterruptedException exception) {
            // The caller has left, or the case ends.
        }
        synchronized (this) {
            open.remove(socket);
        }
        Http.close(socket);
    }

    private synchronized String answer(String path, String query) throws InterruptedException {
        String prefix = parameter(query, "prefix");
        if (path.equals("/chicorytrestle/kv-range")) {
            List<String> found = new ArrayList<>();
            items.forEach(
                    (key, item) -> {
                        if (key.startsWith(prefix) && key.compareTo(parameter(query, "after")) > 0) {
                            found.add(item);
                        }
                    });
            long listedRevision = revision;
            if (prefix.equals("servers/") && !removedAfterListing.isEmpty()) {
                removedMillis = remove(removedAfterListing);
                removedAfterListing = "";
            }
            return "{\"items\":[" + String.join(",", found)
                    + "],\"more_pages\":false,\"store_revision\":" + listedRevision + "}";
        }
        if (path.equals("/chicorytrestle/kv-key")) {
            String item = items.get(parameter(query, "key"));
            return item == null
                    ? null
                    : item.substring(0, item.length() - 1) + ",\"store_revision\":" + revision + "}";
        }
        if (!path.equals("/chicorytrestle/kv-watch")) {
            return null;
        }
        long after = Long.parseLong(parameter(query, "after"));
        long endNanos =
                System.nanoTime() + Long.parseLong(parameter(query, "wait_ms")) * 1_000_000L;
        while (true) {
            List<String> events = new ArrayList<>();
            for (Change change : history) {
                if (change.key.startsWith(prefix) && change.revision > after) {
                    events.add(change.text);
                }
            }
            long leftMillis = (endNanos - System.nanoTime()) / 1_000_000L;
            if (!events.isEmpty() || leftMillis <= 0) {
                return "{\"events\":[" + String.join(",", events) + "],\"store_revision\":"
                        + revision + "}";
            }
            wait(leftMillis);
        }
    }

    private static String parameter(String query, String name) {
        for (String part : query.split("&")) {
            if (part.startsWith(name + "=")) {
                return part.substring(name.length() + 1).replace("%2F", "/");
            }
        }
        return "";
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }

    private static final class Change {

        private final String key;

        private final long revision;

        private final String text;

        private Change(String key, long revision, String text) {
            this.key = key;
            this.revision = revision;
            this.text = text;
        }
    }
}
