import java.util.ArrayList;
import java.util.List;

/**
 * An instance restarts behind a link that carries the store's answers late; meanwhile a worker
 * leaves.
 */
final class LateListing extends Case {

    private static final long CONTACT_MILLIS = 3_000;

    /** As long as a packet takes that is lost and sent again. */
    private static final long DELAY_MILLIS = 400;

    public static void main(String[] arguments) {
        new LateListing().run(arguments);
    }

    @Override
    List<String> play(Fleet fleet) throws Exception {
        Store store = new Store(fleet);
        store.put("op/config", Configuration.json(3, "huvo11a"));
        Worker leaving = new Worker(fleet, store, "i-7f3a91c2", "huvo11a", "zona-bravo", 800);
        Worker staying = new Worker(fleet, store, "i-8b02d4e1", "huvo11a", "zona-conchos", 800);
        Worker other = new Worker(fleet, store, "i-9c13e5f2", "huvo11a", "zona-nazas", 800);
        leaving.register("ready");
        staying.register("ready");
        other.register("ready");
        SlowLink link = new SlowLink(fleet, store.address());
        List<Fleet.Instance> instances = fleet.prepare(store, ZONES);
        Fleet.Instance restarted = instances.get(0);
        restarted.useStore(link.address(), instances);
        for (Fleet.Instance instance : instances) {
            instance.start();
        }
        for (Fleet.Instance instance : instances) {
            instance.awaitReady();
        }
        Thread.sleep(2_000);
        for (Fleet.Instance instance : instances) {
            requireServed(fleet, instance);
        }
        restarted.terminate();
        restarted.awaitEnd();
        if (hasTrouble) {
            link.setDelayMillis(DELAY_MILLIS);
            fleet.log("answers of the store reach " + restarted.name + " late from now on");
        }
        store.removeAfterNextListing("servers/" + leaving.id());
        restarted.start();
        restarted.awaitReady();
        long ackMillis = store.awaitRemoval();
        Thread.sleep(DELAY_MILLIS + 1_000);
        link.setDelayMillis(0);
        fleet.log("answers of the store are on time again");
        Thread.sleep(CONTACT_MILLIS + 200);
        long inTouchMillis = fleet.nowMillis();
        while (fleet.nowMillis() < inTouchMillis + 2_000) {
            Client.get(fleet, restarted, Client.newId(), 4_000);
            Thread.sleep(100);
        }
        List<String> breaks = new ArrayList<>();
        for (Worker.Run run : leaving.runs()) {
            if (run.startMillis > inTouchMillis
                    && run.startMillis > ackMillis + BOUND_MILLIS) {
                breaks.add(
                        run.requestId + " reached " + leaving.id() + " "
                                + (run.startMillis - ackMillis)
                                + " ms after the store removed its entry");
            }
        }
        return breaks;
    }
}
