package io.chicorytrestle.core.poison;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class CrashTrackerTest {

    private final CrashTracker tracker = new CrashTracker();

    @Test
    void testQuarantineWhenThreeEndpointsCrashed() {
        tracker.recordCrash("request", "e1", 0);
        tracker.recordCrash("request", "e2", 10);
        assertThat(tracker.isQuarantined("request", 20), is(false));
        tracker.recordCrash("request", "e3", 20);
        assertThat(tracker.isQuarantined("request", 30), is(true));
    }

    @Test
    void testQuarantineWhenOneEndpointBreaksRepeatedly() {
        tracker.recordCrash("request", "e1", 0);
        tracker.recordCrash("request", "e1", 10);
        tracker.recordCrash("request", "e1", 20);
        assertThat(tracker.isQuarantined("request", 30), is(false));
    }

    @Test
    void testQuarantineWhenRequestCompletedBetweenCrashes() {
        tracker.recordCrash("request", "e1", 0);
        tracker.recordCrash("request", "e2", 10);
        tracker.recordCompletion("request", 20);
        tracker.recordCrash("request", "e3", 30);
        assertThat(tracker.isQuarantined("request", 40), is(false));
    }

    @Test
    void testQuarantineWhenItEndedAndTheNextRunCrashesToo() {
        quarantine(0);
        assertThat(tracker.isQuarantined("request", 60_002), is(false));
        tracker.recordCrash("request", "e4", 60_003);
        assertThat(tracker.isQuarantined("request", 60_003 + 119_000), is(true));
        assertThat(tracker.isQuarantined("request", 60_003 + 120_000), is(false));
    }

    @Test
    void testQuarantineWhenCrashesAreReportedByDifferentInstances() {
        tracker.recordNotice(new CrashNotice("request", List.of("e1")), 0);
        tracker.recordNotice(new CrashNotice("request", List.of("e2", "e1")), 0);
        tracker.recordNotice(new CrashNotice("request", List.of("e3")), 0);
        assertThat(tracker.isQuarantined("request", 1), is(true));
    }

    @Test
    void testQuarantineWhenOldNoticeFollowsCompletionNotice() {
        tracker.recordCrash("request", "e1", 0);
        tracker.recordNotice(new CrashNotice("request", List.of()), 10);
        tracker.recordNotice(new CrashNotice("request", List.of("e1", "e2", "e3")), 20);
        assertThat(tracker.isQuarantined("request", 30), is(false));
    }

    /** Guards against a completion that clears crashes which happened after it. */
    @Test
    void testQuarantineWhenCompletionNoticeArrivesAfterLaterCrashes() {
        CrashTracker other = new CrashTracker();
        other.recordCrash("request", "e0", 0);
        other.recordCompletion("request", 10);
        List<CrashNotice> late = other.recentNotices(20);

        tracker.recordCrash("request", "e0", 0);
        quarantine(1_000);
        late.forEach(notice -> tracker.recordNotice(notice, 1_010));
        assertThat(tracker.isQuarantined("request", 1_020), is(true));
    }

    /** Guards against crashes that are ignored because the request completed shortly before. */
    @Test
    void testQuarantineWhenOthersReportCrashesSoonAfterCompletion() {
        CrashTracker other = new CrashTracker();
        tracker.recordCrash("request", "e0", 0);
        tracker.recordCompletion("request", 10);
        for (int index = 1; index <= 3; index++) {
            other.recordCrash("request", "e" + index, 100 + index);
        }
        for (long nowMillis = 200; nowMillis <= 3_000; nowMillis += 400) {
            for (CrashNotice notice : other.recentNotices(nowMillis)) {
                tracker.recordNotice(notice, nowMillis);
            }
        }
        assertThat(tracker.isQuarantined("request", 3_000), is(true));
    }

    @Test
    void testQuarantineWhenNoticeOfCrashesBeforeCompletionArrivesAfterIt() {
        CrashTracker other = new CrashTracker();
        for (int index = 1; index <= 3; index++) {
            other.recordCrash("request", "e" + index, index);
        }
        List<CrashNotice> late = other.recentNotices(20);
        tracker.recordCrash("request", "e0", 0);
        tracker.recordCompletion("request", 30);

        late.forEach(notice -> tracker.recordNotice(notice, 40));
        late.forEach(notice -> tracker.recordNotice(notice, 9_000));
        assertThat(tracker.isQuarantined("request", 9_010), is(false));
    }

    @Test
    void testRecordsWhenInstanceStartsDuringQuarantine() {
        quarantine(0);
        CrashTracker started = new CrashTracker();
        tracker.records(50_000).forEach(record -> started.recordKnown(record, 50_010));

        assertThat(started.isQuarantined("request", 50_020), is(true));
        assertThat(started.isQuarantined("request", 60_010), is(false));
        assertThat(started.recentNotices(50_020), hasSize(0));
    }

    @Test
    void testRecordsWhenMoreRequestsAreRecordedThanFit() {
        for (int index = 0; index < 1_000; index++) {
            tracker.recordCrash("harmless " + index, "e1", 0);
        }
        quarantine(0);

        List<CrashNotice> records = tracker.records(10_000);
        assertThat(records, hasSize(32));
        assertThat(records.get(0).fingerprint(), equalTo("request"));
    }

    @Test
    void testRecentNoticesWhenManyRequestsWereInFlight() {
        for (int index = 0; index < 100; index++) {
            tracker.recordCrash("harmless " + index, "e1", 0);
        }
        quarantine(0);
        List<CrashNotice> notices = tracker.recentNotices(100);
        assertThat(notices, hasSize(8));
        assertThat(notices.get(0).fingerprint(), equalTo("request"));
        assertThat(tracker.recentNotices(10_000), hasSize(0));
    }

    @Test
    void testRemoveExpiredWhenOld() {
        quarantine(0);
        tracker.removeExpired(601_000);
        assertThat(tracker.isEmpty(), is(true));
    }

    /**
     * Guards against a caller that crashes many endpoints before the request is quarantined: it
     * retries the request twice a second, at one instance after the other.
     */
    @Test
    void testExecutionsWhenCallerRetriesAtEachInstance() {
        List<CrashTracker> fleet = new ArrayList<>();
        for (int index = 0; index < 20; index++) {
            fleet.add(new CrashTracker());
        }
        int crashes = 0;
        for (int nowMillis = 0; nowMillis < 40_000; nowMillis += 500) {
            CrashTracker calledInstance = fleet.get(nowMillis / 500 % fleet.size());
            if (!calledInstance.isQuarantined("request", nowMillis)) {
                calledInstance.recordCrash("request", "e" + crashes, nowMillis);
                crashes++;
            }
            for (CrashNotice notice : calledInstance.recentNotices(nowMillis)) {
                for (CrashTracker otherInstance : fleet) {
                    otherInstance.recordNotice(notice, nowMillis);
                }
            }
        }
        assertThat(crashes, lessThanOrEqualTo(3));
    }

    private void quarantine(long nowMillis) {
        tracker.recordCrash("request", "e1", nowMillis);
        tracker.recordCrash("request", "e2", nowMillis);
        tracker.recordCrash("request", "e3", nowMillis);
    }
}
