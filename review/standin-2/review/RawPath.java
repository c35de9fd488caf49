package review;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A client sends requests whose path and query hold UTF-8 text as it is, without percent-encoding.
 * Without the trouble the same client encodes them.
 */
final class RawPath {

    private static final List<String> NAMES =
            List.of("becerro", "niño", "señal-0417", "Ñandú", "vaca?color=café", "rancho?dueño=Peña");

    private RawPath() {}

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
        Map<String, String> run = new ConcurrentHashMap<>();
        for (int index = 0; index < 3; index++) {
            new TagWorker(
                    deployment,
                    "w-" + index,
                    deployment.ip(100 + index),
                    (worker, head, body) -> {
                        run.put(head.header("Chicorytrestle-Request-Id"), head.target());
                        deployment.log(
                                worker + " runs " + head.header("Chicorytrestle-Request-Id") + " "
                                        + head.method() + " " + visible(head.target()));
                    });
        }
        deployment.store.put("op/config", configuration());
        Deployment.Machine machine =
                deployment.machine("frontend-1", "zona-bravo", 11, List.of(), Map.of());
        machine.start();
        machine.awaitReady();
        Thread.sleep(2_000);
        int changed = 0;
        int answered = 0;
        int number = 0;
        for (String name : NAMES) {
            number++;
            String id = String.format("%016x", 0x77d07be2a3000000L + number);
            byte[] bytes = ("/tags/" + name).getBytes(StandardCharsets.UTF_8);
            String target =
                    hasTrouble
                            ? new String(bytes, StandardCharsets.ISO_8859_1)
                            : percentEncoded(bytes);
            deployment.log("client sends " + id + " POST " + visible(target));
            int status = post(machine, target, id);
            String ran = run.get(id);
            boolean isChanged = ran != null && !ran.equals(target);
            changed += isChanged ? 1 : 0;
            answered += status == 200 ? 1 : 0;
            deployment.log(
                    id + " answered " + status + ", ran as "
                            + (ran == null ? "nothing" : visible(ran))
                            + (isChanged ? " CHANGED" : ""));
        }
        deployment.log(changed + " of " + NAMES.size() + " requests CHANGED");
        if (changed > 0) {
            return 1;
        }
        return hasTrouble || answered == NAMES.size() ? 0 : 2;
    }

    private static int post(Deployment.Machine machine, String target, String id)
            throws IOException {
        try (Socket socket = Deployment.connect(machine.http)) {
            socket.setSoTimeout(4_000);
            socket.getOutputStream()
                    .write(
                            ("POST " + target + " HTTP/1.1\r\nHost: tags.example\r\n"
                                            + "Chicorytrestle-Request-Id: " + id
                                            + "\r\nChicorytrestle-Deadline-Ms: 4000\r\n"
                                            + "Chicorytrestle-Credential: key-1\r\n"
                                            + "Content-Length: 4\r\n\r\nbody")
                                    .getBytes(StandardCharsets.ISO_8859_1));
            Http.Head head = Http.readHead(socket.getInputStream());
            return head == null ? -1 : head.status();
        }
    }

    private static String percentEncoded(byte[] bytes) {
        StringBuilder text = new StringBuilder();
        for (byte one : bytes) {
            text.append(one < 0 ? String.format("%%%02X", one & 0xff) : "" + (char) one);
        }
        return text.toString();
    }

    /** Shows each byte beyond ASCII by its number. */
    private static String visible(String text) {
        StringBuilder shown = new StringBuilder();
        for (char one : text.toCharArray()) {
            shown.append(one > 126 ? String.format("<%02x>", (int) one) : "" + one);
        }
        return shown.toString();
    }

    private static String configuration() {
        return "{\"version\":7,\"routes\":[{\"name\":\"r-tags\",\"host\":\"tags.example\","
                + "\"prefix\":\"/tags/\",\"kind\":\"non_idempotent\",\"timeout_ms\":4000,"
                + "\"latency_target_ms\":300,\"priority\":2,\"service\":\"tag-app\","
                + "\"max_attempts\":1,\"public\":false,\"sticky\":false,\"can_resume\":false}],"
                + "\"services\":[{\"name\":\"tag-app\",\"health_path\":\"/healthz\","
                + "\"max_connections\":208,\"protocol\":\"h1\",\"tls\":false}],"
                + "\"limits\":{\"header_bytes\":16384,\"body_bytes\":4194304,"
                + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
                + "\"tenants\":[{\"name\":\"hule930\",\"api_keys\":[\"key-1\"],\"priority\":1}]}";
    }
}
