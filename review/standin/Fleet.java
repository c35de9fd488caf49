import java.io.BufferedWriter;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Starts entry instances with the run line and the settings template of the deploy file, each on a
 * loopback address of its own, and keeps the record of a case.
 */
final class Fleet implements AutoCloseable {

    private static final Pattern RUN_LINE = Pattern.compile("(?m)^run = \"(.*)\"$");

    private static final Pattern TEMPLATE_LINE = Pattern.compile("(?m)^template = \"(.*)\"$");

    private final Path repository;

    private final Path folder;

    private final BufferedWriter record;

    private final long startNanos = System.nanoTime();

    private final String network;

    private final List<Instance> instances = new ArrayList<>();

    private int nextHost = 1;

    private boolean isClosed;

    /**
     * Creates a fleet without instances.
     *
     * @param repository The root of the repository.
     * @param caseFolder Receives the record.
     * @param folder Receives settings, logs and the list of processes; the script removes it.
     */
    Fleet(Path repository, Path caseFolder, Path folder) throws IOException {
        this.repository = repository;
        this.folder = folder;
        record = Files.newBufferedWriter(caseFolder.resolve("record.txt"));
        Random random = new Random();
        network = "127." + (20 + random.nextInt(200)) + "." + random.nextInt(250) + ".";
    }

    /** Returns a loopback address that no other part of this case uses. */
    synchronized String newHost() {
        return network + nextHost++;
    }

    static int freePort(String host) throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(host))) {
            return socket.getLocalPort();
        }
    }

    long nowMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
    }

    synchronized void log(String line) {
        String text = String.format("%8.3f s  %s", nowMillis() / 1000.0, line);
        try {
            record.write(text);
            record.newLine();
            record.flush();
        } catch (IOException exception) {
            throw new IllegalStateException(exception);
        }
    }

    /** Prepares instances, one in each of the given zones; {@link Instance#start()} runs them. */
    List<Instance> prepare(Store store, List<String> zones) throws IOException {
        List<Instance> prepared = new ArrayList<>();
        for (String zone : zones) {
            String host = newHost();
            prepared.add(
                    new Instance("frontend-" + zone + "-" + (instances.size() + 1), zone, host));
            instances.add(prepared.get(prepared.size() - 1));
        }
        List<String> seeds = new ArrayList<>();
        for (Instance instance : prepared) {
            if (seeds.size() < 3) {
                seeds.add(instance.peer);
            }
        }
        for (Instance instance : prepared) {
            instance.writeSettings(store.address(), seeds);
        }
        return prepared;
    }

    private String deployFile(Pattern pattern) throws IOException {
        Matcher matcher =
                pattern.matcher(Files.readString(repository.resolve("deploy/system.toml")));
        if (!matcher.find()) {
            throw new IOException("deploy/system.toml has no line " + pattern);
        }
        return matcher.group(1);
    }

    /** Starts a process unless the case has ended, and lists it for the script. */
    private synchronized Process startProcess(ProcessBuilder builder) throws IOException {
        if (isClosed) {
            throw new IOException("The case has ended");
        }
        Process process = builder.start();
        Files.writeString(
                folder.resolve("processes"),
                process.pid() + "\n",
                StandardOpenOption.CREATE,
                StandardOpenOption.APPEND);
        return process;
    }

    /** Ends all processes that this case started. */
    void killAll() {
        synchronized (this) {
            isClosed = true;
        }
        for (Instance instance : List.copyOf(instances)) {
            instance.kill();
        }
    }

    @Override
    public void close() throws IOException {
        killAll();
        for (Instance instance : instances) {
            Path log = folder.resolve(instance.name + ".log");
            if (Files.exists(log)) {
                List<String> lines = Files.readAllLines(log);
                log("-- output of " + instance.name + ", " + lines.size() + " lines, the notable");
                for (String line : lines) {
                    if (!line.contains("\"request_placed\"")
                            && !line.contains("\"request_ended\"")
                            && !line.contains("\"attempt_failed\"")) {
                        log("   " + line);
                    }
                }
            }
        }
        record.close();
    }

    /** One entry instance in a process of its own. */
    final class Instance {

        final String name;

        final String zone;

        final String host;

        final int callerPort;

        final int readyPort;

        final String peer;

        private volatile Process process;

        private Instance(String name, String zone, String host) throws IOException {
            this.name = name;
            this.zone = zone;
            this.host = host;
            callerPort = freePort(host);
            readyPort = freePort(host);
            peer = host + ":" + freePort(host);
        }

        private void writeSettings(String store, List<String> seeds) throws IOException {
            String text = Files.readString(repository.resolve(deployFile(TEMPLATE_LINE)));
            StringBuilder seedList = new StringBuilder();
            for (String seed : seeds) {
                seedList.append(seedList.length() == 0 ? "" : ",").append('"' + seed + '"');
            }
            text =
                    text.replace("{{#seeds}}{{.|json}}{{,}}{{/seeds}}", seedList)
                            .replace("{{node_name|json}}", '"' + name + '"')
                            .replace("{{zone|json}}", '"' + zone + '"')
                            .replace("{{listen.http|json}}", '"' + host + ":" + callerPort + '"')
                            .replace("{{listen.ready|json}}", '"' + host + ":" + readyPort + '"')
                            .replace("{{listen.control|json}}", '"' + peer + '"')
                            .replace("{{platform.address|json}}", '"' + store + '"')
                            .replace("{{platform.history_s|json}}", "20")
                            .replace("{{bounds.grace_s|json}}", "8")
                            .replace("{{bounds.drain_ms|json}}", "2000")
                            .replace("{{bounds.retry_budget_ratio|json}}", "0.2")
                            .replace("{{bounds.retry_slack|json}}", "113")
                            .replace("{{bounds.cap_x|json}}", "2");
            if (text.contains("{{")) {
                throw new IOException("The settings template has unknown placeholders: " + text);
            }
            Files.writeString(folder.resolve(name + ".settings"), text);
        }

        /** Writes the settings anew, with another address for the store. */
        void useStore(String store, List<Instance> seedInstances) throws IOException {
            List<String> seeds = new ArrayList<>();
            for (Instance seed : seedInstances) {
                seeds.add(seed.peer);
            }
            writeSettings(store, seeds);
        }

        void start() throws IOException {
            List<String> words = new ArrayList<>(List.of(deployFile(RUN_LINE).split(" ")));
            ProcessBuilder builder = new ProcessBuilder(words);
            builder.directory(repository.toFile());
            builder.environment()
                    .put("CHICORYTRESTLE_BOOT", folder.resolve(name + ".settings").toString());
            builder.redirectErrorStream(true);
            builder.redirectOutput(
                    ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
            process = startProcess(builder);
            log(name + " started on " + host);
        }

        /** Returns whether the readiness check answers 200. */
        boolean isReady() {
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress(host, readyPort), 500);
                socket.setSoTimeout(1_000);
                socket.getOutputStream()
                        .write(
                                "GET /chicorytrestle/ready HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n"
                                        .getBytes(StandardCharsets.ISO_8859_1));
                byte[] head = socket.getInputStream().readNBytes(12);
                return new String(head, StandardCharsets.ISO_8859_1).equals("HTTP/1.1 200");
            } catch (IOException exception) {
                return false;
            }
        }

        void awaitReady() throws IOException, InterruptedException {
            long endMillis = nowMillis() + 20_000;
            while (!isReady()) {
                if (nowMillis() > endMillis) {
                    throw new IOException(name + " does not become ready");
                }
                Thread.sleep(50);
            }
            log(name + " is ready");
        }

        boolean isAlive() {
            return process != null && process.isAlive();
        }

        /** Sends SIGTERM. */
        void terminate() {
            log("SIGTERM to " + name);
            process.destroy();
        }

        /** Waits until the process has ended by itself. */
        void awaitEnd() throws IOException, InterruptedException {
            if (!process.waitFor(10, TimeUnit.SECONDS)) {
                throw new IOException(name + " does not end after SIGTERM");
            }
            log(name + " has ended");
        }

        void kill() {
            if (process != null) {
                process.destroyForcibly();
                try {
                    process.waitFor(10, TimeUnit.SECONDS);
                } catch (InterruptedException exception) {
                    Thread.currentThread().interrupt();
                }
            }
        }
    }
}
