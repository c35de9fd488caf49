package io.chicorytrestle.standin.http;

import io.activej.eventloop.Eventloop;
import io.activej.http.AsyncServlet;
import io.activej.reactor.nio.NioReactor;
import io.chicorytrestle.core.identity.EndpointKind;
import io.chicorytrestle.standin.model.ServiceModel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** Runs all stand-ins of a scenario on one event loop of its own thread. */
public final class StandInFleet implements AutoCloseable {

    /** The event loop. */
    private final Eventloop reactor;

    /** The thread of the event loop. */
    private final Thread thread;

    /** The IP number to listen on. */
    private final String host;

    /** The configuration service. */
    private final ConfigurationService configurationService;

    /** The instance list. */
    private final InstanceList instanceList;

    /** The weight store. */
    private final WeightStore weightStore;

    /** Counts the executions of all plain services. */
    private final ServiceModel serviceModel = new ServiceModel();

    /** The entry instances on the instance list, by name. */
    private final Map<String, Scenario.EntryInstance> entryInstances = new LinkedHashMap<>();

    /** The engines and plain services by name. */
    private final Map<String, EndpointStandIn> endpoints = new LinkedHashMap<>();

    /** The ports of the control and of the platform's services. */
    private final List<PortListener> listeners = new ArrayList<>();

    /**
     * Creates a new fleet, which does not run yet.
     *
     * @param scenario The scenario.
     */
    private StandInFleet(Scenario scenario) {
        reactor = Eventloop.builder().withThreadName("stand-ins").build();
        thread = new Thread(reactor, "stand-ins");
        thread.setDaemon(true);
        host = scenario.host();
        configurationService = new ConfigurationService(reactor, scenario.platform().readsPerSecond());
        instanceList = new InstanceList(reactor, scenario.platform().listLagMillis());
        weightStore = new WeightStore(reactor, scenario.platform().weightReadsPerSecond());
    }

    /**
     * Starts all stand-ins of a scenario.
     *
     * @param scenario The scenario.
     * @return The running fleet.
     * @throws IOException If a port cannot be had.
     */
    public static StandInFleet start(Scenario scenario) throws IOException {
        StandInFleet fleet = new StandInFleet(scenario);
        fleet.reactor.keepAlive(true);
        fleet.thread.start();
        try {
            fleet.reactor.submit(() -> fleet.startAll(scenario)).join();
        } catch (RuntimeException exception) {
            fleet.close();
            throw new IOException("Cannot start stand-ins: " + exception.getMessage(), exception);
        }
        return fleet;
    }

    /**
     * Returns where the stand-ins listen.
     *
     * @return The addresses.
     */
    public Addresses addresses() {
        return new Addresses(listenerUri(0), listenerUri(1), listenerUri(2), listenerUri(listeners.size() - 1));
    }

    /**
     * Returns where an endpoint listens.
     *
     * @param name The endpoint's name.
     * @return The address as a URL.
     * @throws IllegalArgumentException If there is no endpoint of that name.
     */
    public String endpointUri(String name) {
        EndpointStandIn endpoint = endpoints.get(name);
        if (endpoint == null) {
            throw new IllegalArgumentException("Cannot find endpoint: " + name);
        }
        return "http://%s:%d".formatted(host, endpoint.toListedEndpoint().port());
    }

    @Override
    public void close() {
        reactor.execute(
                () -> {
                    listeners.forEach(PortListener::close);
                    endpoints.values().forEach(EndpointStandIn::crash);
                    reactor.keepAlive(false);
                    reactor.breakEventloop();
                });
        try {
            thread.join();
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Returns the event loop.
     *
     * @return The event loop.
     */
    NioReactor reactor() {
        return reactor;
    }

    /**
     * Returns the configuration service.
     *
     * @return The configuration service.
     */
    ConfigurationService configurationService() {
        return configurationService;
    }

    /**
     * Returns the instance list.
     *
     * @return The instance list.
     */
    InstanceList instanceList() {
        return instanceList;
    }

    /**
     * Returns the weight store.
     *
     * @return The weight store.
     */
    WeightStore weightStore() {
        return weightStore;
    }

    /**
     * Returns the counts of all plain services.
     *
     * @return The counts.
     */
    ServiceModel serviceModel() {
        return serviceModel;
    }

    /**
     * Returns an endpoint.
     *
     * @param name The endpoint's name.
     * @return The endpoint, or {@code null} if there is none of that name.
     */
    @Nullable EndpointStandIn endpoint(String name) {
        return endpoints.get(name);
    }

    /**
     * Reports what the endpoints did.
     *
     * @return A value for each endpoint to send as JSON.
     */
    List<Object> endpointReports() {
        return endpoints.values().stream().map(EndpointStandIn::report).toList();
    }

    /**
     * Puts an entry instance on the list.
     *
     * @param instance The entry instance.
     */
    void putEntryInstance(Scenario.EntryInstance instance) {
        entryInstances.put(instance.name(), instance);
        publishList();
    }

    /**
     * Takes an entry instance off the list.
     *
     * @param name The name of the entry instance.
     */
    void removeEntryInstance(String name) {
        entryInstances.remove(name);
        publishList();
    }

    /**
     * Crashes and starts an endpoint again and again.
     *
     * @param endpoint The endpoint.
     * @param periodMillis The milliseconds between changes.
     * @param times How often it crashes.
     */
    void flap(EndpointStandIn endpoint, long periodMillis, long times) {
        if (times <= 0) {
            return;
        }
        endpoint.crash();
        reactor.delayBackground(
                periodMillis,
                () -> {
                    endpoint.startUnchecked();
                    reactor.delayBackground(
                            periodMillis, () -> flap(endpoint, periodMillis, times - 1));
                });
    }

    /**
     * Opens all ports.
     *
     * @param scenario The scenario.
     * @throws IOException If a port cannot be had.
     */
    private void startAll(Scenario scenario) throws IOException {
        scenario.values()
                .forEach(
                        (key, value) ->
                                configurationService.publish(key, value.getBytes(StandardCharsets.UTF_8)));
        scenario.entryInstances().forEach(instance -> entryInstances.put(instance.name(), instance));
        for (Scenario.EndpointSpecification specification : scenario.endpoints()) {
            endpoints.put(specification.name(), make(specification, scenario.platform()));
        }
        publishList();
        for (EndpointStandIn endpoint : endpoints.values()) {
            endpoint.start();
        }
        listen(configurationService.servlet(), scenario.configurationPort());
        listen(instanceList.servlet(), scenario.instanceListPort());
        listen(weightStore.servlet(), scenario.weightStorePort());
        listen(new ControlServlet(this).servlet(), scenario.controlPort());
    }

    /**
     * Creates an endpoint.
     *
     * @param specification Describes the endpoint.
     * @param platform The behaviour that all engines share.
     * @return The endpoint, which does not run yet.
     */
    private EndpointStandIn make(
            Scenario.EndpointSpecification specification, Scenario.Platform platform) {
        return specification.kind() == EndpointKind.ENGINE
                ? new EngineStandIn(reactor, host, specification, platform, this::publishList)
                : new ServiceStandIn(reactor, host, specification, serviceModel, this::publishList);
    }

    /**
     * Opens a port.
     *
     * @param servlet Answers the requests.
     * @param port The port, or zero for a free one.
     * @throws IOException If the port cannot be had.
     */
    private void listen(AsyncServlet servlet, int port) throws IOException {
        PortListener listener = new PortListener(reactor, servlet, new InetSocketAddress(host, port));
        listener.open();
        listeners.add(listener);
    }

    /** Takes note of the present state for the readers of the instance list. */
    private void publishList() {
        instanceList.publish(
                new InstanceList.Content(
                        List.copyOf(entryInstances.values()),
                        endpoints.values().stream()
                                .filter(EndpointStandIn::isRunning)
                                .map(EndpointStandIn::toListedEndpoint)
                                .toList()));
    }

    /**
     * Returns an address.
     *
     * @param index The position of the listener.
     * @return The address as a URL.
     */
    private String listenerUri(int index) {
        return "http://%s:%d".formatted(host, listeners.get(index).port());
    }

    /**
     * Tells where the stand-ins listen.
     *
     * @param configuration The address of the configuration service.
     * @param instanceList The address of the instance list.
     * @param weightStore The address of the weight store.
     * @param control The address of the control.
     */
    public record Addresses(
            String configuration, String instanceList, String weightStore, String control) {}
}
