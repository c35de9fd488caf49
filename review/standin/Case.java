import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Runs one case: exits with 1 if its rule was broken, 0 if it held and 2 if it could not run. */
abstract class Case {

    /** The time that a configuration or a leaving worker may take to be heeded, and its margin. */
    static final long BOUND_MILLIS = 2_000;

    static final List<String> ZONES = List.of("zona-bravo", "zona-conchos", "zona-nazas");

    /** Whether the disruption takes place. */
    boolean hasTrouble;

    /** Plays the case and returns how the rule was broken, an empty list if it held. */
    abstract List<String> play(Fleet fleet) throws Exception;

    /**
     * Plays the case and exits.
     *
     * @param arguments The repository, the folder of the case, a folder for what is temporary, and
     *     0 to leave the disruption out.
     */
    final void run(String[] arguments) {
        int exitCode = 2;
        hasTrouble = !arguments[3].equals("0");
        try (Fleet fleet =
                new Fleet(Path.of(arguments[0]), Path.of(arguments[1]), Path.of(arguments[2]))) {
            Runtime.getRuntime().addShutdownHook(new Thread(fleet::killAll));
            fleet.log("TROUBLE=" + (hasTrouble ? 1 : 0));
            List<String> breaks = new ArrayList<>();
            try {
                breaks = play(fleet);
                exitCode = breaks.isEmpty() ? 0 : 1;
            } catch (Exception exception) {
                fleet.log("the case could not run: " + exception);
            }
            for (String line : breaks) {
                fleet.log("BROKEN: " + line);
            }
            fleet.log("exit code " + exitCode);
        } catch (Exception exception) {
            exception.printStackTrace();
            exitCode = 2;
        }
        System.exit(exitCode);
    }

    /** Starts one instance a zone and waits until all are ready and know each other. */
    static List<Fleet.Instance> startFleet(Fleet fleet, Store store) throws Exception {
        return startFleet(fleet, store, ZONES);
    }

    /** Starts one instance for each entry and waits until all are ready and know each other. */
    static List<Fleet.Instance> startFleet(Fleet fleet, Store store, List<String> zones)
            throws Exception {
        List<Fleet.Instance> instances = fleet.prepare(store, zones);
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
        return instances;
    }

    static void requireServed(Fleet fleet, Fleet.Instance instance) throws Exception {
        if (Client.get(fleet, instance, Client.newId(), 4_000) != 200) {
            throw new IllegalStateException(instance.name + " does not serve before the case");
        }
    }
}
