import java.util.ArrayList;
import java.util.List;

/** Another writer's entry holds {@code null}; later a worker reports that it is draining. */
final class UnreadableEntry extends Case {

    public static void main(String[] arguments) {
        new UnreadableEntry().run(arguments);
    }

    @Override
    List<String> play(Fleet fleet) throws Exception {
        Store store = new Store(fleet);
        store.put("op/config", Configuration.json(3, "huvo11a"));
        Worker leaving = new Worker(fleet, store, "i-7f3a91c2", "huvo11a", "zona-bravo", 800);
        Worker staying = new Worker(fleet, store, "i-8b02d4e1", "huvo11a", "zona-conchos", 800);
        leaving.register("ready");
        staying.register("ready");
        List<Fleet.Instance> instances = startFleet(fleet, store);
        if (hasTrouble) {
            store.put("servers/i-0other00", "null");
        }
        Thread.sleep(1_000);
        long ackMillis = leaving.register("draining");
        while (fleet.nowMillis() < ackMillis + 2 * BOUND_MILLIS) {
            for (Fleet.Instance instance : instances) {
                Client.get(fleet, instance, Client.newId(), 4_000);
            }
            Thread.sleep(100);
        }
        List<String> breaks = new ArrayList<>();
        for (Worker.Run run : leaving.runs()) {
            if (run.startMillis > ackMillis + BOUND_MILLIS) {
                breaks.add(
                        run.requestId + " reached " + leaving.id() + " "
                                + (run.startMillis - ackMillis)
                                + " ms after the store acknowledged that it is draining");
            }
        }
        return breaks;
    }
}
