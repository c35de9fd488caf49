package io.chicorytrestle.core.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.lessThan;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.ToDoubleFunction;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Lets many instances choose in turns, each with news of its own age, and compares how evenly their
 * choices load endpoints whose speed changes.
 */
class EvenLoadTest {

    private static final int SLOTS = 24;

    private static final int DURATION_MILLIS = 1_000;

    private static final List<ServingEndpoint> ENDPOINTS =
            IntStream.range(0, 24)
                    .mapToObj(
                            index ->
                                    new ServingEndpoint(
                                            "e" + index,
                                            Endpoints.SERVICE,
                                            "10.0.0." + index + ":80",
                                            "z" + index % 3,
                                            SLOTS,
                                            false,
                                            1))
                    .toList();

    private final Random random = new Random(7);

    private final List<Instance> instances = new ArrayList<>();

    private final PriorityQueue<Work> running =
            new PriorityQueue<>(Comparator.comparingDouble(Work::endMillis));

    private final int[] loads = new int[ENDPOINTS.size()];

    private final double[] slowness = new double[ENDPOINTS.size()];

    /** Plays news that are sent every 0.2 to 4 s, a tenth of them lost, at a steady demand. */
    @ParameterizedTest
    @ValueSource(ints = {35, 131, 390})
    void testPickWhenNewsOfManyInstancesIsOld(int count) {
        Spread even = new EvenLoadTest().play(count, Choice.PICKER);
        Spread leastLoaded = new EvenLoadTest().play(count, Choice.LEAST_LOADED);
        Spread twoChoices = new EvenLoadTest().play(count, Choice.TWO_CHOICES);
        Spread allKnowing = new EvenLoadTest().play(count, Choice.ALL_KNOWING);

        assertThat(even.overrunShare(), lessThan(leastLoaded.overrunShare() / 2));
        assertThat(even.maximumOverMean(), lessThan(leastLoaded.maximumOverMean()));
        assertThat(even.maximumOverMean(), closeTo(twoChoices.maximumOverMean(), 0.1));
        assertThat(allKnowing.maximumOverMean(), lessThan(even.maximumOverMean()));
    }

    private Spread play(int count, Choice choice) {
        for (int index = 0; index < count; index++) {
            instances.add(new Instance(index, count - 1, random));
        }
        double ratioSum = 0;
        int overrunTurns = 0;
        int turns = 0;
        for (long nowMillis = 0; nowMillis < 11_000; nowMillis += 5) {
            step(choice, nowMillis);
            if (nowMillis >= 3_000) {
                double mean = IntStream.of(loads).average().orElseThrow();
                int maximum = IntStream.of(loads).max().orElseThrow();
                turns++;
                ratioSum += maximum / mean;
                if (maximum > 1.5 * mean && IntStream.of(loads).min().orElseThrow() < mean / 2) {
                    overrunTurns++;
                }
            }
        }
        return new Spread(ratioSum / turns, (double) overrunTurns / turns);
    }

    private void step(Choice choice, long nowMillis) {
        if (nowMillis % 600 == 0) {
            for (int index = 0; index < slowness.length; index++) {
                slowness[index] = random.nextInt(7) == 0 ? 2.5 : 1;
            }
        }
        while (!running.isEmpty() && running.peek().endMillis() <= nowMillis) {
            Work work = running.poll();
            String incarnation = ENDPOINTS.get(work.endpoint()).incarnation();
            loads[work.endpoint()]--;
            work.instance().tracker.recordEnd(incarnation);
            work.instance()
                    .tracker
                    .recordDuration(Endpoints.SERVICE, nowMillis - work.startMillis());
        }
        for (Instance sender : instances) {
            if (choice != Choice.ALL_KNOWING && nowMillis >= sender.nextHeartbeatMillis) {
                sender.nextHeartbeatMillis += sender.intervalMillis;
                Map<String, Integer> counts = sender.tracker.ownCounts();
                for (Instance receiver : instances) {
                    if (receiver != sender && random.nextInt(10) > 0) {
                        receiver.tracker.recordPeerCounts(sender.name, counts, nowMillis);
                    }
                }
            }
        }
        for (int request = 0; request < 3; request++) {
            if (random.nextInt(2) == 0) {
                start(choice, instances.get(random.nextInt(instances.size())), nowMillis);
            }
        }
    }

    private void start(Choice choice, Instance instance, long nowMillis) {
        ServingEndpoint chosen =
                switch (choice) {
                    case PICKER -> instance.pick(nowMillis);
                    case LEAST_LOADED ->
                            least(ENDPOINTS, endpoint -> instance.load(endpoint, nowMillis));
                    case TWO_CHOICES ->
                            least(
                                    random.ints(2, 0, ENDPOINTS.size())
                                            .mapToObj(ENDPOINTS::get)
                                            .toList(),
                                    endpoint -> instance.load(endpoint, nowMillis));
                    case ALL_KNOWING ->
                            least(ENDPOINTS, endpoint -> loads[ENDPOINTS.indexOf(endpoint)]);
                };
        int index = ENDPOINTS.indexOf(chosen);
        double overload = Math.max(1, (loads[index] + 1.0) / SLOTS);
        double durationMillis =
                DURATION_MILLIS * slowness[index] * overload * (0.5 + random.nextDouble());
        loads[index]++;
        instance.tracker.recordStart(chosen.incarnation());
        running.add(new Work(instance, index, nowMillis, nowMillis + durationMillis));
    }

    private static ServingEndpoint least(
            List<ServingEndpoint> endpoints, ToDoubleFunction<ServingEndpoint> load) {
        return endpoints.stream().min(Comparator.comparingDouble(load)).orElseThrow();
    }

    private enum Choice {
        PICKER,
        LEAST_LOADED,
        TWO_CHOICES,
        ALL_KNOWING
    }

    private record Spread(double maximumOverMean, double overrunShare) {}

    private record Work(Instance instance, int endpoint, long startMillis, double endMillis) {}

    private static final class Instance {

        private final LoadTracker tracker = new LoadTracker();

        private final String name;

        private final String zone;

        private final EndpointPicker picker;

        private final long intervalMillis;

        private long nextHeartbeatMillis;

        private Instance(int index, int peers, Random random) {
            name = "i" + index;
            zone = "z" + index % 3;
            tracker.setExpectedPeers(peers);
            intervalMillis = Math.round(200 * Math.pow(20, random.nextDouble()));
            nextHeartbeatMillis = random.nextLong(intervalMillis);
            picker =
                    new EndpointPicker(
                            new PlacementSettings(zone, 1.6, 2, index),
                            tracker,
                            new EndpointHealth(),
                            new OutcomeTracker(),
                            new ZoneReachability(zone),
                            new PromptPartTracker(),
                            new EndpointBackoffs());
        }

        private ServingEndpoint pick(long nowMillis) {
            return picker.pick(
                            Endpoints.view(ENDPOINTS.toArray(ServingEndpoint[]::new)),
                            Endpoints.SERVICE,
                            Optional.empty(),
                            endpoint -> true,
                            nowMillis)
                    .orElseThrow()
                    .endpoint();
        }

        private double load(ServingEndpoint endpoint, long nowMillis) {
            double load = (double) tracker.estimate(endpoint.incarnation(), nowMillis) / SLOTS;
            return endpoint.zone().equals(zone) ? load - 0.34 : load;
        }
    }
}
