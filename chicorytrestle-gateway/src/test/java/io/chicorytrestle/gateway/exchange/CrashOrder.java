package io.chicorytrestle.gateway.exchange;

import io.chicorytrestle.core.poison.CrashNotice;
import io.chicorytrestle.core.poison.CrashTracker;
import io.chicorytrestle.core.poison.PartCrashTracker;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;

/**
 * One random order of events at several instances: a request that crashes each endpoint that runs
 * it, sound requests beside it, endpoints that lose power, failures, restarts of instances, and
 * notices that come late and twice.
 */
final class CrashOrder {

    /** The users' {@code contact_ms}. */
    private static final long CONTACT_MILLIS = 3_000;

    /** The end of an order, before the first quarantine of 60 s ends by itself. */
    private static final long END_MILLIS = 60_000;

    private static final long HEARTBEAT_MILLIS = 400;

    private static final long DOWN_MILLIS = 2_000;

    /** The longest time on the way of a notice that comes in time. */
    private static final int DELAY_MILLIS = 300;

    /** Spreads consecutive seeds, whose first random numbers are much alike otherwise. */
    private static final long SEED_FACTOR = 0x9E3779B97F4A7C15L;

    private static final int ASKED_PEERS = 3;

    private static final int INSTANCE_COUNT = 5;

    private static final int SOUND_CONTENTS = 3;

    private static final int LOGGED_EVENTS = 60;

    private final Random random;

    /** The time from which endpoints crash under the request; they run it well before. */
    private final long crashingFromMillis;

    private final long seed;

    private final List<Instance> instances = new ArrayList<>();

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::millis).thenComparingInt(Event::number));

    private final List<String> log = new ArrayList<>();

    private final List<Long> crashes = new ArrayList<>();

    private final Map<String, List<Long>> soundCrashes = new HashMap<>();

    private final List<String> violations = new ArrayList<>();

    private int eventCount;

    private int endpointCount;

    private boolean hasQuarantined;

    private long nowMillis;

    CrashOrder(long seed) {
        this.seed = seed;
        random = new Random(seed * SEED_FACTOR);
        crashingFromMillis = random.nextBoolean() ? 0 : random.nextInt(20_000);
        for (int index = 0; index < INSTANCE_COUNT; index++) {
            Instance instance = new Instance("g" + index);
            instances.add(instance);
            repeat(HEARTBEAT_MILLIS, HEARTBEAT_MILLIS, () -> sendHeartbeat(instance));
        }
        repeat(300, 1_500, this::sendCrashing);
        repeat(100, 200, this::sendSound);
        repeat(5_000, 20_000, this::losePower);
        repeat(4_000, 12_000, this::restart);
    }

    /** Plays all events up to the end or the first violation. */
    void play() {
        while (violations.isEmpty()) {
            Event event = events.remove();
            nowMillis = event.millis();
            if (nowMillis > END_MILLIS) {
                return;
            }
            event.action().run();
        }
    }

    /** Returns the violated rules with the events that led to them. */
    List<String> violations() {
        return violations;
    }

    /** Returns whether the crashing request was refused. */
    boolean hasQuarantined() {
        return hasQuarantined;
    }

    private void repeat(long minimumMillis, long maximumMillis, Runnable action) {
        schedule(
                minimumMillis + (long) (random.nextDouble() * (maximumMillis - minimumMillis)),
                () -> {
                    action.run();
                    repeat(minimumMillis, maximumMillis, action);
                });
    }

    private void schedule(long delayMillis, Runnable action) {
        events.add(new Event(nowMillis + delayMillis, eventCount++, action));
    }

    private void log(String event) {
        log.add(nowMillis + " ms  " + event);
    }

    private void violate(String rule) {
        log(rule);
        violations.add(
                "seed "
                        + seed
                        + ": "
                        + rule
                        + "\n"
                        + String.join(
                                "\n",
                                log.subList(Math.max(0, log.size() - LOGGED_EVENTS), log.size())));
    }

    private Instance anyUp() {
        Instance instance = instances.get(random.nextInt(INSTANCE_COUNT));
        return instance.isUp() ? instance : anyUp();
    }

    private void sendCrashing() {
        Instance instance = anyUp();
        RequestCrashHistory history = instance.history("bad");
        if (history.isQuarantined(nowMillis)) {
            hasQuarantined = true;
            return;
        }
        boolean isLate = crashes.size() >= 3 && nowMillis > crashes.get(2) + CONTACT_MILLIS;
        if (isLate && instance.isInTouch()) {
            violate("BUDGET: " + instance.name + " sends bad after its third crash was known");
            return;
        }
        if (nowMillis < crashingFromMillis) {
            runBeforeItCrashes(history, instance);
            return;
        }
        if (random.nextInt(4) == 0) {
            log(instance.name + ": bad fails with 500");
            history.recordResponse(false, nowMillis);
        } else {
            crashEndpoint(instance);
        }
    }

    /** Runs the request well, or on an endpoint that crashes for another reason. */
    private void runBeforeItCrashes(RequestCrashHistory history, Instance instance) {
        if (random.nextInt(3) == 0) {
            String endpoint = "e" + endpointCount++;
            log(instance.name + ": " + endpoint + " crashes beside bad");
            history.recordCrash(endpoint, nowMillis);
        } else {
            log(instance.name + ": bad succeeds");
            history.recordResponse(true, nowMillis);
        }
    }

    /** Crashes an endpoint under the crashing request and, often, a sound one beside it. */
    private void crashEndpoint(Instance instance) {
        String endpoint = "e" + endpointCount++;
        log(instance.name + ": bad crashes " + endpoint);
        crashes.add(nowMillis);
        instance.history("bad").recordCrash(endpoint, nowMillis);
        if (random.nextBoolean()) {
            anyUp().recordSoundCrash(anySound(), endpoint);
        }
    }

    private String anySound() {
        return "sound" + random.nextInt(SOUND_CONTENTS);
    }

    private void sendSound() {
        Instance instance = anyUp();
        String content = anySound();
        if (instance.history(content).isQuarantined(nowMillis)) {
            instance.refuseSound(content);
        } else {
            instance.refusedSinceMillis.remove(content);
            respond(instance, content);
        }
    }

    /**
     * Returns whether a sound request must not run on another endpoint that crashes now: three
     * crashes under it without a known success between hold it back, see {@code
     * docs/design/poison.md}.
     */
    private boolean isSpared(String content) {
        List<Long> earlier = soundCrashes.computeIfAbsent(content, ignored -> new ArrayList<>());
        boolean isSpared = earlier.size() >= 2;
        if (!isSpared) {
            earlier.add(nowMillis);
        }
        return isSpared;
    }

    private void respond(Instance instance, String content) {
        boolean isSuccess = random.nextInt(20) > 0;
        instance.history(content).recordResponse(isSuccess, nowMillis);
        if (isSuccess && instance.isInTouch()) {
            soundCrashes
                    .getOrDefault(content, new ArrayList<>())
                    .removeIf(millis -> nowMillis - millis > HEARTBEAT_MILLIS + DELAY_MILLIS);
        }
    }

    /** Two endpoints lose power at once while each runs every sound request. */
    private void losePower() {
        for (int lost = 0; lost < 2; lost++) {
            String endpoint = "e" + endpointCount++;
            for (int index = 0; index < SOUND_CONTENTS; index++) {
                anyUp().recordSoundCrash("sound" + index, endpoint);
            }
        }
    }

    private void sendHeartbeat(Instance sender) {
        if (!sender.isUp()) {
            return;
        }
        List<CrashNotice> notices = sender.tracker.recentNotices(nowMillis);
        for (Instance receiver : instances) {
            if (receiver != sender && !notices.isEmpty()) {
                schedule(random.nextInt(DELAY_MILLIS), () -> receiver.receive(notices));
                if (random.nextInt(20) == 0) {
                    schedule(random.nextInt(20_000), () -> receiver.receive(notices));
                }
            }
        }
    }

    private void restart() {
        Instance instance = anyUp();
        log(instance.name + " restarts");
        instance.tracker = new CrashTracker();
        instance.refusedSinceMillis.clear();
        instance.startMillis = nowMillis + DOWN_MILLIS;
        schedule(
                DOWN_MILLIS + HEARTBEAT_MILLIS,
                () -> {
                    for (int asked = 0; asked < ASKED_PEERS; asked++) {
                        learn(instance);
                    }
                });
    }

    private void learn(Instance instance) {
        Instance peer = anyUp();
        while (peer == instance) {
            peer = anyUp();
        }
        log(instance.name + " learns from " + peer.name);
        List<CrashNotice> records = peer.tracker.records(nowMillis);
        schedule(random.nextInt(DELAY_MILLIS), () -> instance.learn(records));
    }

    /** An event at a point in time. */
    private record Event(long millis, int number, Runnable action) {}

    /** One instance, which forgets everything when it restarts. */
    private final class Instance {

        private final String name;

        private final Map<String, Long> refusedSinceMillis = new HashMap<>();

        private CrashTracker tracker = new CrashTracker();

        private long startMillis;

        private Instance(String name) {
            this.name = name;
        }

        private boolean isUp() {
            return nowMillis >= startMillis;
        }

        private boolean isInTouch() {
            return nowMillis >= startMillis + CONTACT_MILLIS;
        }

        private RequestCrashHistory history(String content) {
            return new RequestCrashHistory(
                    tracker,
                    new PartCrashTracker(),
                    Optional.empty(),
                    Optional.empty(),
                    new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/" + content),
                    new byte[0]);
        }

        private void recordSoundCrash(String content, String endpoint) {
            if (!isSpared(content)) {
                log(name + ": " + endpoint + " crashes beside " + content);
                history(content).recordCrash(endpoint, nowMillis);
            }
        }

        private void refuseSound(String content) {
            log(name + ": refuses " + content);
            long sinceMillis = refusedSinceMillis.computeIfAbsent(content, ignored -> nowMillis);
            if (nowMillis - sinceMillis > CONTACT_MILLIS) {
                violate("LOST: " + name + " has refused " + content + " since " + sinceMillis);
            }
        }

        private void receive(List<CrashNotice> notices) {
            if (isUp()) {
                notices.forEach(notice -> tracker.recordNotice(notice, nowMillis));
            }
        }

        private void learn(List<CrashNotice> records) {
            records.forEach(known -> tracker.recordKnown(known, nowMillis));
        }
    }
}
