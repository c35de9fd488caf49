package io.chicorytrestle.tool;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class ToolMainTest {

    private static final String TABLE =
            """
            version: %d
            workspaces:
              - {name: palermo, share: %s, ceiling: 40, priority: 5, queue: 100}
            pools:
              - {name: drafting, kind: engine, ceiling: 8, model: report, version: "1"}
            """;

    @TempDir private Path folder;

    private ByteArrayOutputStream out;

    private ByteArrayOutputStream err;

    @BeforeEach
    void setUp() {
        out = new ByteArrayOutputStream();
        err = new ByteArrayOutputStream();
    }

    @Test
    void testRunWhenNoCommand() {
        assertThat(run(), is(ExitCode.USAGE));
        assertThat(text(err), containsString("table check FILE"));
    }

    @Test
    void testRunWhenUnknownCommand() {
        assertThat(run("tabel", "check"), is(ExitCode.USAGE));
        assertThat(text(err), containsString("Cannot find command: tabel check"));
    }

    @Test
    void testRunWhenUnknownFormat() throws IOException {
        assertThat(run("table", "check", writeTable(1, "3"), "--format", "xml"), is(ExitCode.USAGE));
        assertThat(text(err), containsString("xml"));
    }

    @Test
    void testTableCheckWhenAccepted() throws IOException {
        assertThat(run("table", "check", writeTable(4, "3"), "--format", "json"), is(ExitCode.SUCCESS));
        assertThat(document().path("version").asLong(), is(4L));
    }

    @Test
    void testTableCheckWhenRefused() throws IOException {
        ExitCode exitCode = run("table", "check", writeTable(4, "-3"), "--format", "json");
        assertThat(exitCode, is(ExitCode.FAULTS_FOUND));
        assertThat(document().path("faults").path(0).path("column").asText(), is("share"));
        assertThat(document().path("faults").path(0).path("value").asText(), is("-3"));
    }

    @Test
    void testTableCheckWhenFileMissing() {
        assertThat(run("table", "check", "absent.yaml"), is(ExitCode.USAGE));
        assertThat(text(err), containsString("absent.yaml"));
    }

    @Test
    void testTableDifferenceWhenCellChanged() throws IOException {
        assertThat(run("table", "diff", writeTable(4, "3"), writeTable(5, "8")), is(ExitCode.SUCCESS));
        assertThat(text(out), containsString("share"));
    }

    @Test
    void testTableDifferenceWhenVersionNotLarger() throws IOException {
        assertThat(run("table", "diff", writeTable(5, "3"), writeTable(4, "8")), is(ExitCode.FAULTS_FOUND));
        assertThat(text(out), containsString("Cannot supersede"));
    }

    @Test
    void testSettingsCheckWhenFaulty() throws IOException {
        Path file = Files.writeString(folder.resolve("settings.yaml"), "instance: {name: '?'}");
        assertThat(run("settings", "check", file.toString()), is(ExitCode.FAULTS_FOUND));
        assertThat(
                text(out).indexOf("instance.name"),
                is(lessThan(text(out).indexOf("instance.zone"))));
        assertThat(text(out), containsString("instance.zone"));
    }

    @Test
    void testStatusWhenUnreachable() {
        assertThat(run("status", "--operators", "127.0.0.1:1"), is(ExitCode.UNREACHABLE));
        assertThat(text(err), containsString("127.0.0.1:1"));
    }

    private ExitCode run(String... arguments) {
        return ToolMain.run(arguments, new PrintStream(out, true), new PrintStream(err, true));
    }

    private String writeTable(long version, String share) throws IOException {
        Path file = folder.resolve("table-" + version + ".yaml");
        return Files.writeString(file, TABLE.formatted(version, share)).toString();
    }

    private JsonNode document() throws IOException {
        return new ObjectMapper().readTree(text(out));
    }

    private static String text(ByteArrayOutputStream stream) {
        return stream.toString(StandardCharsets.UTF_8);
    }
}
