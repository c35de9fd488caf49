package review;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Starts the program of the deploy file as separate processes, each on a loopback address. */
final class Deployment implements Closeable {

    static final int METRICS_PORT = 9464;

    private final Path root = Path.of("").toAbsolutePath();

    private final Path folder;

    private final Path record;

    private final long startNanos = System.nanoTime();

    private final List<Machine> machines = new ArrayList<>();

    private final String network;

    final Store store;

    Deployment(Path record) throws IOException {
        this.record = record;
        Files.deleteIfExists(record);
        folder = Path.of(System.getenv("REVIEW_FOLDER"));
        network = freeNetwork();
        store = new Store(ip(1), freePort(ip(1)));
        Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
    }

    private static String freeNetwork() throws IOException {
        ThreadLocalRandom random = ThreadLocalRandom.current();
        for (int attempt = 0; attempt < 50; attempt++) {
            String network = "127." + random.nextInt(10, 250) + "." + random.nextInt(1, 250) + ".";
            try (ServerSocket probe = new ServerSocket()) {
                probe.bind(new InetSocketAddress(InetAddress.getByName(network + 11), METRICS_PORT));
                return network;
            } catch (IOException exception) {
                // The port is in use on all addresses or on this one.
            }
        }
        throw new IOException("no loopback address has a free port " + METRICS_PORT);
    }

    String ip(int last) {
        return network + last;
    }

    static int freePort(String ip) throws IOException {
        try (ServerSocket probe = new ServerSocket()) {
            probe.bind(new InetSocketAddress(InetAddress.getByName(ip), 0));
            return probe.getLocalPort();
        }
    }

    /** Adds a line with the time to the record. */
    synchronized void log(String line) {
        String stamped =
                String.format("%8.3f %s%n", (System.nanoTime() - startNanos) / 1e9, line);
        try {
            Files.writeString(
                    record,
                    stamped,
                    java.nio.file.StandardOpenOption.CREATE,
                    java.nio.file.StandardOpenOption.APPEND);
        } catch (IOException exception) {
            throw new IllegalStateException(exception);
        }
        System.out.print(stamped);
    }

    /** One machine of the system. */
    final class Machine {

        final String name;

        final String http;

        final String ready;

        final String control;

        final Path settings;

        Process process;

        Machine(String name, String http, String ready, String control, Path settings) {
            this.name = name;
            this.http = http;
            this.ready = ready;
            this.control = control;
            this.settings = settings;
        }

        void start() throws IOException {
            ProcessBuilder builder = new ProcessBuilder(command());
            builder.directory(root.toFile());
            Map<String, String> caller = Map.copyOf(System.getenv());
            builder.environment().clear();
            for (String kept : List.of("PATH", "HOME", "JAVA_HOME", "LANG")) {
                if (caller.containsKey(kept)) {
                    builder.environment().put(kept, caller.get(kept));
                }
            }
            builder.environment().put("CHICORYTRESTLE_BOOT", settings.toString());
            builder.redirectErrorStream(true);
            builder.redirectOutput(
                    ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
            process = builder.start();
            Files.writeString(
                    folder.resolve("processes"),
                    process.pid() + "\n",
                    java.nio.file.StandardOpenOption.CREATE,
                    java.nio.file.StandardOpenOption.APPEND);
        }

        void signal(String name) throws Exception {
            new ProcessBuilder("kill", "-" + name, Long.toString(process.pid()))
                    .inheritIO()
                    .start()
                    .waitFor();
        }

        boolean isReady() {
            try (Socket socket = connect(ready)) {
                socket.setSoTimeout(1_000);
                socket.getOutputStream()
                        .write("GET /chicorytrestle/ready HTTP/1.1\r\nHost: r\r\n\r\n".getBytes());
                Http.Head head = Http.readHead(socket.getInputStream());
                return head != null && head.status() == 200;
            } catch (IOException exception) {
                return false;
            }
        }

        void awaitReady() throws Exception {
            for (int attempt = 0; attempt < 200; attempt++) {
                if (isReady()) {
                    return;
                }
                Thread.sleep(100);
            }
            throw new IOException(name + " is not ready");
        }

        String output() throws IOException {
            return Files.readString(folder.resolve(name + ".log"));
        }
    }

    static Socket connect(String address) throws IOException {
        Socket socket = new Socket();
        socket.setTcpNoDelay(true);
        socket.connect(address(address), 2_000);
        return socket;
    }

    static InetSocketAddress address(String text) throws IOException {
        int colon = text.indexOf(':');
        return new InetSocketAddress(
                InetAddress.getByName(text.substring(0, colon)),
                Integer.parseInt(text.substring(colon + 1)));
    }

    private List<String> command() throws IOException {
        String deploy = Files.readString(root.resolve("deploy/system.toml"));
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(deploy);
        if (!run.find()) {
            throw new IOException("the deploy file has no run");
        }
        return List.of(run.group(1).split(" "));
    }

    /** Prepares a machine; bounds replaces figures of the small site. */
    Machine machine(String name, String zone, int last, List<String> seeds, Map<String, Object> bounds)
            throws IOException {
        String ip = ip(last);
        String http = ip + ":" + freePort(ip);
        String ready = ip + ":" + freePort(ip);
        String control = ip + ":" + freePort(ip);
        Map<String, Object> values = new LinkedHashMap<>();
        values.put("node_name", name);
        values.put("zone", zone);
        values.put("listen.http", http);
        values.put("listen.ready", ready);
        values.put("listen.control", control);
        values.put("seeds", seeds.isEmpty() ? List.of(control) : seeds);
        values.put("platform.address", store.address());
        values.put("platform.history_s", 20);
        values.put("bounds.grace_s", 8);
        values.put("bounds.drain_ms", 2000);
        values.put("bounds.retry_budget_ratio", 0.2);
        values.put("bounds.retry_slack", 113);
        values.put("bounds.cap_x", 2);
        values.put(
                "zones",
                Map.of("zona-bravo", "septentrion", "zona-conchos", "septentrion",
                        "zona-nazas", "septentrion"));
        values.put("limits.memory_mb", 352);
        values.put("limits.max_fds", 2069);
        values.putAll(bounds);
        Path settings = folder.resolve(name + ".boot");
        Files.writeString(
                settings,
                render(Files.readString(root.resolve("deploy/settings.yaml")), values, null, null));
        Machine machine = new Machine(name, http, ready, control, settings);
        machines.add(machine);
        return machine;
    }

    /** Fills in a template as DEPLOY tells, as far as this project's template goes. */
    private static String render(
            String template, Map<String, Object> values, Object current, Object key) {
        Pattern section = Pattern.compile("(?s)\\{\\{#([a-z_.]+)}}(.*?)\\{\\{/\\1}}");
        Matcher matcher = section.matcher(template);
        StringBuilder sections = new StringBuilder();
        while (matcher.find()) {
            Object value = values.get(matcher.group(1));
            StringBuilder entries = new StringBuilder();
            if (value instanceof List<?> list) {
                for (int index = 0; index < list.size(); index++) {
                    entries.append(
                            render(
                                    matcher.group(2)
                                            .replace("{{,}}", index + 1 < list.size() ? "," : ""),
                                    values,
                                    list.get(index),
                                    index));
                }
            } else if (value instanceof Map<?, ?> map) {
                int left = map.size();
                for (Map.Entry<?, ?> entry : map.entrySet()) {
                    left--;
                    entries.append(
                            render(
                                    matcher.group(2).replace("{{,}}", left > 0 ? "," : ""),
                                    values,
                                    entry.getValue(),
                                    entry.getKey()));
                }
            } else if (value != null) {
                entries.append(render(matcher.group(2), values, current, key));
            }
            matcher.appendReplacement(sections, Matcher.quoteReplacement(entries.toString()));
        }
        matcher.appendTail(sections);
        Matcher places =
                Pattern.compile("\\{\\{([a-z_.@]+)(\\|json)?}}").matcher(sections.toString());
        StringBuilder rendered = new StringBuilder();
        while (places.find()) {
            Object value =
                    switch (places.group(1)) {
                        case "." -> current;
                        case "@" -> key;
                        default -> values.get(places.group(1));
                    };
            String text =
                    value instanceof String string && places.group(2) != null
                            ? '"' + string + '"'
                            : String.valueOf(value);
            places.appendReplacement(rendered, Matcher.quoteReplacement(text));
        }
        places.appendTail(rendered);
        return rendered.toString();
    }

    private void killAll() {
        for (Machine machine : machines) {
            if (machine.process != null) {
                machine.process.destroyForcibly();
            }
        }
    }

    @Override
    public void close() throws IOException {
        killAll();
        for (Machine machine : machines) {
            if (machine.process != null) {
                try {
                    machine.process.waitFor(5, TimeUnit.SECONDS);
                } catch (InterruptedException exception) {
                    Thread.currentThread().interrupt();
                }
            }
        }
        store.close();
    }

    /** The entry of a worker in the store. */
    static String entry(String service, String address, String zone, int slots, String state) {
        return "{\"service\":\"" + service + "\",\"address\":\"" + address + "\",\"zone\":\"" + zone
                + "\",\"version\":\"v1\",\"slots\":" + slots + ",\"state\":\"" + state
                + "\",\"warmup_left_ms\":0,\"sequence\":4,\"born\":" + Instant.now().toEpochMilli()
                + "}";
    }
}
