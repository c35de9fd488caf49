package io.chicorytrestle.bench;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

class DocumentationTest {

    private static final Path ROOT = Path.of("..");

    private static final Pattern COMMAND = Pattern.compile("\\bbin/([a-z-]+)");

    private static final Pattern LINK =
            Pattern.compile("\\]\\(([A-Za-z0-9_./-]+\\.(?:md|json|png))\\)");

    private static final Pattern EXPERIMENT_ROW =
            Pattern.compile("^\\| `([a-z-]+)` \\|", Pattern.MULTILINE);

    private static final Pattern KNOWN_RED_TEST =
            Pattern.compile("@Tag\\(\"known-red\"\\)\\s+void (\\w+)\\(");

    @Test
    void testCommandsWhenDocumented() throws IOException {
        List<String> missing = new ArrayList<>();
        for (Path page : pages()) {
            for (String command : matches(COMMAND, Files.readString(page))) {
                if (!Files.isExecutable(ROOT.resolve("bin").resolve(command))) {
                    missing.add(page + ": bin/" + command);
                }
            }
        }
        assertThat(missing, is(empty()));
    }

    @Test
    void testLinksWhenDocumented() throws IOException {
        List<String> missing = new ArrayList<>();
        for (Path page : pages()) {
            for (String link : matches(LINK, Files.readString(page))) {
                if (!Files.exists(page.toAbsolutePath().normalize().resolveSibling(link))) {
                    missing.add(page + ": " + link);
                }
            }
        }
        assertThat(missing, is(empty()));
    }

    @Test
    void testExperimentsWhenComparedWithTheirPage() throws IOException {
        TreeSet<String> documented =
                new TreeSet<>(
                        matches(EXPERIMENT_ROW, Files.readString(ROOT.resolve("docs/BENCH.md"))));
        TreeSet<String> known = new TreeSet<>();
        BenchMain.experiments().forEach(experiment -> known.add(experiment.name()));
        assertThat(documented, is(known));
    }

    @Test
    void testKnownRedTagsWhenComparedWithTheirList() throws IOException {
        String list = Files.readString(ROOT.resolve("KNOWN-RED.txt"));
        List<String> missing = new ArrayList<>();
        for (Path source : testSources()) {
            for (String test : matches(KNOWN_RED_TEST, Files.readString(source))) {
                if (!list.contains(test)) {
                    missing.add(source + ": " + test);
                }
            }
        }
        assertThat(missing, is(empty()));
    }

    private static List<Path> testSources() throws IOException {
        return files(ROOT, "Test.java");
    }

    private static List<Path> pages() throws IOException {
        List<Path> pages = files(ROOT.resolve("docs"), ".md");
        pages.add(ROOT.resolve("README.md"));
        return pages;
    }

    /** Returns the files below a folder whose names end so, of which there must be any. */
    private static List<Path> files(Path folder, String suffix) throws IOException {
        try (Stream<Path> paths = Files.walk(folder)) {
            List<Path> files =
                    new ArrayList<>(
                            paths.filter(path -> path.toString().endsWith(suffix)).toList());
            assertThat(files, is(not(empty())));
            return files;
        }
    }

    private static List<String> matches(Pattern pattern, String text) {
        return pattern.matcher(text)
                .results()
                .map((MatchResult result) -> result.group(1))
                .toList();
    }
}
