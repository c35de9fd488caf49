package io.chicorytrestle.bench.control;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.chicorytrestle.bench.Experiment;
import io.chicorytrestle.bench.ExperimentOptions;
import io.chicorytrestle.core.identity.ChatKey;
import io.chicorytrestle.core.membership.MemberDescription;
import io.chicorytrestle.core.peer.PeerMessageKind;
import io.chicorytrestle.core.routing.Admission;
import io.chicorytrestle.core.routing.WorkOutcome;
import io.chicorytrestle.core.routing.WorkRequest;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/** Measures what control costs each entry instance at growing sizes. */
public final class ControlTrafficExperiment implements Experiment {

    /** The sizes that are measured. */
    private static final List<FleetSize> SIZES =
            List.of(
                    new FleetSize(13, 3, 9, 10, true),
                    new FleetSize(20, 3, 9, 10, true),
                    new FleetSize(60, 3, 369, 230, false),
                    new FleetSize(120, 4, 738, 230, false));

    /** The daemons of the target. */
    private static final int TARGET_DAEMONS = 390;

    /** The time in which the fleet gets started, in milliseconds. */
    private static final long WARM_UP_MILLIS = 20_000;

    /** The measured time in milliseconds. */
    private static final long MEASUREMENT_MILLIS = 60_000;

    /** The time between changes of the table in milliseconds, 7,000 a day. */
    private static final long TABLE_CHANGE_INTERVAL_MILLIS = 12_343;

    /** The time between restarts of instances and of endpoints in milliseconds. */
    private static final long RESTART_INTERVAL_MILLIS = 30_000;

    /** The time between requests at an instance in milliseconds. */
    private static final long REQUEST_INTERVAL_MILLIS = 1_000;

    /** The time that a request runs in milliseconds. */
    private static final long REQUEST_DURATION_MILLIS = 4_000;

    /** The time that a request may wait in milliseconds. */
    private static final long DEADLINE_MILLIS = 2_000;

    /** The tokens of a prompt, and the most tokens of an answer. */
    private static final int TOKENS = 500;

    /** The bytes that control may take in a second. */
    private static final double MAXIMUM_BYTES_PER_SECOND = 5_000;

    /** The part of a core that control may take. */
    private static final double MAXIMUM_CORE_SHARE = 0.025;

    /** The milliseconds of a second. */
    private static final double SECOND_MILLIS = 1_000;

    /** The nanoseconds of a second. */
    private static final double SECOND_NANOS = 1e9;

    @Override
    public String name() {
        return "control-traffic";
    }

    @Override
    public String summary() {
        return "bytes and processor time of control for each instance";
    }

    @Override
    public Report run(ExperimentOptions options) {
        ObjectNode figures = JsonNodeFactory.instance.objectNode();
        figures.put("experiment", name()).put("seed", options.seed());
        ArrayNode array = figures.putArray("points");
        List<Measurement> points = new ArrayList<>();
        for (FleetSize size : SIZES) {
            Measurement point = measure(size, options.seed());
            point.writeTo(array.addObject());
            points.add(point);
        }
        double today =
                points.stream()
                        .filter(point -> point.size().isCurrentScale())
                        .mapToDouble(Measurement::maximumBytesPerSecond)
                        .max()
                        .orElse(0);
        double target = extrapolate(points);
        double core = points.stream().mapToDouble(Measurement::coreShare).max().orElse(0);
        figures.put("maxBytesPerSecondPerNode", today);
        figures.put("targetBytesPerSecondPerNode", target);
        figures.put("coreShare", core);
        boolean met =
                today <= MAXIMUM_BYTES_PER_SECOND
                        && target <= MAXIMUM_BYTES_PER_SECOND
                        && core <= MAXIMUM_CORE_SHARE;
        return new Report(figures, met);
    }

    /**
     * Works the largest cost at the target's size out from the slope of the two largest sizes.
     *
     * @param points The measured points.
     * @return The bytes of a second.
     */
    private static double extrapolate(List<Measurement> points) {
        Measurement small = points.get(points.size() - 2);
        Measurement large = points.get(points.size() - 1);
        double slope =
                (large.maximumBytesPerSecond() - small.maximumBytesPerSecond())
                        / (large.size().daemons() - small.size().daemons());
        return large.maximumBytesPerSecond()
                + Math.max(0, slope) * (TARGET_DAEMONS - large.size().daemons());
    }

    /**
     * Measures one size.
     *
     * @param size The size.
     * @param seed The seed of random choices.
     * @return The measured point.
     */
    private static Measurement measure(FleetSize size, long seed) {
        ControlFleet fleet =
                new ControlFleet(size.daemons(), size.zones(), size.workspaces(), seed);
        List<MemberDescription> endpoints = fleet.addEndpoints(size.endpoints());
        long start = ControlFleet.START_MILLIS + WARM_UP_MILLIS;
        startRequests(fleet, start);
        fleet.scheduler().runUntil(start);
        List<ControlNode> nodes = List.copyOf(fleet.nodes());
        long[] before = nodes.stream().mapToLong(ControlTrafficExperiment::controlBytes).toArray();
        long nanosBefore = nodes.stream().mapToLong(ControlNode::stepNanos).sum();
        long admissionBefore =
                nodes.stream().mapToLong(node -> node.network().admissionBytes()).sum();
        fleet.scheduler()
                .scheduleRepeating(start, TABLE_CHANGE_INTERVAL_MILLIS, () -> fleet.platform().publish());
        fleet.scheduler()
                .scheduleRepeating(
                        start,
                        RESTART_INTERVAL_MILLIS,
                        () ->
                                fleet.restartEndpoint(
                                        endpoints.get(fleet.random().nextInt(endpoints.size()))));
        fleet.scheduler().runUntil(start + MEASUREMENT_MILLIS);
        double seconds = MEASUREMENT_MILLIS / SECOND_MILLIS;
        double sum = 0;
        double maximum = 0;
        ControlNode largest = nodes.get(0);
        double probes =
                Math.ceil((double) size.endpoints() / size.daemons()) * ControlNode.POLL_BYTES;
        for (int index = 0; index < before.length; index++) {
            double rate = (controlBytes(nodes.get(index)) - before[index]) / seconds + probes;
            sum += rate;
            if (rate > maximum) {
                maximum = rate;
                largest = nodes.get(index);
            }
        }
        long nanos = nodes.stream().mapToLong(ControlNode::stepNanos).sum() - nanosBefore;
        long admission =
                nodes.stream().mapToLong(node -> node.network().admissionBytes()).sum()
                        - admissionBefore;
        return new Measurement(
                size,
                sum / before.length,
                maximum,
                admission / seconds / before.length,
                nanos / SECOND_NANOS / seconds / before.length,
                largest.listBytes(),
                largest.network().bytesByKind());
    }

    /**
     * Returns the bytes of an instance's control.
     *
     * @param node The instance.
     * @return The bytes of messages in both directions and of lists that were read.
     */
    private static long controlBytes(ControlNode node) {
        return node.network().controlBytes() + node.listBytes();
    }

    /**
     * Lets each instance admit requests from a time on.
     *
     * @param fleet The fleet.
     * @param startMillis The time in milliseconds.
     */
    private static void startRequests(ControlFleet fleet, long startMillis) {
        for (int number = 0; number < fleet.nodes().size(); number++) {
            int index = number;
            long first = startMillis + fleet.random().nextLong(REQUEST_INTERVAL_MILLIS);
            long[] count = new long[1];
            fleet.scheduler()
                    .scheduleRepeating(
                            first,
                            REQUEST_INTERVAL_MILLIS,
                            () -> admitRequest(fleet, index, count[0]++));
        }
    }

    /**
     * Admits a request and completes it later.
     *
     * @param fleet The fleet.
     * @param index The instance's number.
     * @param count The request's number at this instance.
     */
    private static void admitRequest(ControlFleet fleet, int index, long count) {
        ControlNode node = fleet.nodes().get(index);
        long nowMillis = fleet.scheduler().nowMillis();
        WorkRequest request =
                new WorkRequest(
                        node.identity().name() + "-" + count,
                        new ChatKey("workspace-1", "chat-" + index + "-" + count),
                        "engines",
                        TOKENS,
                        TOKENS,
                        nowMillis + DEADLINE_MILLIS,
                        Optional.empty(),
                        Set.of());
        node.dispatcher()
                .admit(request, nowMillis)
                .thenAccept(admission -> complete(fleet, node, admission));
    }

    /**
     * Completes an admitted request after its work.
     *
     * @param fleet The fleet.
     * @param node The instance.
     * @param admission The admission.
     */
    private static void complete(ControlFleet fleet, ControlNode node, Admission admission) {
        fleet.scheduler()
                .scheduleAfter(
                        REQUEST_DURATION_MILLIS,
                        () ->
                                node.dispatcher()
                                        .complete(
                                                admission,
                                                new WorkOutcome(WorkOutcome.Result.DONE, null),
                                                fleet.scheduler().nowMillis()));
    }

    /**
     * Holds a size of the system.
     *
     * @param daemons The daemons.
     * @param zones The availability zones.
     * @param endpoints The endpoints.
     * @param workspaces The workspaces.
     * @param isCurrentScale {@code true} if this is a size of today.
     */
    private record FleetSize(
            int daemons, int zones, int endpoints, int workspaces, boolean isCurrentScale) {}

    /**
     * Holds what was measured at a size.
     *
     * @param size The size.
     * @param meanBytesPerSecond The mean bytes of a second over instances.
     * @param maximumBytesPerSecond The bytes of a second of the instance that has most.
     * @param admissionBytesPerSecond The mean bytes of a second by which requests were admitted.
     * @param coreShare The mean part of a core that steps take.
     * @param largestListBytes The bytes of lists of the instance that has most, from its start on.
     * @param largestBytesByKind The bytes of messages of that instance by kind, from its start on.
     */
    private record Measurement(
            FleetSize size,
            double meanBytesPerSecond,
            double maximumBytesPerSecond,
            double admissionBytesPerSecond,
            double coreShare,
            long largestListBytes,
            Map<PeerMessageKind, Long> largestBytesByKind) {

        /**
         * Writes this point.
         *
         * @param node Receives the figures.
         */
        private void writeTo(ObjectNode node) {
            node.put("daemons", size.daemons()).put("endpoints", size.endpoints());
            node.put("meanBytesPerSecond", meanBytesPerSecond);
            node.put("maxBytesPerSecond", maximumBytesPerSecond);
            node.put("admissionBytesPerSecond", admissionBytesPerSecond);
            node.put("coreShare", coreShare);
            ObjectNode largest = node.putObject("largestNodeBytesSinceStart");
            largest.put("lists", largestListBytes);
            new TreeMap<>(largestBytesByKind)
                    .forEach((kind, bytes) -> largest.put(kind.name(), bytes));
        }
    }
}
