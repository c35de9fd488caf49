package io.chicorytrestle.core.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Guards the inference of a stream's version from what the store still knows of the listing. */
class VersionHistoryTest {

    private static final long START_EPOCH_MILLIS = 1_000_000;

    private static final long COVERED_MILLIS = 20_000;

    private static final ServingEndpoint OLD = endpoint("1", 1, "v1");

    private static final ServingEndpoint NEW = endpoint("2", 1, "v2");

    private final ServiceVersions versions = new ServiceVersions();

    private VersionHistory history = new VersionHistory(START_EPOCH_MILLIS, false);

    private long nowMillis = 100_000;

    @Test
    void testSoleVersionWhenNothingChanged() {
        versions.recordListed(OLD, nowMillis);
        assertThat(versions.isHistoryOfUse(nowMillis), equalTo(true));
        assertThat(soleVersion(), equalTo(Optional.empty()));

        recordHistory();

        assertThat(versions.isHistoryOfUse(nowMillis), equalTo(false));
        assertThat(soleVersion(), equalTo(Optional.of("v1")));
    }

    @Test
    void testSoleVersionWhenAnEndpointOfAnotherVersionWasRemoved() {
        versions.recordListed(NEW, nowMillis);
        history.recordWritten(OLD.asLeaving(), false);
        history.recordChanged(OLD.id(), false);
        recordHistory();
        assertThat(soleVersion(), equalTo(Optional.empty()));

        passTime(29_500);
        assertThat(soleVersion(), equalTo(Optional.empty()));
        passTime(1_000);
        assertThat(soleVersion(), equalTo(Optional.of("v2")));
    }

    /** Its service is unknown as well, so that no service has a sole version. */
    @Test
    void testSoleVersionWhenAnUnknownEndpointWasRemoved() {
        versions.recordListed(NEW, nowMillis);
        history.recordChanged(OLD.id(), false);
        recordHistory();
        assertThat(soleVersion(), equalTo(Optional.empty()));

        passTime(29_500);
        assertThat(soleVersion(), equalTo(Optional.empty()));
        passTime(1_000);
        assertThat(soleVersion(), equalTo(Optional.of("v2")));
    }

    @Test
    void testSoleVersionWhenAnEndpointWasAddedAndRemoved() {
        versions.recordListed(NEW, nowMillis);
        history.recordWritten(endpoint("3", START_EPOCH_MILLIS + 1, "v2"), true);
        history.recordChanged("3", false);
        recordHistory();

        assertThat(soleVersion(), equalTo(Optional.of("v2")));
    }

    @Test
    void testSoleVersionWhenTheEntryThatWasReplacedIsUnknown() {
        ServingEndpoint restarted = endpoint("2", START_EPOCH_MILLIS + 1, "v2");
        versions.recordListed(restarted, nowMillis);
        history.recordWritten(restarted, false);
        recordHistory();

        assertThat(soleVersion(), equalTo(Optional.empty()));
    }

    @Test
    void testSoleVersionWhenTheStartOfAReplacedEndpointIsUnknownOrRecent() {
        for (long startMillis : new long[] {0, START_EPOCH_MILLIS - 4_999}) {
            history = new VersionHistory(START_EPOCH_MILLIS, false);
            history.recordWritten(endpoint("2", startMillis, "v2"), false);
            assertThat(history.hasUnknown(), equalTo(true));
        }
    }

    /** An entry that lapsed and came back shows what it was before. */
    @Test
    void testSoleVersionWhenAnEntryCameBack() {
        versions.recordListed(NEW, nowMillis);
        history.recordChanged(NEW.id(), false);
        history.recordWritten(NEW, true);
        recordHistory();

        assertThat(soleVersion(), equalTo(Optional.of("v2")));
    }

    @Test
    void testSoleVersionWhenAnEntryWithoutAVersionWasListed() {
        versions.recordListed(NEW, nowMillis);
        history.recordWritten(endpoint("3", 1, ""), true);
        recordHistory();

        assertThat(soleVersion(), equalTo(Optional.empty()));
    }

    @Test
    void testSoleVersionWhenTheHistoryReachesToTheBeginning() {
        history = new VersionHistory(START_EPOCH_MILLIS, true);
        versions.recordListed(NEW, nowMillis);
        history.recordWritten(endpoint("2", START_EPOCH_MILLIS + 1, "v2"), false);
        recordHistory();

        assertThat(soleVersion(), equalTo(Optional.of("v2")));
    }

    @Test
    void testSoleVersionWhenTheHistoryIsShorterThanAStream() {
        versions.recordListed(NEW, nowMillis);
        versions.recordHistory(history, COVERED_MILLIS - 1, nowMillis);

        assertThat(soleVersion(), equalTo(Optional.empty()));
    }

    /** An endpoint that started within the period must have been written in it. */
    @Test
    void testSoleVersionWhenTheStoreDiscardedChangesSooner() {
        ServingEndpoint started = endpoint("2", START_EPOCH_MILLIS + 5_000, "v2");
        versions.recordListed(started, nowMillis);
        history.recordListed(List.of(started));
        recordHistory();
        assertThat(soleVersion(), equalTo(Optional.empty()));
        assertThat(versions.isHistoryOfUse(nowMillis), equalTo(true));

        history = new VersionHistory(START_EPOCH_MILLIS, false);
        history.recordWritten(started, true);
        history.recordListed(List.of(started, endpoint("3", START_EPOCH_MILLIS + 4_999, "v2")));
        recordHistory();
        assertThat(soleVersion(), equalTo(Optional.of("v2")));
    }

    @Test
    void testSoleVersionWhenTheListingWasNotObservedAfterTheHistory() {
        versions.recordListed(NEW, nowMillis);
        recordHistory();
        nowMillis += 3_000;
        versions.recordContact(nowMillis);
        versions.recordListed(NEW, nowMillis);

        assertThat(soleVersion(), equalTo(Optional.empty()));
        assertThat(versions.isHistoryOfUse(nowMillis), equalTo(true));
    }

    /** A store that came back from a copy lacks changes. */
    @Test
    void testSoleVersionWhenTheStoreWasRestored() {
        versions.recordEra(1, nowMillis);
        versions.recordEra(2, nowMillis);
        versions.recordListed(NEW, nowMillis);
        recordHistory();
        assertThat(soleVersion(), equalTo(Optional.empty()));
        assertThat(versions.isHistoryOfUse(nowMillis), equalTo(false));

        nowMillis += 30_001;
        versions.recordListed(NEW, nowMillis);
        recordHistory();
        assertThat(soleVersion(), equalTo(Optional.of("v2")));
    }

    private static ServingEndpoint endpoint(String id, long startMillis, String version) {
        return new ServingEndpoint(
                id,
                Endpoints.SERVICE,
                "10.0.0." + id + ":80",
                "a",
                64,
                false,
                startMillis,
                version);
    }

    private void recordHistory() {
        versions.recordHistory(history, COVERED_MILLIS, nowMillis);
    }

    private void passTime(long durationMillis) {
        for (long endMillis = nowMillis + durationMillis; nowMillis < endMillis; ) {
            nowMillis += 500;
            versions.recordContact(nowMillis);
            versions.recordListed(NEW, nowMillis);
            versions.removeExpired(nowMillis);
        }
    }

    private Optional<String> soleVersion() {
        return versions.soleVersion(Endpoints.SERVICE, nowMillis);
    }
}
