package io.chicorytrestle.core.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.Random;
import org.junit.jupiter.api.Test;

/** Guards the search for the oldest revision of the store's history. */
class OldestRevisionSearchTest {

    private static final long SEED = 57_020;

    private static final int DRAWN_SEARCHES = 20_000;

    @Test
    void testSearchWhenNothingIsMissing() {
        OldestRevisionSearch search = new OldestRevisionSearch(1_000);

        assertThat(search(search, 0), equalTo(1));
        assertThat(search.isFound(), equalTo(true));
        assertThat(search.isWhole(), equalTo(true));
    }

    @Test
    void testSearchWhenEvenTheKnownRevisionIsMissing() {
        OldestRevisionSearch search = new OldestRevisionSearch(1_000);

        assertThat(search(search, 1_001), equalTo(2));
        assertThat(search.isFound(), equalTo(false));
    }

    /** Bounds the calls for a history of up to 2,000 changes, whatever the known revision is. */
    @Test
    void testSearchWhenTheHistoryIsDrawn() {
        Random random = new Random(SEED);
        for (int number = 0; number < DRAWN_SEARCHES; number++) {
            long known = random.nextInt(1_000_000) + 1L;
            long oldest = Math.max(1, known - random.nextInt(2_000));
            OldestRevisionSearch search = new OldestRevisionSearch(known);
            int calls = search(search, oldest);

            assertThat(known + " " + oldest, search.isFound(), equalTo(true));
            assertThat(known + " " + oldest, search.isWhole(), equalTo(false));
            assertThat(known + " " + oldest, calls, lessThanOrEqualTo(20));
        }
    }

    @Test
    void testSearchWhenTooManyCallsWereNeeded() {
        OldestRevisionSearch search = new OldestRevisionSearch(Long.MAX_VALUE - 1);

        assertThat(search(search, 12_345), equalTo(24));
        assertThat(search.isFound(), equalTo(false));
    }

    /** Plays a search, checks that the last available revision is the oldest, and counts. */
    private static int search(OldestRevisionSearch search, long oldest) {
        long smallest = Long.MAX_VALUE;
        int calls = 0;
        while (!search.isOver()) {
            long asked = search.nextRevision();
            if (asked >= oldest) {
                assertThat(asked < smallest, equalTo(true));
                smallest = asked;
            }
            search.recordAnswer(asked >= oldest);
            calls++;
        }
        if (search.isFound()) {
            assertThat(smallest, equalTo(oldest));
        }
        return calls;
    }
}
