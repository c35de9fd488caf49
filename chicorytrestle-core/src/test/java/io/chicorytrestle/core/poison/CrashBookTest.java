package io.chicorytrestle.core.poison;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class CrashBookTest {

    private final CrashBook book = new CrashBook();

    @Test
    void testQuarantineWhenThreeEndpointsCrashed() {
        book.crashed("request", "e1", 0);
        book.crashed("request", "e2", 10);
        assertThat(book.isQuarantined("request", 20), is(false));
        book.crashed("request", "e3", 20);
        assertThat(book.isQuarantined("request", 30), is(true));
    }

    @Test
    void testQuarantineWhenOneEndpointBreaksRepeatedly() {
        book.crashed("request", "e1", 0);
        book.crashed("request", "e1", 10);
        book.crashed("request", "e1", 20);
        assertThat(book.isQuarantined("request", 30), is(false));
    }

    @Test
    void testQuarantineWhenRequestRanWholeBetweenCrashes() {
        book.crashed("request", "e1", 0);
        book.crashed("request", "e2", 10);
        book.ranWhole("request", 20);
        book.crashed("request", "e3", 30);
        assertThat(book.isQuarantined("request", 40), is(false));
    }

    @Test
    void testQuarantineWhenItEndedAndTheNextRunCrashesToo() {
        quarantine(0);
        assertThat(book.isQuarantined("request", 60_002), is(false));
        book.crashed("request", "e4", 60_003);
        assertThat(book.isQuarantined("request", 60_003 + 119_000), is(true));
        assertThat(book.isQuarantined("request", 60_003 + 120_000), is(false));
    }

    @Test
    void testQuarantineWhenCrashesAreToldByDifferentInstances() {
        book.told(new CrashNotice("request", List.of("e1")), 0);
        book.told(new CrashNotice("request", List.of("e2", "e1")), 0);
        book.told(new CrashNotice("request", List.of("e3")), 0);
        assertThat(book.isQuarantined("request", 1), is(true));
    }

    @Test
    void testQuarantineWhenOldNoticeFollowsTheNewsOfAWholeRun() {
        book.crashed("request", "e1", 0);
        book.told(new CrashNotice("request", List.of()), 10);
        book.told(new CrashNotice("request", List.of("e1", "e2", "e3")), 20);
        assertThat(book.isQuarantined("request", 30), is(false));
    }

    @Test
    void testNewsWhenManyRequestsWereUnderWay() {
        for (int index = 0; index < 100; index++) {
            book.crashed("sound " + index, "e1", 0);
        }
        quarantine(0);
        List<CrashNotice> news = book.news(100);
        assertThat(news, hasSize(8));
        assertThat(news.get(0).fingerprint(), equalTo("request"));
        assertThat(book.news(10_000), hasSize(0));
    }

    @Test
    void testExpireWhenOld() {
        quarantine(0);
        book.expire(601_000);
        assertThat(book.isEmpty(), is(true));
    }

    /** Plays a caller that sends one request twice a second to one instance after the other. */
    @Test
    void testRunsWhenCallerSendsAgainAtEachInstance() {
        List<CrashBook> fleet = new ArrayList<>();
        for (int index = 0; index < 20; index++) {
            fleet.add(new CrashBook());
        }
        int crashes = 0;
        for (int nowMillis = 0; nowMillis < 40_000; nowMillis += 500) {
            CrashBook reached = fleet.get(nowMillis / 500 % fleet.size());
            if (!reached.isQuarantined("request", nowMillis)) {
                reached.crashed("request", "e" + crashes, nowMillis);
                crashes++;
            }
            for (CrashNotice notice : reached.news(nowMillis)) {
                for (CrashBook other : fleet) {
                    other.told(notice, nowMillis);
                }
            }
        }
        assertThat(crashes, lessThanOrEqualTo(3));
    }

    private void quarantine(long nowMillis) {
        book.crashed("request", "e1", nowMillis);
        book.crashed("request", "e2", nowMillis);
        book.crashed("request", "e3", nowMillis);
    }
}
