package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A client that the operator does not control names the parts of its prompts by long identifiers,
 * inside the limit of the header section. It sends a few requests a second on 36 kept connections.
 * Ordinary callers go on meanwhile and afterwards. Without the trouble the identifiers are short.
 */
final class LongPartIds {

    private static final int LONG_ID_DIGITS = 15_500;

    private static final int SHORT_ID_DIGITS = 8;

    private static final int CONNECTIONS_PER_MACHINE = 12;

    private static final int CROWD_PROMPT_TOKENS = 500;

    private static final int ORDINARY_PROMPT_TOKENS = 9_200;

    private static final long INTERVAL_MILLIS = 10;

    private static final long CROWD_MILLIS = 80_000;

    private static final long AFTER_MILLIS = 8_000;

    private static final long ORDINARY_INTERVAL_MILLIS = 250;

    private static final int ORDINARY_BODY_BYTES = 18_000;

    /** The time after the end of the crowd from which on a machine has to serve again. */
    private static final long CALM_MILLIS = 3_000;

    /** The platform restarts a process that has ended after a short delay. */
    private static final long RESTART_MILLIS = 500;

    private static final AtomicLong REQUESTS = new AtomicLong();

    private LongPartIds() {}

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
        deployment.store.put("op/config", EngineWorker.configuration());
        for (int index = 0; index < 3; index++) {
            new EngineWorker(deployment, "w-" + index, deployment.ip(100 + index));
        }
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
        long start = now();
        AtomicInteger lost = new AtomicInteger();
        Map<String, AtomicInteger> ordinary = new ConcurrentSkipListMap<>();
        Map<String, AtomicInteger> calm = new ConcurrentSkipListMap<>();
        Map<String, AtomicInteger> crowd = new ConcurrentSkipListMap<>();
        List<Thread> threads = new ArrayList<>();
        for (Deployment.Machine machine : machines) {
            for (int index = 0; index < CONNECTIONS_PER_MACHINE; index++) {
                threads.add(
                        Http.start(
                                new Caller(
                                        deployment,
                                        machine,
                                        hasTrouble ? LONG_ID_DIGITS : SHORT_ID_DIGITS,
                                        CROWD_PROMPT_TOKENS,
                                        2,
                                        INTERVAL_MILLIS,
                                        start + CROWD_MILLIS,
                                        crowd,
                                        crowd,
                                        Long.MAX_VALUE,
                                        lost)));
                threads.add(
                        Http.start(
                                new Caller(
                                        deployment,
                                        machine,
                                        SHORT_ID_DIGITS,
                                        ORDINARY_PROMPT_TOKENS,
                                        ORDINARY_BODY_BYTES,
                                        ORDINARY_INTERVAL_MILLIS,
                                        start + CROWD_MILLIS + AFTER_MILLIS,
                                        ordinary,
                                        calm,
                                        start + CROWD_MILLIS + CALM_MILLIS,
                                        lost)));
            }
        }
        int[] ends = new int[machines.size()];
        while (now() < start + CROWD_MILLIS + AFTER_MILLIS) {
            Thread.sleep(100);
            for (int index = 0; index < machines.size(); index++) {
                Deployment.Machine machine = machines.get(index);
                if (!machine.process.isAlive()) {
                    ends[index]++;
                    deployment.log(
                            machine.name + " ENDED by itself with code "
                                    + machine.process.exitValue() + ", "
                                    + (now() - start) + " ms after the start of the crowd");
                    Thread.sleep(RESTART_MILLIS);
                    machine.start();
                }
            }
        }
        for (Thread thread : threads) {
            thread.join(7_000);
        }
        int ended = 0;
        for (int index = 0; index < machines.size(); index++) {
            Deployment.Machine machine = machines.get(index);
            ended += ends[index];
            deployment.log(
                    machine.name + " ended " + ends[index] + " times, ready "
                            + machine.isReady() + " lines with OutOfMemoryError "
                            + machine.output().lines().filter(l -> l.contains("OutOfMemory")).count());
        }
        deployment.log("crowd: " + crowd);
        deployment.log("ordinary callers beside the crowd: " + ordinary);
        long served = calm.containsKey("200") ? calm.get("200").get() : 0;
        long asked = calm.values().stream().mapToLong(AtomicInteger::get).sum();
        deployment.log(
                "ordinary callers from " + CALM_MILLIS + " ms after the crowd on: served " + served
                        + " of " + asked + " " + calm);
        deployment.log(
                ended + " ENDS of processes by themselves; " + lost
                        + " requests were run by a worker and their connection was closed");
        return ended > 0 ? 1 : 0;
    }

    private static long now() {
        return System.nanoTime() / 1_000_000;
    }

    /** Sends one request after the other on a kept connection. */
    private static final class Caller implements Runnable {

        private final Deployment deployment;

        private final Deployment.Machine machine;

        private final int idDigits;

        private final int promptTokens;

        private final byte[] body;

        private final long intervalMillis;

        private final long endMillis;

        private final Map<String, AtomicInteger> results;

        private final Map<String, AtomicInteger> calmResults;

        private final long calmMillis;

        private final AtomicInteger lost;

        Caller(
                Deployment deployment,
                Deployment.Machine machine,
                int idDigits,
                int promptTokens,
                int bodyBytes,
                long intervalMillis,
                long endMillis,
                Map<String, AtomicInteger> results,
                Map<String, AtomicInteger> calmResults,
                long calmMillis,
                AtomicInteger lost) {
            this.deployment = deployment;
            this.machine = machine;
            this.idDigits = idDigits;
            this.promptTokens = promptTokens;
            body = "x".repeat(bodyBytes).getBytes(StandardCharsets.US_ASCII);
            this.intervalMillis = intervalMillis;
            this.endMillis = endMillis;
            this.results = results;
            this.calmResults = calmResults;
            this.calmMillis = calmMillis;
            this.lost = lost;
        }

        @Override
        public void run() {
            Socket socket = null;
            InputStream in = null;
            while (now() < endMillis) {
                long number = REQUESTS.incrementAndGet();
                String id = String.format("%016x", 0x61d07be200000000L + number);
                String result;
                long sentMillis = now() + intervalMillis;
                try {
                    Thread.sleep(intervalMillis);
                    if (socket == null) {
                        socket = Deployment.connect(machine.http);
                        socket.setSoTimeout(6_500);
                        in = new BufferedInputStream(socket.getInputStream());
                    }
                    socket.getOutputStream().write(request(id, number));
                    Http.Head head = Http.readHead(in);
                    if (head == null) {
                        throw new IOException("closed without an answer");
                    }
                    Http.readBody(head, in);
                    result = Integer.toString(head.status());
                    if ("close".equals(head.header("connection"))) {
                        socket.close();
                        socket = null;
                    }
                } catch (IOException | InterruptedException exception) {
                    boolean hasRun = EngineWorker.RUN.contains(id);
                    result = exception.getMessage() + (hasRun ? ", had run" : "");
                    if (hasRun && !(exception instanceof SocketTimeoutException)) {
                        lost.incrementAndGet();
                    }
                    try {
                        if (socket != null) {
                            socket.close();
                        }
                    } catch (IOException ignored) {
                        // The connection is of no more use.
                    }
                    socket = null;
                }
                Map<String, AtomicInteger> counts = sentMillis >= calmMillis ? calmResults : results;
                if (counts.computeIfAbsent(result, key -> new AtomicInteger()).incrementAndGet()
                        <= 10) {
                    deployment.log(
                            (idDigits > SHORT_ID_DIGITS ? "crowd " : "") + id + " "
                                    + machine.name + ": " + result);
                }
            }
        }

        private byte[] request(String id, long number) {
            StringBuilder part = new StringBuilder(String.format("%08x", number));
            while (part.length() < idDigits) {
                part.append("0123456789abcdef");
            }
            part.setLength(idDigits);
            byte[] head =
                    ("POST /hato/x HTTP/1.1\r\nHost: tags.example\r\nChicorytrestle-Request-Id: "
                                    + id + "\r\nChicorytrestle-Model: m\r\n"
                                    + "Chicorytrestle-Token-Count: " + (promptTokens + 80) + ",60\r\n"
                                    + "Chicorytrestle-Prompt-Prefix: " + part + ":" + promptTokens + ","
                                    + String.format("%08x", number | 0x80000000L) + ":80\r\n"
                                    + "Chicorytrestle-Deadline-Ms: 6000\r\n"
                                    + "Chicorytrestle-Credential: key-1\r\nContent-Length: "
                                    + body.length + "\r\n\r\n")
                            .getBytes(StandardCharsets.US_ASCII);
            byte[] request = new byte[head.length + body.length];
            System.arraycopy(head, 0, request, 0, head.length);
            System.arraycopy(body, 0, request, head.length, body.length);
            return request;
        }
    }
}
