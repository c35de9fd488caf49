package review;

import java.io.Closeable;
import java.io.IOException;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's store: items with revisions, listings and watches. */
final class Store implements Closeable {

    private static final int PAGE_ITEMS = 500;

    private final Http.Server server;

    private final TreeMap<String, Item> items = new TreeMap<>();

    private final List<Event> events = new ArrayList<>();

    private long revision = 100;

    private record Item(byte[] value, long revision, long createRevision) {}

    private record Event(String key, long revision, String json) {}

    Store(String ip, int port) throws IOException {
        server = new Http.Server(ip, port, this::handle);
    }

    String address() {
        return server.address();
    }

    synchronized void put(String key, String value) {
        revision++;
        Item before = items.get(key);
        Item item =
                new Item(
                        value.getBytes(StandardCharsets.UTF_8),
                        revision,
                        before == null ? revision : before.createRevision());
        items.put(key, item);
        events.add(new Event(key, revision, json(key, item)));
        notifyAll();
    }

    synchronized void remove(String key) {
        if (items.remove(key) != null) {
            revision++;
            events.add(
                    new Event(
                            key,
                            revision,
                            "{\"key\":\"" + key + "\",\"revision\":" + revision
                                    + ",\"removed\":true}"));
            notifyAll();
        }
    }

    private static String json(String key, Item item) {
        return "{\"key\":\"" + key + "\",\"value\":\""
                + Base64.getEncoder().encodeToString(item.value())
                + "\",\"revision\":" + item.revision()
                + ",\"create_revision\":" + item.createRevision() + ",\"lease\":0}";
    }

    private boolean handle(Http.Head head, byte[] body, Socket socket) throws Exception {
        String target = head.target();
        int mark = target.indexOf('?');
        Map<String, String> query = new HashMap<>();
        for (String pair : target.substring(mark + 1).split("&")) {
            int equals = pair.indexOf('=');
            query.put(
                    pair.substring(0, equals),
                    URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
        }
        String path = mark < 0 ? target : target.substring(0, mark);
        String answer =
                switch (path) {
                    case "/chicorytrestle/kv-range" -> range(query);
                    case "/chicorytrestle/kv-watch" -> watch(query);
                    case "/chicorytrestle/kv-key" -> key(query);
                    default -> null;
                };
        byte[] bytes = (answer == null ? "{}" : answer).getBytes(StandardCharsets.UTF_8);
        String start = "HTTP/1.1 " + (answer == null ? "404 Not Found" : "200 OK") + "\r\n";
        byte[] headBytes =
                (start + "Content-Type: application/json\r\nContent-Length: " + bytes.length
                                + "\r\n\r\n")
                        .getBytes(StandardCharsets.US_ASCII);
        byte[] all = new byte[headBytes.length + bytes.length];
        System.arraycopy(headBytes, 0, all, 0, headBytes.length);
        System.arraycopy(bytes, 0, all, headBytes.length, bytes.length);
        socket.getOutputStream().write(all);
        return true;
    }

    private synchronized String key(Map<String, String> query) {
        Item item = items.get(query.get("key"));
        return item == null ? null : json(query.get("key"), item);
    }

    private synchronized String range(Map<String, String> query) {
        List<String> page = new ArrayList<>();
        boolean isCut = false;
        for (Map.Entry<String, Item> entry :
                items.tailMap(query.getOrDefault("after", ""), false).entrySet()) {
            if (entry.getKey().startsWith(query.get("prefix"))) {
                if (page.size() == PAGE_ITEMS) {
                    isCut = true;
                    break;
                }
                page.add(json(entry.getKey(), entry.getValue()));
            }
        }
        return "{\"items\":[" + String.join(",", page) + "],\"more_pages\":" + isCut
                + ",\"store_revision\":" + revision + "}";
    }

    private synchronized String watch(Map<String, String> query) throws InterruptedException {
        long after = Long.parseLong(query.get("after"));
        long end = System.nanoTime() / 1_000_000 + Long.parseLong(query.get("wait_ms"));
        while (true) {
            List<String> found = new ArrayList<>();
            for (Event event : events) {
                if (event.revision() > after && event.key().startsWith(query.get("prefix"))) {
                    found.add(event.json());
                }
            }
            long left = end - System.nanoTime() / 1_000_000;
            if (!found.isEmpty() || left <= 0) {
                return "{\"events\":[" + String.join(",", found) + "],\"store_revision\":"
                        + revision + "}";
            }
            wait(left);
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
