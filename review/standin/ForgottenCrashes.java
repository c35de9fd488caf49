import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** A request crashes each worker that runs it, and comes again while instances restart in turn. */
final class ForgottenCrashes extends Case {

    private static final long CONTACT_MILLIS = 3_000;

    private static final int ALLOWED_RETRIES = 3;

    private static final int DEADLINE_MILLIS = 4_000;

    private static final List<String> INSTANCE_ZONES =
            List.of("zona-bravo", "zona-conchos", "zona-nazas", "zona-bravo", "zona-conchos");

    public static void main(String[] arguments) {
        new ForgottenCrashes().run(arguments);
    }

    @Override
    List<String> play(Fleet fleet) throws Exception {
        Store store = new Store(fleet);
        store.put("op/config", Configuration.json(3, "huvo11a"));
        List<Worker> workers = new ArrayList<>();
        for (int index = 0; index < 5; index++) {
            String zone = ZONES.get(index % ZONES.size());
            workers.add(new Worker(fleet, store, "i-7f3a91c" + index, "huvo11a", zone, 800));
            workers.get(index).register("ready");
        }
        List<Fleet.Instance> instances = startFleet(fleet, store, INSTANCE_ZONES);
        for (int index = 0; index < 3; index++) {
            sendCrashing(fleet, instances.get(index));
            Thread.sleep(1_000);
        }
        int crashes = crashingRuns(workers, 0);
        long thirdCrashMillis = fleet.nowMillis();
        if (crashes < 3) {
            throw new IllegalStateException("The request has crashed " + crashes + " workers");
        }
        Thread.sleep(CONTACT_MILLIS + 1_500);
        for (Fleet.Instance instance : instances) {
            if (hasTrouble) {
                instance.terminate();
                instance.awaitEnd();
                instance.start();
                instance.awaitReady();
            }
            Thread.sleep(CONTACT_MILLIS + 500);
            sendCrashing(fleet, instance);
            Thread.sleep(1_500);
        }
        int retries = crashingRuns(workers, thirdCrashMillis + CONTACT_MILLIS);
        fleet.log(
                retries + " retries reached workers later than " + CONTACT_MILLIS
                        + " ms after the third crash");
        return retries > ALLOWED_RETRIES
                ? List.of(
                        "the request reached workers in " + retries + " retries later than "
                                + CONTACT_MILLIS + " ms after it had crashed the third")
                : List.of();
    }

    private static void sendCrashing(Fleet fleet, Fleet.Instance instance) {
        Client.send(
                fleet, instance, "POST", Worker.CRASHING_PATH, Client.newId(), DEADLINE_MILLIS);
    }

    /** Counts the requests that crashed a worker later than the given time. */
    private static int crashingRuns(List<Worker> workers, long afterMillis) {
        Set<String> ids = new HashSet<>();
        for (Worker worker : workers) {
            for (Worker.Run run : worker.runs()) {
                if (run.startMillis > afterMillis && run.isCrashing) {
                    ids.add(run.requestId);
                }
            }
        }
        return ids.size();
    }
}
