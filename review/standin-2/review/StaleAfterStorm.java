package review;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The operator's configuration has grown to just under the size that the store takes, and new
 * versions come in quick succession. Requests of which only an older version allows the handling are
 * sent afterwards to three machines that nothing disturbs.
 */
final class StaleAfterStorm {

    private static final int VALUE_BYTES = 1_048_576;

    private static final int GROWN_ROUTES = 4_600;

    private static final int STORM_VERSIONS = 25;

    private static final long STORM_GAP_MILLIS = 80;

    private static final int CALM_VERSIONS = 3;

    private static final long CALM_GAP_MILLIS = 1_500;

    private static final long CONFIG_APPLY_MILLIS = 2_000;

    /** Keys are judged only after {@code revoke_ms}, the longer of the two bounds. */
    private static final long REVOKE_MILLIS = 5_000;

    private static final long OBSERVED_MILLIS = 26_000;

    private StaleAfterStorm() {}

    public static void main(String[] arguments) throws Exception {
        boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
        int exit;
        try (Deployment deployment = new Deployment(Path.of(arguments[0]))) {
            exit = play(deployment, hasTrouble);
        } catch (IOException | IllegalStateException exception) {
            exception.printStackTrace();
            exit = 2;
        }
        System.exit(exit);
    }

    private static int play(Deployment deployment, boolean hasTrouble) throws Exception {
        for (int index = 0; index < 3; index++) {
            new TagWorker(
                    deployment,
                    "w-" + index,
                    deployment.ip(100 + index),
                    (worker, head, body) -> {});
        }
        deployment.store.put("op/config", configuration(7, 20, "/old/", "\"key-1\",\"key-2\""));
        List<Deployment.Machine> machines = new ArrayList<>();
        String[] zones = {"zona-bravo", "zona-conchos", "zona-nazas"};
        for (int index = 0; index < 3; index++) {
            machines.add(
                    deployment.machine(
                            "frontend-" + (index + 1),
                            zones[index],
                            11 + index,
                            index == 0 ? List.of() : List.of(machines.get(0).control),
                            Map.of()));
        }
        for (Deployment.Machine machine : machines) {
            machine.start();
        }
        for (Deployment.Machine machine : machines) {
            machine.awaitReady();
        }
        Thread.sleep(3_000);
        String grown = configuration(8, GROWN_ROUTES, "/old/", "\"key-1\",\"key-2\"");
        if (grown.length() > VALUE_BYTES) {
            throw new IOException("the configuration is larger than value_bytes");
        }
        deployment.store.put("op/config", grown);
        deployment.log("version 8 acknowledged: " + grown.length() + " bytes of " + VALUE_BYTES);
        Thread.sleep(4_000);
        boolean isUsual = true;
        for (Deployment.Machine machine : machines) {
            isUsual &= ask(machine, "/old/a", "key-1") == 200;
            isUsual &= ask(machine, "/tags/a", "key-2") == 200;
            isUsual &= ask(machine, "/new/a", "key-1") == 404;
        }
        if (!isUsual) {
            deployment.log("version 8 is not in force everywhere before the storm");
            return 2;
        }
        int versions = hasTrouble ? STORM_VERSIONS : CALM_VERSIONS;
        long gapMillis = hasTrouble ? STORM_GAP_MILLIS : CALM_GAP_MILLIS;
        long version = 8;
        long due = now();
        for (int index = 0; index < versions; index++) {
            due += gapMillis;
            Thread.sleep(Math.max(0, due - now()));
            version++;
            boolean isLast = index + 1 == versions;
            deployment.store.put(
                    "op/config",
                    configuration(
                            version,
                            GROWN_ROUTES - index,
                            isLast ? "/new/" : "/old/",
                            isLast ? "\"key-1\"" : "\"key-1\",\"key-2\""));
        }
        long acknowledged = now();
        deployment.log(
                "version " + version + " acknowledged, the last of " + versions + " each "
                        + gapMillis + " ms: /old/ and key-2 are dropped, /new/ is added");
        int stale = 0;
        while (now() - acknowledged < OBSERVED_MILLIS) {
            Thread.sleep(500);
            for (Deployment.Machine machine : machines) {
                long sent = now() - acknowledged;
                int old = ask(machine, "/old/a", "key-1");
                int added = ask(machine, "/new/a", "key-1");
                int revoked = ask(machine, "/tags/a", "key-2");
                boolean isStale =
                        (sent > CONFIG_APPLY_MILLIS && (old == 200 || added == 404))
                                || (sent > REVOKE_MILLIS && revoked == 200);
                stale += isStale ? 1 : 0;
                deployment.log(
                        "sent " + sent + " ms after the acknowledgement to " + machine.name
                                + ": dropped route " + old + ", added route " + added
                                + ", dropped key " + revoked + (isStale ? " STALE" : ""));
            }
        }
        deployment.log(stale + " rounds STALE");
        return stale > 0 ? 1 : 0;
    }

    private static final AtomicInteger REQUESTS = new AtomicInteger();

    private static int ask(Deployment.Machine machine, String path, String key) {
        String id = String.format("%016x", 0x51d07be2a3000000L + REQUESTS.incrementAndGet());
        try (Socket socket = Deployment.connect(machine.http)) {
            socket.setSoTimeout(4_000);
            socket.getOutputStream()
                    .write(
                            ("GET " + path + " HTTP/1.1\r\nHost: tags.example\r\n"
                                            + "Chicorytrestle-Request-Id: " + id
                                            + "\r\nChicorytrestle-Deadline-Ms: 4000\r\n"
                                            + "Chicorytrestle-Credential: " + key + "\r\n\r\n")
                                    .getBytes(StandardCharsets.US_ASCII));
            Http.Head head = Http.readHead(socket.getInputStream());
            return head == null ? -1 : head.status();
        } catch (IOException exception) {
            return -1;
        }
    }

    private static long now() {
        return System.nanoTime() / 1_000_000;
    }

    private static String configuration(long version, int routes, String changing, String keys) {
        StringBuilder text = new StringBuilder("{\"version\":" + version + ",\"routes\":[");
        text.append(route("r-tags", "tags.example", "/tags/"));
        text.append(',').append(route("r-changing", "tags.example", changing));
        for (int index = 0; index < routes; index++) {
            text.append(',')
                    .append(route("r-" + index, "h" + index % 40 + ".example", "/p" + index + "/"));
        }
        return text
                + "],\"services\":[{\"name\":\"tag-app\",\"health_path\":\"/healthz\","
                + "\"max_connections\":208,\"protocol\":\"h1\",\"tls\":false}],"
                + "\"limits\":{\"header_bytes\":16384,\"body_bytes\":4194304,"
                + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
                + "\"tenants\":[{\"name\":\"hule930\",\"api_keys\":[" + keys
                + "],\"priority\":1}]}";
    }

    private static String route(String name, String host, String prefix) {
        return "{\"name\":\"" + name + "\",\"host\":\"" + host + "\",\"prefix\":\"" + prefix
                + "\",\"kind\":\"idempotent\",\"timeout_ms\":4000,\"latency_target_ms\":300,"
                + "\"priority\":2,\"service\":\"tag-app\",\"max_attempts\":2,\"public\":false,"
                + "\"sticky\":false,\"can_resume\":false}";
    }
}
