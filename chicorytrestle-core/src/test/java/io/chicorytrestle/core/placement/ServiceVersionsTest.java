package io.chicorytrestle.core.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Guards the inference of a stream's version from the listing. */
class ServiceVersionsTest {

    private static final long STEP_MILLIS = 500;

    private static final ServingEndpoint OLD = Endpoints.ready("1", "a").withVersion("v1");

    private static final ServingEndpoint NEW = Endpoints.ready("2", "a").withVersion("v2");

    private static final ServingEndpoint UNKNOWN = Endpoints.ready("3", "a");

    private final ServiceVersions versions = new ServiceVersions();

    private long nowMillis;

    @Test
    void testSoleVersionWhenOneVersionIsListed() {
        observe(29_500, OLD);
        assertThat(soleVersion(), equalTo(Optional.empty()));

        observe(1_000, OLD);
        assertThat(soleVersion(), equalTo(Optional.of("v1")));
        assertThat(versions.soleVersion("other", nowMillis), equalTo(Optional.empty()));
    }

    @Test
    void testSoleVersionWhenAnotherVersionHasJustLeft() {
        observe(40_000, OLD);
        observe(1_000, OLD, NEW);
        assertThat(soleVersion(), equalTo(Optional.empty()));

        observe(29_500, NEW);
        assertThat(soleVersion(), equalTo(Optional.empty()));
        observe(1_000, NEW);
        assertThat(soleVersion(), equalTo(Optional.of("v2")));
    }

    @Test
    void testSoleVersionWhenTheVersionOfAnEndpointIsUnknown() {
        observe(40_000, OLD, UNKNOWN);
        assertThat(soleVersion(), equalTo(Optional.empty()));

        observe(31_000, UNKNOWN);
        assertThat(soleVersion(), equalTo(Optional.empty()));
    }

    @Test
    void testSoleVersionWhenTheListingWasNotObservedForAWhile() {
        observe(40_000, OLD);
        nowMillis += 3_000;
        versions.recordListed(List.of(OLD), nowMillis);
        assertThat(soleVersion(), equalTo(Optional.empty()));

        observe(29_500, OLD);
        assertThat(soleVersion(), equalTo(Optional.empty()));
        observe(1_000, OLD);
        assertThat(soleVersion(), equalTo(Optional.of("v1")));
    }

    @Test
    void testCompleteWhenAnotherInstanceOmitsTheVersion() {
        ServingEndpoint restarted =
                new ServingEndpoint("1", Endpoints.SERVICE, OLD.address(), "a", 64, false, 99);
        ServingEndpoint timeless =
                new ServingEndpoint("4", Endpoints.SERVICE, "10.0.0.4:80", "a", 64, false, 0);
        observe(1_000, OLD, timeless.withVersion("v1"));

        assertThat(
                versions.complete(
                        List.of(
                                OLD.withVersion("").asLeaving(),
                                OLD.withVersion("v3"),
                                restarted,
                                timeless)),
                equalTo(List.of(OLD.asLeaving(), OLD.withVersion("v3"), restarted, timeless)));
    }

    private Optional<String> soleVersion() {
        return versions.soleVersion(Endpoints.SERVICE, nowMillis);
    }

    /** Lets time pass while some endpoints are listed. */
    private void observe(long durationMillis, ServingEndpoint... listed) {
        for (long passed = 0; passed < durationMillis; passed += STEP_MILLIS) {
            versions.recordContact(nowMillis);
            versions.recordListed(List.of(listed), nowMillis);
            versions.removeExpired(nowMillis);
            nowMillis += STEP_MILLIS;
        }
    }
}
