import java.util.ArrayList;
import java.util.List;

/** The open connections to the store go silent; later the operator moves a route. */
final class SilentStoreConnections extends Case {

    private static final long CONTACT_MILLIS = 3_000;

    public static void main(String[] arguments) {
        new SilentStoreConnections().run(arguments);
    }

    @Override
    List<String> play(Fleet fleet) throws Exception {
        Store store = new Store(fleet);
        store.put("op/config", Configuration.json(3, "huvo11a"));
        Worker before = new Worker(fleet, store, "i-7f3a91c2", "huvo11a", "zona-bravo", 800);
        Worker after = new Worker(fleet, store, "i-8b02d4e1", "wuno96b", "zona-conchos", 800);
        before.register("ready");
        after.register("ready");
        List<Fleet.Instance> instances = startFleet(fleet, store);
        if (hasTrouble) {
            store.silenceOpenConnections();
        }
        Thread.sleep(CONTACT_MILLIS + 500);
        long ackMillis = store.put("op/config", Configuration.json(7, "wuno96b"));
        Thread.sleep(BOUND_MILLIS + 100);
        long firstSentMillis = fleet.nowMillis();
        while (fleet.nowMillis() < firstSentMillis + 2_000) {
            for (Fleet.Instance instance : instances) {
                Client.get(fleet, instance, Client.newId(), 4_000);
            }
            Thread.sleep(100);
        }
        List<String> breaks = new ArrayList<>();
        for (Worker.Run run : before.runs()) {
            if (run.startMillis > firstSentMillis) {
                breaks.add(
                        run.requestId + " was sent later than " + (firstSentMillis - ackMillis)
                                + " ms after the acknowledgement of version 7 and was run by"
                                + " service huvo11a, which only version 3 allows");
            }
        }
        return breaks;
    }
}
