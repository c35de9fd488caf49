package review;

import java.io.BufferedOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.OutputStream;
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

    private static final long HISTORY_MILLIS = 20_000;

    private final Http.Server server;

    private final TreeMap<String, Item> items = new TreeMap<>();

    private final List<Event> events = new ArrayList<>();

    private long revision = 100;

    /** The revision of the latest change that is no longer in the history. */
    private long forgotten;

    private record Item(byte[] value, long revision, long createRevision) {}

    private record Event(String key, long revision, long millis, String json) {}

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
        events.add(new Event(key, revision, now(), json(key, item)));
        notifyAll();
    }

    synchronized void remove(String key) {
        if (items.remove(key) != null) {
            revision++;
            events.add(
                    new Event(
                            key,
                            revision,
                            now(),
                            "{\"key\":\"" + key + "\",\"revision\":" + revision
                                    + ",\"removed\":true}"));
            notifyAll();
        }
    }

    private static long now() {
        return System.nanoTime() / 1_000_000;
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
        List<String> answer =
                switch (path) {
                    case "/chicorytrestle/kv-range" -> range(query);
                    case "/chicorytrestle/kv-watch" -> watch(query);
                    case "/chicorytrestle/kv-key" -> key(query);
                    default -> null;
                };
        boolean isGone = answer == null && path.endsWith("/kv-watch");
        String status = answer != null ? "200 OK" : isGone ? "410 Gone" : "404 Not Found";
        List<String> parts = answer == null ? List.of("{}") : answer;
        OutputStream out = new BufferedOutputStream(socket.getOutputStream(), 65_536);
        out.write(
                ("HTTP/1.1 " + status + "\r\nContent-Type: application/json\r\nContent-Length: "
                                + parts.stream().mapToLong(String::length).sum()
                                + "\r\n\r\n")
                        .getBytes(StandardCharsets.US_ASCII));
        for (String part : parts) {
            out.write(part.getBytes(StandardCharsets.US_ASCII));
        }
        out.flush();
        return true;
    }

    private synchronized List<String> key(Map<String, String> query) {
        Item item = items.get(query.get("key"));
        return item == null ? null : List.of(json(query.get("key"), item));
    }

    private synchronized List<String> range(Map<String, String> query) {
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
        return document(
                "{\"items\":[",
                page,
                "],\"more_pages\":" + isCut + ",\"store_revision\":" + revision + "}");
    }

    private synchronized List<String> watch(Map<String, String> query) throws InterruptedException {
        long after = Long.parseLong(query.get("after"));
        long end = now() + Long.parseLong(query.get("wait_ms"));
        while (true) {
            while (!events.isEmpty() && now() - events.get(0).millis() > HISTORY_MILLIS) {
                forgotten = events.remove(0).revision();
            }
            if (after < forgotten) {
                return null;
            }
            List<String> found = new ArrayList<>();
            for (Event event : events) {
                if (event.revision() > after && event.key().startsWith(query.get("prefix"))) {
                    found.add(event.json());
                }
            }
            long left = end - now();
            if (!found.isEmpty() || left <= 0) {
                return document(
                        "{\"events\":[", found, "],\"store_revision\":" + revision + "}");
            }
            wait(left);
        }
    }

    /** The parts of a document, which are not joined, as they may be large. */
    private static List<String> document(String begin, List<String> entries, String end) {
        List<String> parts = new ArrayList<>(List.of(begin));
        for (String entry : entries) {
            if (parts.size() > 1) {
                parts.add(",");
            }
            parts.add(entry);
        }
        parts.add(end);
        return parts;
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
