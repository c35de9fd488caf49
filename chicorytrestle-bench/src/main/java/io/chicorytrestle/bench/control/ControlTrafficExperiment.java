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

/**
 * Measures the bytes and the processor time that the control plane costs each entry instance, for
 * fleets of growing sizes.
 */
public final class ControlTrafficExperiment implements Experiment {

    /** The fleet sizes to measure, in ascending order. */
    private static final List<FleetSize> SIZES =
            List.of(
                    new FleetSize(13, 3, 9, 10, true),
                    new FleetSize(20, 3, 9, 10, true),
                    new FleetSize(60, 3, 369, 230, false),
                    new FleetSize(120, 4, 738, 230, false));

    /** The number of entry instances to which the costs are extrapolated. */
    private static final int TARGET_DAEMONS = 390;

    /** The time before the measurement in which the fleet starts up, in milliseconds. */
    private static final long WARM_UP_MILLIS = 20_000;

    /** The duration of the measurement in milliseconds. */
    private static final long MEASUREMENT_MILLIS = 60_000;

    /**
     * The interval between changes of the table in milliseconds, which gives 7,000 changes a day.
     */
    private static final long TABLE_CHANGE_INTERVAL_MILLIS = 12_343;

    /** The interval between restarts of endpoints in milliseconds. */
    private static final long RESTART_INTERVAL_MILLIS = 30_000;

    /** The interval between requests at an entry instance in milliseconds. */
    private static final long REQUEST_INTERVAL_MILLIS = 1_000;

    /** The duration of an admitted request in milliseconds. */
    private static final long REQUEST_DURATION_MILLIS = 4_000;

    /** How long a request may wait for its admission, in milliseconds. */
    private static final long DEADLINE_MILLIS = 2_000;

    /** The number of tokens of a prompt, and the maximum number of tokens of a response. */
    private static final int TOKENS = 500;

    /** The maximum number of bytes per second that control may cost an instance. */
    private static final double MAXIMUM_BYTES_PER_SECOND = 5_000;

    /** The maximum share of a processor core that control may cost an instance. */
    private static final double MAXIMUM_CORE_SHARE = 0.025;

    /** The number of milliseconds in a second. */
    private static final double SECOND_MILLIS = 1_000;

    /** The number of nanoseconds in a second. */
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
        List<Measurement> measurements = new ArrayList<>();
        for (FleetSize size : SIZES) {
            Measurement measurement = measure(size, options.seed());
            measurement.writeTo(array.addObject());
            measurements.add(measurement);
        }
        double currentBytes =
                measurements.stream()
                        .filter(measurement -> measurement.size().isCurrentScale())
                        .mapToDouble(Measurement::maximumBytesPerSecond)
                        .max()
                        .orElse(0);
        double targetBytes = extrapolate(measurements);
        double maximumCoreShare =
                measurements.stream().mapToDouble(Measurement::coreShare).max().orElse(0);
        figures.put("maxBytesPerSecondPerNode", currentBytes);
        figures.put("targetBytesPerSecondPerNode", targetBytes);
        figures.put("coreShare", maximumCoreShare);
        boolean met =
                currentBytes <= MAXIMUM_BYTES_PER_SECOND
                        && targetBytes <= MAXIMUM_BYTES_PER_SECOND
                        && maximumCoreShare <= MAXIMUM_CORE_SHARE;
        return new Report(figures, met);
    }

    /**
     * Extrapolates the maximum cost to the target size, by the slope between the two largest sizes.
     * A negative slope counts as zero.
     *
     * @param measurements The measurements, in ascending order of size.
     * @return The estimated number of bytes per second.
     */
    private static double extrapolate(List<Measurement> measurements) {
        Measurement small = measurements.get(measurements.size() - 2);
        Measurement large = measurements.get(measurements.size() - 1);
        double slope =
                (large.maximumBytesPerSecond() - small.maximumBytesPerSecond())
                        / (large.size().daemons() - small.size().daemons());
        return large.maximumBytesPerSecond()
                + Math.max(0, slope) * (TARGET_DAEMONS - large.size().daemons());
    }

    /**
     * Measures the costs of one fleet size. The estimated size of the polls of endpoint loads is
     * added, because they are not simulated.
     *
     * @param size The fleet size.
     * @param seed The seed of all random choices.
     * @return The measured costs.
     */
    private static Measurement measure(FleetSize size, long seed) {
        ControlFleet fleet =
                new ControlFleet(size.daemons(), size.zones(), size.workspaces(), seed);
        List<MemberDescription> endpoints = fleet.addEndpoints(size.endpoints());
        long startMillis = ControlFleet.START_MILLIS + WARM_UP_MILLIS;
        startRequests(fleet, startMillis);
        fleet.scheduler().runUntil(startMillis);
        List<ControlNode> nodes = List.copyOf(fleet.nodes());
        long[] before = nodes.stream().mapToLong(ControlTrafficExperiment::controlBytes).toArray();
        long stepNanosBefore = nodes.stream().mapToLong(ControlNode::stepNanos).sum();
        long admissionBefore =
                nodes.stream().mapToLong(node -> node.network().admissionBytes()).sum();
        fleet.scheduler()
                .every(startMillis, TABLE_CHANGE_INTERVAL_MILLIS, () -> fleet.platform().publish());
        fleet.scheduler()
                .every(
                        startMillis,
                        RESTART_INTERVAL_MILLIS,
                        () ->
                                fleet.restartEndpoint(
                                        endpoints.get(fleet.random().nextInt(endpoints.size()))));
        fleet.scheduler().runUntil(startMillis + MEASUREMENT_MILLIS);
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
        long stepNanos = nodes.stream().mapToLong(ControlNode::stepNanos).sum() - stepNanosBefore;
        long admissionBytes =
                nodes.stream().mapToLong(node -> node.network().admissionBytes()).sum()
                        - admissionBefore;
        return new Measurement(
                size,
                sum / before.length,
                maximum,
                admissionBytes / seconds / before.length,
                stepNanos / SECOND_NANOS / seconds / before.length,
                largest.listBytes(),
                largest.network().bytesByKind());
    }

    /**
     * Returns the number of bytes that control has cost an instance since its start.
     *
     * @param node The instance.
     * @return The number of bytes of control messages in both directions and of list reads.
     */
    private static long controlBytes(ControlNode node) {
        return node.network().controlBytes() + node.listBytes();
    }

    /**
     * Schedules requests at a fixed interval for each instance.
     *
     * @param fleet The fleet.
     * @param startMillis The virtual time of the start in milliseconds.
     */
    private static void startRequests(ControlFleet fleet, long startMillis) {
        for (int number = 0; number < fleet.nodes().size(); number++) {
            int index = number;
            long firstMillis = startMillis + fleet.random().nextLong(REQUEST_INTERVAL_MILLIS);
            long[] count = new long[1];
            fleet.scheduler()
                    .every(
                            firstMillis,
                            REQUEST_INTERVAL_MILLIS,
                            () -> admitRequest(fleet, index, count[0]++));
        }
    }

    /**
     * Admits a request at an instance, and completes it later if it was admitted.
     *
     * @param fleet The fleet.
     * @param index The number of the instance.
     * @param count The number of the request at this instance, which makes its identifier and its
     *     chat unique.
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
     * Completes an admitted request after its duration.
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
     * Describes the size of a simulated fleet.
     *
     * @param daemons The number of entry instances.
     * @param zones The number of availability zones.
     * @param endpoints The number of endpoints.
     * @param workspaces The number of workspaces in the table.
     * @param isCurrentScale {@code true} if deployed fleets have this size, so that the limits
     *     apply to the measured values directly.
     */
    private record FleetSize(
            int daemons, int zones, int endpoints, int workspaces, boolean isCurrentScale) {}

    /**
     * Holds the costs measured for one fleet size.
     *
     * @param size The fleet size.
     * @param meanBytesPerSecond The mean number of bytes per second over all instances.
     * @param maximumBytesPerSecond The number of bytes per second of the instance with the highest
     *     cost.
     * @param admissionBytesPerSecond The mean number of bytes per second of admission messages,
     *     which don't count as control.
     * @param coreShare The mean share of a processor core that controller steps take.
     * @param largestListBytes The number of bytes of list reads of the instance with the highest
     *     cost, since its start.
     * @param largestBytesByKind The number of bytes of that instance by kind of message, since its
     *     start.
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
         * Writes this measurement as JSON.
         *
         * @param node The object to write to.
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
