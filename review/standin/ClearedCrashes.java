import java.util.ArrayList;
import java.util.List;

/** A request crashes each worker that runs it; one worker fails part of its requests with 500. */
final class ClearedCrashes extends Case {

    private static final long CONTACT_MILLIS = 3_000;

    private static final int ALLOWED_RETRIES = 3;

    private static final int DEADLINE_MILLIS = 4_000;

    private static final int ROUNDS = 6;

    /** The worker that may be grey, the first of seven, which is chosen first in its zone. */
    private static final List<String> WORKER_ZONES =
            List.of(
                    "zona-conchos",
                    "zona-bravo",
                    "zona-bravo",
                    "zona-bravo",
                    "zona-nazas",
                    "zona-nazas",
                    "zona-nazas");

    public static void main(String[] arguments) {
        new ClearedCrashes().run(arguments);
    }

    @Override
    List<String> play(Fleet fleet) throws Exception {
        Store store = new Store(fleet);
        store.put("op/config", Configuration.json(3, "huvo11a"));
        List<Worker> workers = new ArrayList<>();
        for (String zone : WORKER_ZONES) {
            workers.add(
                    new Worker(fleet, store, "i-7f3a91c" + workers.size(), "huvo11a", zone, 800));
            workers.get(workers.size() - 1).register("ready");
        }
        List<Fleet.Instance> instances = startFleet(fleet, store);
        Worker grey = workers.get(0);
        if (hasTrouble) {
            grey.turnGrey();
        }
        for (int round = 0; round < ROUNDS; round++) {
            sendCrashing(fleet, instances.get(0));
            Thread.sleep(1_000);
            sendCrashing(fleet, instances.get(2));
            for (int index = 0; index < 4; index++) {
                Thread.sleep(250);
                Client.get(fleet, instances.get(1), Client.newId(), DEADLINE_MILLIS);
            }
            sendCrashing(fleet, instances.get(1));
            Thread.sleep(1_500);
        }
        fleet.log("worker " + grey.id() + " failed " + grey.failedShare() + " of its requests");
        List<Long> crashes = new ArrayList<>();
        for (Worker worker : workers) {
            for (Worker.Run run : worker.runs()) {
                if (run.isCrashing && (worker != grey || !hasTrouble)) {
                    crashes.add(run.startMillis);
                }
            }
        }
        crashes.sort(null);
        if (crashes.size() < 3) {
            throw new IllegalStateException(
                    "The request has crashed " + crashes.size() + " workers only");
        }
        long boundMillis = crashes.get(2) + CONTACT_MILLIS;
        long retries = crashes.stream().filter(millis -> millis > boundMillis).count();
        fleet.log(
                crashes.size() + " crashes, " + retries + " of them later than " + CONTACT_MILLIS
                        + " ms after the third");
        return retries > ALLOWED_RETRIES
                ? List.of(
                        "the request reached workers in " + retries + " retries, and crashed them,"
                                + " later than " + CONTACT_MILLIS
                                + " ms after it had crashed the third")
                : List.of();
    }

    private static void sendCrashing(Fleet fleet, Fleet.Instance instance) {
        Client.send(
                fleet, instance, "POST", Worker.CRASHING_PATH, Client.newId(), DEADLINE_MILLIS);
    }
}
