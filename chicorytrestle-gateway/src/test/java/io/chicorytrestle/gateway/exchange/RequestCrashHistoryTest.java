package io.chicorytrestle.gateway.exchange;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.chicorytrestle.core.poison.CrashTracker;
import io.chicorytrestle.core.poison.PartCrashTracker;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class RequestCrashHistoryTest {

    private final RequestCrashHistory history =
            new RequestCrashHistory(
                    new CrashTracker(),
                    new PartCrashTracker(),
                    Optional.empty(),
                    Optional.empty(),
                    new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/x"),
                    new byte[] {1});

    @Test
    void testQuarantineWhenAnotherEndpointFailedTheRequest() {
        crashTwoEndpointsAndRespond(false);
        assertThat(history.isQuarantined(40), is(true));
    }

    @Test
    void testQuarantineWhenRequestSucceeded() {
        crashTwoEndpointsAndRespond(true);
        assertThat(history.isQuarantined(40), is(false));
    }

    /** Records two crashes, a response and a third crash. */
    private void crashTwoEndpointsAndRespond(boolean isSuccess) {
        history.recordCrash("e1", 0);
        history.recordCrash("e2", 10);
        history.recordResponse(isSuccess, 20);
        history.recordCrash("e3", 30);
    }
}
