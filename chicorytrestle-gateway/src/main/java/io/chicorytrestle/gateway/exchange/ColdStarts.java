package io.chicorytrestle.gateway.exchange;

import com.codahale.metrics.Counter;
import com.google.common.flogger.FluentLogger;
import io.chicorytrestle.core.placement.ColdEndpoints;
import io.chicorytrestle.core.placement.ColdStartGate;
import io.chicorytrestle.core.placement.ServingEndpoint;
import io.chicorytrestle.core.placement.ServingView;
import io.chicorytrestle.core.route.Service;
import io.chicorytrestle.core.route.WarmUp;
import io.chicorytrestle.gateway.operations.GatewayMetrics;
import io.chicorytrestle.gateway.operations.LogFields;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

/** Decides which requests may be sent to endpoints that are cold. */
public interface ColdStarts {

    /**
     * Returns which endpoints of a service may be chosen.
     *
     * @param service The name of the service.
     * @param nowMillis The current time in milliseconds.
     * @return The condition that an endpoint is warm, or a request may be sent to it nevertheless.
     */
    Predicate<ServingEndpoint> openEndpoints(String service, long nowMillis);

    /**
     * Records that a request is sent to an endpoint, if it may be.
     *
     * @param endpoint The endpoint.
     * @param nowMillis The current time in milliseconds.
     * @return {@code false} if the request must not be sent.
     */
    boolean trySend(ServingEndpoint endpoint, long nowMillis);

    /**
     * Returns {@code true} if a service has endpoints and all of them are cold.
     *
     * @param endpoints The endpoints of a service.
     * @param nowMillis The current time in milliseconds.
     * @return {@code false} if one of them is warm or there are none.
     */
    boolean areAllCold(List<ServingEndpoint> endpoints, long nowMillis);

    /** Sends requests to all endpoints alike. */
    enum NoOp implements ColdStarts {

        /** The singleton instance. */
        INSTANCE;

        @Override
        public Predicate<ServingEndpoint> openEndpoints(String service, long nowMillis) {
            return endpoint -> true;
        }

        @Override
        public boolean trySend(ServingEndpoint endpoint, long nowMillis) {
            return true;
        }

        @Override
        public boolean areAllCold(List<ServingEndpoint> endpoints, long nowMillis) {
            return false;
        }
    }

    /**
     * Keeps the bound on requests to cold endpoints of services that have a warm-up time, and logs
     * which endpoints become cold and warm.
     */
    final class ForGate implements ColdStarts {

        /** Logs changes of endpoints. */
        private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

        /** Supplies the services and the endpoints. */
        private final GatewayContext context;

        /** Decides what may be sent. */
        private final ColdStartGate gate;

        /** Tells why an endpoint counts as cold. */
        private final ColdEndpoints coldEndpoints;

        /** Counts the choices of an endpoint from which a cold one was left out. */
        private final Counter exclusions;

        /** Counts the requests that were not sent since the endpoint is cold. */
        private final Counter unsent;

        /** The endpoints that were cold at the last step, by incarnation. */
        private final Map<String, ServingEndpoint> coldBefore = new HashMap<>();

        /**
         * Creates an object to which no endpoint has been cold.
         *
         * @param context Supplies the services and the endpoints.
         * @param gate Decides what may be sent.
         * @param coldEndpoints Tells why an endpoint counts as cold.
         * @param metrics The metrics to which counters are added.
         */
        public ForGate(
                GatewayContext context,
                ColdStartGate gate,
                ColdEndpoints coldEndpoints,
                GatewayMetrics metrics) {
            this.context = context;
            this.gate = gate;
            this.coldEndpoints = coldEndpoints;
            exclusions = metrics.counter("cold_endpoint_exclusions_total");
            unsent = metrics.counter("cold_endpoint_unsent_total");
        }

        @Override
        public Predicate<ServingEndpoint> openEndpoints(String service, long nowMillis) {
            return warmUp(service)
                    .<Predicate<ServingEndpoint>>map(
                            warmUp -> endpoint -> isOpen(endpoint, warmUp, nowMillis))
                    .orElse(endpoint -> true);
        }

        /**
         * Returns {@code true} if an endpoint may be chosen, and counts it otherwise.
         *
         * @param endpoint The endpoint.
         * @param warmUp How it behaves while it is cold.
         * @param nowMillis The current time in milliseconds.
         * @return {@code true} if it is warm, or a request may be sent to it nevertheless.
         */
        private boolean isOpen(ServingEndpoint endpoint, WarmUp warmUp, long nowMillis) {
            boolean isOpen = gate.isOpen(endpoint, warmUp, nowMillis);
            if (!isOpen) {
                exclusions.inc();
            }
            return isOpen;
        }

        @Override
        public boolean trySend(ServingEndpoint endpoint, long nowMillis) {
            Optional<WarmUp> warmUp = warmUp(endpoint.service());
            boolean isSent = warmUp.isEmpty() || gate.trySend(endpoint, warmUp.get(), nowMillis);
            if (!isSent) {
                unsent.inc();
            }
            return isSent;
        }

        @Override
        public boolean areAllCold(List<ServingEndpoint> endpoints, long nowMillis) {
            return !endpoints.isEmpty()
                    && endpoints.stream().allMatch(endpoint -> coldMillis(endpoint, nowMillis) > 0);
        }

        /**
         * Returns for how long an endpoint still counts as cold.
         *
         * @param endpoint The endpoint.
         * @param nowMillis The current time in milliseconds.
         * @return The time in milliseconds, zero if it is warm.
         */
        private long coldMillis(ServingEndpoint endpoint, long nowMillis) {
            return warmUp(endpoint.service())
                    .map(warmUp -> Math.max(0, gate.coldUntilMillis(endpoint, warmUp) - nowMillis))
                    .orElse(0L);
        }

        /**
         * Returns how the endpoints of a service behave while they are cold.
         *
         * @param service The name of the service.
         * @return The warm-up, or empty if the service has none or is not known.
         */
        private Optional<WarmUp> warmUp(String service) {
            return context.table().service(service).flatMap(Service::warmUp);
        }

        /**
         * Records the instances of the fleet, and logs which endpoints became cold or warm.
         *
         * @param instances The names of the other instances that are known.
         * @param nowMillis The current time in milliseconds.
         */
        public void step(Collection<String> instances, long nowMillis) {
            gate.recordInstances(instances);
            gate.removeExpired(nowMillis);
            ServingView view = context.endpoints();
            Set<String> cold = new HashSet<>();
            for (List<ServingEndpoint> endpoints : view.endpoints().values()) {
                for (ServingEndpoint endpoint : endpoints) {
                    long coldMillis = coldMillis(endpoint, nowMillis);
                    if (coldMillis > 0) {
                        cold.add(endpoint.incarnation());
                        if (coldBefore.put(endpoint.incarnation(), endpoint) == null) {
                            logCold(endpoint, coldMillis, nowMillis);
                        }
                    }
                }
            }
            for (ServingEndpoint endpoint : List.copyOf(coldBefore.values())) {
                if (!cold.contains(endpoint.incarnation())) {
                    coldBefore.remove(endpoint.incarnation());
                    LOGGER.atInfo()
                            .with(LogFields.ENDPOINT, endpoint.incarnation())
                            .with(LogFields.SERVICE, endpoint.service())
                            .log("endpoint_warm");
                }
            }
        }

        /**
         * Logs that an endpoint counts as cold.
         *
         * @param endpoint The endpoint.
         * @param coldMillis The time in milliseconds for which it does.
         * @param nowMillis The current time in milliseconds.
         */
        private void logCold(ServingEndpoint endpoint, long coldMillis, long nowMillis) {
            LOGGER.atInfo()
                    .with(LogFields.ENDPOINT, endpoint.incarnation())
                    .with(LogFields.SERVICE, endpoint.service())
                    .with(
                            LogFields.REASON,
                            coldEndpoints.evidence(endpoint.incarnation(), nowMillis).name())
                    .with(LogFields.REMAINING_MILLIS, coldMillis)
                    .log("endpoint_cold");
        }
    }
}
