package io.chicorytrestle.daemon;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.startsWith;

import com.google.common.base.Splitter;
import java.net.http.HttpResponse;
import java.util.List;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.api.Timeout;

@TestInstance(TestInstance.Lifecycle.PER_CLASS)
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class DaemonNodeTest {

    private static final String ALPHA = "alpha:secret-of-alpha";

    private DaemonFixture fixture;

    @BeforeAll
    void start() throws Exception {
        fixture = DaemonFixture.start();
    }

    @AfterAll
    void stop() {
        fixture.close();
    }

    @BeforeEach
    void reset() {
        fixture.environment().reset();
    }

    @Test
    void testChatWhenNotStreamed() throws Exception {
        HttpResponse<String> response =
                fixture.post(ALPHA, "/v1/chat/completions", DaemonFixture.chatBody(false));

        assertThat(response.statusCode(), is(200));
        assertThat(response.headers().firstValue("X-Verdict").orElse(""), is("ran"));
        assertThat(
                response.headers().firstValue("X-Request-Id").orElse(""), startsWith("entry-1-"));
        assertThat(
                DaemonFixture.jsonField(response.body(), "/choices/0/message/content"),
                is("Hello there"));
        assertThat(
                DaemonFixture.jsonField(
                        response.body(), "/usage/prompt_tokens_details/cached_tokens"),
                is("3"));
    }

    @Test
    void testChatWhenStreamed() throws Exception {
        HttpResponse<String> response =
                fixture.post(ALPHA, "/v1/chat/completions", DaemonFixture.chatBody(true));

        List<String> events = Splitter.on("\n\n").omitEmptyStrings().splitToList(response.body());
        assertThat(events.size(), is(4));
        assertThat(
                DaemonFixture.jsonField(events.get(0).substring(6), "/choices/0/delta/content"),
                is("Hello "));
        assertThat(events.get(3), is("data: [DONE]"));
    }

    @Test
    void testServiceWhenOperationIsRead() throws Exception {
        HttpResponse<String> response = fixture.get(ALPHA, "/v1/services/booking/look?id=3");

        assertThat(response.statusCode(), is(200));
        assertThat(fixture.environment().executedOperations, is(List.of("lookid=3")));
    }

    @Test
    void testServiceWhenTicketIsUsedTwice() throws Exception {
        String ticket =
                DaemonFixture.jsonField(fixture.post(ALPHA, "/v1/tickets", "").body(), "/ticket");
        fixture.postWithTicket(ALPHA, "/v1/services/booking/confirm", "{}", ticket);
        HttpResponse<String> response =
                fixture.postWithTicket(ALPHA, "/v1/services/booking/confirm", "{}", ticket);

        assertThat(response.headers().firstValue("X-Replayed").orElse(""), is("true"));
        assertThat(fixture.environment().executedOperations, is(List.of("confirm{}")));
    }

    @Test
    void testOperatorPathsWhenRead() throws Exception {
        long before = countOfRanRequests();
        fixture.post(ALPHA, "/v1/chat/completions", DaemonFixture.chatBody(false));

        assertThat(
                DaemonFixture.jsonField(fixture.getAsOperator("/table").body(), "/version"),
                is("1"));
        assertThat(fixture.getAsOperator("/membership").body(), containsString("engine-1"));
        assertThat(
                fixture.getAsOperator("/audit?after=0").body(), containsString("TABLE_ACCEPTED"));
        assertThat(countOfRanRequests() - before, is(1L));
        assertThat(
                fixture.getAsOperator("/explain?workspace=alpha&chat=c&pool=chat").body(),
                containsString("engine-1"));
        assertThat(fixture.getAsOperator("/explain?workspace=alpha").statusCode(), is(400));
    }

    private long countOfRanRequests() throws Exception {
        String count =
                DaemonFixture.jsonField(
                        fixture.getAsOperator("/metrics").body(), "/counters/requests.verdict.ran");
        return count.isEmpty() ? 0 : Long.parseLong(count);
    }
}
