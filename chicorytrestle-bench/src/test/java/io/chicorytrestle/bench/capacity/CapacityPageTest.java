package io.chicorytrestle.bench.capacity;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;

class CapacityPageTest {

    private static final Path DOCS = Path.of("..", "docs");

    @Test
    void testRenderWhenComparedWithCommittedPage() throws IOException {
        String page = Files.readString(DOCS.resolve("CAPACITY.md"));
        assertThat(new CapacityPage(report()).replaceIn(page), is(page));
    }

    @Test
    void testRenderWhenReportHasAllMeasures() throws IOException {
        String text = new CapacityPage(report()).render();
        for (Measure measure : CapacitySlopesExperiment.measures()) {
            assertThat(text, containsString("| " + measure.definition().key() + " |"));
        }
    }

    @Test
    void testFitWhenPointsLieOnLine() {
        LinearFit slope =
                LinearFit.fit(
                        TimeMeasure.FRAME,
                        List.of(
                                new LinearFit.Point(1, 5),
                                new LinearFit.Point(2, 7),
                                new LinearFit.Point(4, 11)));
        assertThat(slope.predict(10), is(23.0));
    }

    private static JsonNode report() throws IOException {
        return new ObjectMapper()
                .readTree(DOCS.resolve("results").resolve("capacity-slopes.json").toFile());
    }
}
