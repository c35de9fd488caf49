import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A worker that sheds a request sends a second answer late, where the next one is expected. */
final class LateShedAnswer extends Case {

    private static final int DEADLINE_MILLIS = 4_000;

    /** So many answers before and after the spoiled one that it is under 0.03 of them. */
    private static final int CALM_REQUESTS = 20;

    private static final int CALM_SLOTS = 64;

    private static final int FULL_SLOTS = 2;

    private static final int BURST_REQUESTS = 4;

    private static final int ROUNDS = 4;

    public static void main(String[] arguments) {
        new LateShedAnswer().run(arguments);
    }

    @Override
    List<String> play(Fleet fleet) throws Exception {
        Store store = new Store(fleet);
        store.put("op/config", Configuration.json(3, "huvo11a"));
        Worker worker = new Worker(fleet, store, "i-7f3a91c2", "huvo11a", "zona-bravo", 800);
        worker.register("ready");
        List<Fleet.Instance> instances = startFleet(fleet, store);
        Fleet.Instance instance = instances.get(0);
        Map<String, Integer> statuses = new ConcurrentHashMap<>();
        for (int index = 0; index < CALM_REQUESTS; index++) {
            post(fleet, instance, statuses);
        }
        worker.setSlots(FULL_SLOTS);
        if (hasTrouble) {
            worker.repeatNextShedAnswerLate();
        }
        worker.setWorkMillis(100);
        List<Thread> burst = new ArrayList<>();
        for (int index = 0; index < BURST_REQUESTS; index++) {
            burst.add(Http.daemon(() -> post(fleet, instance, statuses)));
        }
        for (Thread client : burst) {
            client.join();
        }
        worker.setSlots(CALM_SLOTS);
        // More at a time than before, so that each idle connection of the instance is used again.
        for (int round = 0; round < ROUNDS; round++) {
            List<Thread> clients = new ArrayList<>();
            for (int index = 0; index < BURST_REQUESTS + 2; index++) {
                clients.add(Http.daemon(() -> post(fleet, instance, statuses)));
            }
            for (Thread client : clients) {
                client.join();
            }
        }
        Thread.sleep(500);
        fleet.log("the worker gave " + worker.answers() + " answers, one of them spoiled at most");
        if (hasTrouble && !worker.hasSentLateCopy()) {
            throw new IllegalStateException("The connection of the second answer was not reused");
        }
        Set<String> run = new HashSet<>();
        for (Worker.Run started : worker.runs()) {
            run.add(started.requestId);
        }
        List<String> breaks = new ArrayList<>();
        statuses.forEach(
                (id, status) -> {
                    if ((status == 503 || status == 429) && run.contains(id)) {
                        breaks.add(id + " is not idempotent, was answered " + status + " and ran");
                    }
                });
        return breaks;
    }

    private static void post(
            Fleet fleet, Fleet.Instance instance, Map<String, Integer> statuses) {
        String id = Client.newId();
        int status = 0;
        String outcome;
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(instance.host, instance.callerPort), 1_000);
            socket.setSoTimeout(DEADLINE_MILLIS);
            socket.getOutputStream()
                    .write(
                            Client.head("POST", "/puxa403/2f", id, DEADLINE_MILLIS, 0)
                                    .getBytes(StandardCharsets.ISO_8859_1));
            Http.Message response = Http.read(socket.getInputStream());
            status = response == null ? 0 : response.status();
            outcome = response == null ? "connection closed" : response.startLine;
        } catch (IOException exception) {
            outcome = String.valueOf(exception.getMessage());
        }
        statuses.put(id, status);
        fleet.log("client: POST " + id + " to " + instance.name + ": " + outcome);
    }
}
