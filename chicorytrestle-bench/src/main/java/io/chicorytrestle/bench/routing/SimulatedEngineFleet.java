package io.chicorytrestle.bench.routing;

import io.chicorytrestle.core.identity.InstanceIdentity;
import io.chicorytrestle.core.membership.EndpointMember;
import io.chicorytrestle.core.membership.EndpointState;
import io.chicorytrestle.core.membership.InstanceMember;
import io.chicorytrestle.core.membership.MembershipView;
import io.chicorytrestle.standin.model.EngineProfile;
import io.chicorytrestle.standin.virtual.VirtualScheduler;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/** Fakes the engines of a pool and the list that each router reads with a lag of its own. */
final class SimulatedEngineFleet {

    /** The scheduler. */
    private final VirtualScheduler scheduler;

    /** Draws lags. */
    private final SplittableRandom random;

    /** The longest lag of a list in milliseconds. */
    private final long listLagMillis;

    /** The engines. */
    private final List<SimulatedEngine> engines;

    /** The entry instances that are on the list. */
    private final List<InstanceIdentity> instances = new ArrayList<>();

    /** The names of engines that the list leaves out though they run. */
    private final Set<String> hiddenEngines = new HashSet<>();

    /** Receive the views, one for each router. */
    private final List<Consumer<MembershipView>> viewListeners = new ArrayList<>();

    /** The revision of the list. */
    private long revision;

    /**
     * Creates a new fleet.
     *
     * @param scheduler The scheduler.
     * @param engines The engines.
     * @param listLagMillis The longest lag of a list in milliseconds.
     * @param seed The seed.
     */
    SimulatedEngineFleet(
            VirtualScheduler scheduler,
            List<SimulatedEngine> engines,
            long listLagMillis,
            long seed) {
        this.scheduler = scheduler;
        this.engines = List.copyOf(engines);
        this.listLagMillis = listLagMillis;
        random = new SplittableRandom(seed);
    }

    /**
     * Creates engines spread over zones.
     *
     * @param scheduler The scheduler.
     * @param profiles The engines' profiles.
     * @param zones The number of zones.
     * @return The engines.
     */
    static List<SimulatedEngine> engines(
            VirtualScheduler scheduler, List<EngineProfile> profiles, int zones) {
        List<SimulatedEngine> engines = new ArrayList<>();
        for (int index = 0; index < profiles.size(); index++) {
            String zone = "z" + index % zones;
            engines.add(new SimulatedEngine(scheduler, "e" + index, zone, profiles.get(index)));
        }
        return engines;
    }

    /**
     * Returns the engines.
     *
     * @return The engines.
     */
    List<SimulatedEngine> engines() {
        return engines;
    }

    /**
     * Returns the engines that truly take work.
     *
     * @return The engines.
     */
    List<SimulatedEngine> liveEngines() {
        return engines.stream().filter(engine -> engine.state() == EndpointState.LIVE).toList();
    }

    /**
     * Returns an engine.
     *
     * @param name The engine's name.
     * @return The engine, or empty if there is none of that name.
     */
    Optional<SimulatedEngine> findEngine(String name) {
        return engines.stream().filter(one -> one.endpoint().name().equals(name)).findFirst();
    }

    /**
     * Adds a reader of the list.
     *
     * @param reader Receives each view after a lag.
     */
    void addViewListener(Consumer<MembershipView> reader) {
        viewListeners.add(reader);
    }

    /**
     * Puts an entry instance onto the list, in place of an earlier run of it.
     *
     * @param identity The entry instance.
     */
    void addInstance(InstanceIdentity identity) {
        removeInstance(identity.name());
        instances.add(identity);
        instances.sort(Comparator.comparing(InstanceIdentity::name));
    }

    /**
     * Takes an entry instance off the list.
     *
     * @param name The name of the entry instance.
     */
    void removeInstance(String name) {
        instances.removeIf(identity -> identity.name().equals(name));
    }

    /**
     * Lets the list leave an engine out or shows it again.
     *
     * @param name The engine's name.
     * @param left Whether the list leaves the engine out.
     */
    void setHidden(String name, boolean left) {
        if (left) {
            hiddenEngines.add(name);
        } else {
            hiddenEngines.remove(name);
        }
    }

    /**
     * Returns the list as it is now.
     *
     * @return The view without lag.
     */
    MembershipView currentView() {
        revision++;
        return new MembershipView(
                revision,
                instances.stream()
                        .map(identity -> new InstanceMember(identity, "127.0.0.1", 1, true))
                        .toList(),
                engines.stream()
                        .filter(engine -> engine.state() != EndpointState.GONE)
                        .filter(engine -> !hiddenEngines.contains(engine.endpoint().name()))
                        .map(engine -> new EndpointMember(engine.endpoint(), engine.state()))
                        .toList());
    }

    /** Shows the list to all readers, each after a lag of its own. */
    void publishView() {
        MembershipView view = currentView();
        for (Consumer<MembershipView> reader : viewListeners) {
            scheduler.scheduleAfter(random.nextLong(listLagMillis + 1), () -> reader.accept(view));
        }
    }
}
