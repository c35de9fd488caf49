package review;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * Callers on links of 256 kbit/s fetch answers of 240 to 257 kB; the machine that serves them gets
 * SIGTERM meanwhile. Each caller has time left, and the machine has the time to send each answer
 * before its grace period ends.
 */
final class SlowReaderAtShutdown {

    private static final int CALLERS = 12;

    private static final int SMALLEST_ANSWER_BYTES = 240_000;

    private static final int STEP_BYTES = 1_500;

    private static final int BYTES_PER_SECOND = 32_000;

    private static final int RECEIVE_BUFFER_BYTES = 4_096;

    private static final long SIGNAL_MILLIS = 200;

    private static final long DEADLINE_MILLIS = 15_000;

    private static final long GRACE_MILLIS = 8_000;

    private static final String SEAL = "3e1b.07.5a2.600.0.c9f2a4d1";

    private SlowReaderAtShutdown() {}

    /** What one caller saw. */
    private record Seen(
            String id, int owed, long sentMillis, int status, long bytes, long endMillis, String end) {}

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
        byte[] bytes = new byte[size(CALLERS)];
        new Random(7).nextBytes(bytes);
        Map<String, Long> workerDone = Collections.synchronizedMap(new java.util.TreeMap<>());
        List<Http.Server> workers = new ArrayList<>();
        for (int index = 0; index < 3; index++) {
            String ip = deployment.ip(100 + index);
            String name = "w-" + index;
            Http.Server worker =
                    new Http.Server(
                            ip,
                            Deployment.freePort(ip),
                            (head, body, socket) -> {
                                String id = head.header("Chicorytrestle-Request-Id");
                                if (!name.equals(head.header("Chicorytrestle-Expect-Instance"))) {
                                    socket.getOutputStream()
                                            .write(
                                                    ("HTTP/1.1 421 Misdirected Request\r\n"
                                                                    + "Chicorytrestle-Request-Id: "
                                                                    + id
                                                                    + "\r\nContent-Length: 0\r\n\r\n")
                                                            .getBytes());
                                    return true;
                                }
                                deployment.log(name + " runs " + id);
                                String target = head.target();
                                int number =
                                        Integer.parseInt(
                                                target.substring(target.lastIndexOf('/') + 1));
                                OutputStream out = socket.getOutputStream();
                                out.write(
                                        ("HTTP/1.1 200 OK\r\nChicorytrestle-Request-Id: " + id
                                                        + "\r\nChicorytrestle-Response-Seal: " + SEAL
                                                        + "\r\nContent-Length: " + size(number)
                                                        + "\r\n\r\n")
                                                .getBytes(StandardCharsets.US_ASCII));
                                out.write(bytes, 0, size(number));
                                workerDone.put(id, System.nanoTime() / 1_000_000);
                                deployment.log(name + " has sent the whole answer to " + id);
                                return true;
                            });
            workers.add(worker);
        }
        deployment.store.put("op/config", configuration());
        for (int index = 0; index < workers.size(); index++) {
            deployment.store.put(
                    "servers/w-" + index,
                    Deployment.entry("tag-app", workers.get(index).address(), "zona-bravo", 6, "ready"));
        }
        Deployment.Machine first = deployment.machine("frontend-1", "zona-bravo", 11, List.of(), Map.of());
        Deployment.Machine second =
                deployment.machine("frontend-2", "zona-bravo", 12, List.of(first.control), Map.of());
        first.start();
        second.start();
        first.awaitReady();
        second.awaitReady();
        Thread.sleep(4_000);

        List<Seen> seen = Collections.synchronizedList(new ArrayList<>());
        List<Thread> callers = new ArrayList<>();
        long[] terminated = {0};
        for (int index = 0; index < CALLERS; index++) {
            int number = index;
            callers.add(
                    Http.start(
                            () -> {
                                try {
                                    seen.add(call(deployment, first, number));
                                } catch (Exception exception) {
                                    deployment.log("caller " + number + ": " + exception);
                                }
                            }));
        }
        Thread.sleep(SIGNAL_MILLIS);
        if (hasTrouble) {
            terminated[0] = System.nanoTime() / 1_000_000;
            deployment.log("SIGTERM to " + first.name);
            first.signal("TERM");
        }
        for (Thread caller : callers) {
            caller.join(20_000);
        }
        int lost = 0;
        for (Seen one : seen) {
            boolean isComplete = one.status() == 200 && one.bytes() == one.owed();
            Long done = workerDone.get(one.id());
            boolean isInTime = one.endMillis() - one.sentMillis() < DEADLINE_MILLIS;
            boolean isPlanned =
                    terminated[0] > 0 && one.endMillis() < terminated[0] + GRACE_MILLIS + 1_000;
            // Excused as in the rule: the deadline has passed, or the worker was still at work.
            boolean isLost =
                    !isComplete && isInTime && isPlanned && done != null && done <= one.endMillis();
            lost += isLost ? 1 : 0;
            deployment.log(
                    one.id() + " status " + one.status() + " bytes " + one.bytes() + " of "
                            + one.owed() + " after " + (one.endMillis() - one.sentMillis())
                            + " ms, " + one.end()
                            + (done == null ? ", worker not done" : ", worker done after "
                                    + (done - one.sentMillis()) + " ms")
                            + (isLost ? " LOST" : ""));
        }
        long complete = seen.stream().filter(one -> one.bytes() == one.owed()).count();
        deployment.log(complete + " of " + CALLERS + " answers complete, " + lost + " LOST");
        if (lost > 0) {
            return 1;
        }
        return complete == CALLERS || hasTrouble ? 0 : 2;
    }

    /** The size of the answer to one caller. */
    private static int size(int number) {
        return SMALLEST_ANSWER_BYTES + number * STEP_BYTES;
    }

    /** Sends a request and reads its answer at the speed of the caller's link. */
    private static Seen call(
            Deployment deployment, Deployment.Machine machine, int number)
            throws IOException, InterruptedException {
        String id = String.format("%016x", 0x9c41d07be2a30000L + number);
        try (SocketChannel channel = SocketChannel.open()) {
            Socket socket = channel.socket();
            socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
            SegmentSize.set(channel, SegmentSize.ETHERNET_BYTES);
            channel.connect(Deployment.address(machine.http));
            socket.setSoTimeout((int) DEADLINE_MILLIS);
            long sentMillis = System.nanoTime() / 1_000_000;
            deployment.log("caller " + number + " sends " + id);
            socket.getOutputStream()
                    .write(
                            ("GET /tags/history/" + number + " HTTP/1.1\r\nHost: tags.example\r\n"
                                            + "Chicorytrestle-Request-Id: " + id
                                            + "\r\nChicorytrestle-Deadline-Ms: " + DEADLINE_MILLIS
                                            + "\r\nChicorytrestle-Credential: key-1\r\n\r\n")
                                    .getBytes(StandardCharsets.US_ASCII));
            InputStream in = socket.getInputStream();
            Http.Head head = Http.readHead(in);
            long bodyMillis = System.nanoTime() / 1_000_000;
            byte[] part = new byte[1_024];
            long bytes = 0;
            String end = "complete";
            int wanted = Integer.parseInt(head.header("content-length") == null
                    ? "-1" : head.header("content-length"));
            boolean isChunked = wanted < 0;
            ChunkCounter chunks = new ChunkCounter();
            try {
                while (isChunked ? !chunks.isEnded : bytes < wanted) {
                    int read = in.read(part);
                    if (read < 0) {
                        end = "connection ended early";
                        break;
                    }
                    if (isChunked) {
                        chunks.add(part, read);
                        bytes = chunks.bodyBytes;
                    } else {
                        bytes += read;
                    }
                    long dueMillis = bodyMillis + bytes * 1_000 / BYTES_PER_SECOND;
                    long aheadMillis = dueMillis - System.nanoTime() / 1_000_000;
                    if (aheadMillis > 0) {
                        Thread.sleep(aheadMillis);
                    }
                }
            } catch (IOException exception) {
                end = exception.toString();
            }
            return new Seen(
                    id, size(number), sentMillis, head.status(), bytes, System.nanoTime() / 1_000_000, end);
        }
    }

    /** Counts the bytes of a body in chunks. */
    private static final class ChunkCounter {

        private long bodyBytes;

        private boolean isEnded;

        private long left;

        private int skip;

        private final StringBuilder size = new StringBuilder();

        void add(byte[] bytes, int length) {
            for (int index = 0; index < length && !isEnded; index++) {
                if (left > 0) {
                    long taken = Math.min(left, length - index);
                    left -= taken;
                    bodyBytes += taken;
                    index += (int) taken - 1;
                    skip = left == 0 ? 2 : 0;
                } else if (skip > 0) {
                    skip--;
                } else if (bytes[index] == '\n') {
                    left = Long.parseLong(size.toString().strip(), 16);
                    size.setLength(0);
                    isEnded = left == 0;
                } else {
                    size.append((char) bytes[index]);
                }
            }
        }
    }

    private static String configuration() {
        return "{\"version\":7,\"routes\":[{\"name\":\"r-tags\",\"host\":\"tags.example\","
                + "\"prefix\":\"/tags/\",\"kind\":\"idempotent\",\"timeout_ms\":15000,"
                + "\"latency_target_ms\":15000,\"priority\":2,\"service\":\"tag-app\","
                + "\"max_attempts\":2,\"public\":false,\"sticky\":false,\"can_resume\":false}],"
                + "\"services\":[{\"name\":\"tag-app\",\"health_path\":\"/healthz\","
                + "\"max_connections\":208,\"protocol\":\"h1\",\"tls\":false}],"
                + "\"limits\":{\"header_bytes\":16384,\"body_bytes\":4194304,"
                + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
                + "\"tenants\":[{\"name\":\"hule930\",\"api_keys\":[\"key-1\"],\"priority\":1}]}";
    }
}
