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

/**
 * Simulates the engines of a pool and the membership list, which reaches each router with a lag.
 */
final class SimulatedEngineFleet {

    /** The scheduler. */
    private final VirtualScheduler scheduler;

    /** The random source of list lags. */
    private final SplittableRandom random;

    /** The maximum lag of a membership view in milliseconds. */
    private final long maximumLagMillis;

    /** All engines, whatever their state. */
    private final List<SimulatedEngine> engines;

    /** The listed entry instances, sorted by name. */
    private final List<InstanceIdentity> instances = new ArrayList<>();

    /** The names of engines that are running but omitted from the list. */
    private final Set<String> hiddenEngines = new HashSet<>();

    /** The receivers of views, one for each router. */
    private final List<Consumer<MembershipView>> viewListeners = new ArrayList<>();

    /** The revision of the latest view. */
    private long revision;

    /**
     * Creates a new fleet.
     *
     * @param scheduler The scheduler.
     * @param engines The engines.
     * @param maximumLagMillis The maximum lag of a membership view in milliseconds.
     * @param seed The seed of the lags.
     */
    SimulatedEngineFleet(
            VirtualScheduler scheduler,
            List<SimulatedEngine> engines,
            long maximumLagMillis,
            long seed) {
        this.scheduler = scheduler;
        this.engines = List.copyOf(engines);
        this.maximumLagMillis = maximumLagMillis;
        random = new SplittableRandom(seed);
    }

    /**
     * Creates engines that are assigned to zones in turn.
     *
     * @param scheduler The scheduler.
     * @param profiles The profile of each engine.
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
     * Returns all engines, whatever their state.
     *
     * @return The engines.
     */
    List<SimulatedEngine> engines() {
        return engines;
    }

    /**
     * Returns the engines that currently accept work.
     *
     * @return The engines.
     */
    List<SimulatedEngine> liveEngines() {
        return engines.stream().filter(engine -> engine.state() == EndpointState.LIVE).toList();
    }

    /**
     * Finds an engine by name.
     *
     * @param name The engine's name.
     * @return The engine, or empty if there is none of that name.
     */
    Optional<SimulatedEngine> findEngine(String name) {
        return engines.stream().filter(engine -> engine.endpoint().name().equals(name)).findFirst();
    }

    /**
     * Adds a receiver of views.
     *
     * @param listener Receives each published view after a lag.
     */
    void addViewListener(Consumer<MembershipView> listener) {
        viewListeners.add(listener);
    }

    /**
     * Lists an entry instance, replacing an earlier incarnation of it.
     *
     * @param identity The entry instance.
     */
    void addInstance(InstanceIdentity identity) {
        removeInstance(identity.name());
        instances.add(identity);
        instances.sort(Comparator.comparing(InstanceIdentity::name));
    }

    /**
     * Removes an entry instance from the list.
     *
     * @param name The name of the entry instance.
     */
    void removeInstance(String name) {
        instances.removeIf(identity -> identity.name().equals(name));
    }

    /**
     * Omits an engine from the list or lists it again.
     *
     * @param name The engine's name.
     * @param hidden Whether to omit the engine.
     */
    void setHidden(String name, boolean hidden) {
        if (hidden) {
            hiddenEngines.add(name);
        } else {
            hiddenEngines.remove(name);
        }
    }

    /**
     * Returns a view of the current list under a new revision.
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

    /** Sends the current view to all listeners, each after a random lag. */
    void publishView() {
        MembershipView view = currentView();
        for (Consumer<MembershipView> listener : viewListeners) {
            scheduler.scheduleAfter(
                    random.nextLong(maximumLagMillis + 1), () -> listener.accept(view));
        }
    }
}
