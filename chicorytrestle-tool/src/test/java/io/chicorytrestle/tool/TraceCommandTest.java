package io.chicorytrestle.tool;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.stringContainsInOrder;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class TraceCommandTest {

    private static final String PLACED =
            "{\"time_ms\":5,\"event\":\"request_placed\",\"request\":\"r1\",\"endpoint\":\"e@1\"}\n";

    private static final String FAILED =
            "{\"time_ms\":7,\"event\":\"attempt_failed\",\"request\":\"r1\","
                    + "\"reason\":\"connection broke\",\"verdict\":\"MAY_HAVE_RUN\"}\n";

    private static final String ENDED =
            "{\"time_ms\":8,\"event\":\"request_ended\",\"request\":\"r1\",\"status\":502,"
                    + "\"outcome\":\"connection broke\"}\n";

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();

    @TempDir private Path folder;

    @Test
    void testRunWhenEventsAreInTwoLogs() throws IOException {
        Path first = writeLog("first.log", ENDED + FAILED);
        Path second = writeLog("second.log", "   3.2 node-1 " + PLACED + PLACED.replace("r1", "r2"));

        ExitCode code = run("trace", "r1", first.toString(), second.toString());

        assertThat(code, equalTo(ExitCode.SUCCESS));
        assertThat(
                text(),
                allOf(
                        stringContainsInOrder("request_placed", "attempt_failed", "request_ended"),
                        containsString("cause: connection broke"),
                        not(containsString("r2"))));
    }

    @Test
    void testRunWhenRequestIsNotLogged() throws IOException {
        ExitCode code = run("trace", "r9", writeLog("first.log", PLACED).toString());

        assertThat(code, equalTo(ExitCode.FAULTS_FOUND));
        assertThat(text(), containsString("did not reach"));
    }

    @Test
    void testRunWhenLogIsMissing() {
        assertThat(run("trace", "r1", folder.resolve("none").toString()), equalTo(ExitCode.USAGE));
    }

    private Path writeLog(String name, String lines) throws IOException {
        return Files.writeString(folder.resolve(name), lines);
    }

    private ExitCode run(String... arguments) {
        PrintStream stream = new PrintStream(out, true, StandardCharsets.UTF_8);
        return ToolMain.run(arguments, stream, stream);
    }

    private String text() {
        return out.toString(StandardCharsets.UTF_8);
    }
}
