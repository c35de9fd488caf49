package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One worker of three spoils 2 in 100 of its answers: it breaks an answer off one to four bytes before
 * its end and writes a second answer on the same connection, a failure that names the request.
 */
final class FilledUpBody {

    private static final int REQUESTS = 1_500;

    private static final int BODY_BYTES = 800;

    private static final int SPOILED_ONE_IN = 50;

    private static final int LONGEST_CUT_BYTES = 4;

    private FilledUpBody() {}

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
        deployment.store.put("op/config", configuration());
        Map<String, Integer> spoiled = new ConcurrentHashMap<>();
        AtomicInteger answersOfFaulty = new AtomicInteger();
        for (int index = 0; index < 3; index++) {
            String id = "w-" + index;
            boolean isFaulty = hasTrouble && index == 0;
            String ip = deployment.ip(100 + index);
            Http.Server server =
                    new Http.Server(
                            ip,
                            Deployment.freePort(ip),
                            (head, body, socket) ->
                                    answer(id, isFaulty, answersOfFaulty, spoiled, head, socket));
            deployment.store.put(
                    "servers/" + id,
                    Deployment.entry("tag-app", server.address(), "zona-bravo", 6, "ready"));
        }
        Deployment.Machine machine =
                deployment.machine("frontend-1", "zona-bravo", 11, List.of(), Map.of());
        machine.start();
        machine.awaitReady();
        Thread.sleep(2_000);
        int mixed = 0;
        int complete = 0;
        int failed = 0;
        Socket socket = null;
        InputStream in = null;
        for (int number = 1; number <= REQUESTS; number++) {
            String id = String.format("%016x", 0x41d07be2a3000000L + number);
            if (socket == null) {
                socket = Deployment.connect(machine.http);
                socket.setSoTimeout(5_000);
                in = new BufferedInputStream(socket.getInputStream());
            }
            socket.getOutputStream()
                    .write(
                            ("POST /tags/x HTTP/1.1\r\nHost: tags.example\r\n"
                                            + "Chicorytrestle-Request-Id: " + id
                                            + "\r\nChicorytrestle-Deadline-Ms: 4000\r\n"
                                            + "Chicorytrestle-Credential: key-1\r\n"
                                            + "Content-Length: 4\r\n\r\nbody")
                                    .getBytes(StandardCharsets.US_ASCII));
            Http.Head head = Http.readHead(in);
            if (head == null) {
                throw new IOException("the machine closed the connection");
            }
            byte[] body = Http.readBody(head, in);
            if ("close".equalsIgnoreCase(head.header("connection"))) {
                socket.close();
                socket = null;
            }
            boolean isSuccess = head.status() == 200;
            boolean isWhole = Arrays.equals(body, body(id));
            boolean isMixed = isSuccess && !isWhole;
            mixed += isMixed ? 1 : 0;
            complete += isSuccess && isWhole ? 1 : 0;
            failed += isSuccess ? 0 : 1;
            if (isMixed || spoiled.containsKey(id)) {
                deployment.log(
                        id + " spoiled " + spoiled.get(id) + " bytes before its end, caller gets "
                                + head.status() + ", seal "
                                + head.header("Chicorytrestle-Response-Seal") + ", " + body.length
                                + " bytes that end with '"
                                + new String(
                                        body,
                                        Math.max(0, body.length - 8),
                                        Math.min(8, body.length),
                                        StandardCharsets.ISO_8859_1)
                                + "'" + (isMixed ? " MIXED" : ""));
            }
        }
        deployment.log(
                REQUESTS + " requests: " + complete + " whole, " + failed + " failed, " + mixed
                        + " MIXED; " + spoiled.size() + " of " + answersOfFaulty
                        + " answers of the faulty worker were spoiled");
        if (mixed > 0) {
            return 1;
        }
        return hasTrouble || complete == REQUESTS ? 0 : 2;
    }

    private static boolean answer(
            String id,
            boolean isFaulty,
            AtomicInteger answers,
            Map<String, Integer> spoiled,
            Http.Head head,
            Socket socket)
            throws IOException {
        String requestId = head.header("Chicorytrestle-Request-Id");
        OutputStream out = socket.getOutputStream();
        if (!id.equals(head.header("Chicorytrestle-Expect-Instance"))) {
            out.write(
                    ("HTTP/1.1 421 Misdirected Request\r\nChicorytrestle-Request-Id: " + requestId
                                    + "\r\nContent-Length: 0\r\n\r\n")
                            .getBytes(StandardCharsets.US_ASCII));
            return true;
        }
        byte[] start =
                ("HTTP/1.1 200 OK\r\nChicorytrestle-Request-Id: " + requestId
                                + "\r\nChicorytrestle-Response-Seal: " + TagWorker.SEAL
                                + "\r\nContent-Length: " + BODY_BYTES + "\r\n\r\n")
                        .getBytes(StandardCharsets.US_ASCII);
        byte[] body = body(requestId);
        byte[] whole = Arrays.copyOf(start, start.length + body.length);
        System.arraycopy(body, 0, whole, start.length, body.length);
        int number = isFaulty ? answers.incrementAndGet() : 1;
        if (isFaulty && number % SPOILED_ONE_IN == 0) {
            int cutBytes = 1 + number / SPOILED_ONE_IN % LONGEST_CUT_BYTES;
            spoiled.put(requestId, cutBytes);
            byte[] second =
                    ("HTTP/1.1 500 Internal Server Error\r\nChicorytrestle-Request-Id: "
                                    + requestId + "\r\nContent-Length: 5\r\n\r\nerror")
                            .getBytes(StandardCharsets.US_ASCII);
            byte[] both = Arrays.copyOf(whole, whole.length - cutBytes + second.length);
            System.arraycopy(second, 0, both, whole.length - cutBytes, second.length);
            out.write(both);
        } else {
            out.write(whole);
        }
        return true;
    }

    /** The bytes that belong to a request. */
    private static byte[] body(String requestId) {
        byte[] bytes = new byte[BODY_BYTES];
        Random random = new Random(requestId.hashCode());
        for (int index = 0; index < bytes.length; index++) {
            bytes[index] = (byte) ('a' + random.nextInt(26));
        }
        return bytes;
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
