package io.chicorytrestle.bench.routing;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.CategoryChart;
import org.knowm.xchart.CategoryChartBuilder;

/** Draws one figure of several routing strategies as a bar chart. */
final class BarChart {

    /** The width of the image in pixels. */
    private static final int WIDTH_PIXELS = 900;

    /** The height of the image in pixels. */
    private static final int HEIGHT_PIXELS = 500;

    /** Prevents instantiation. */
    private BarChart() {}

    /**
     * Writes a bar chart as a PNG image.
     *
     * @param file The file to write.
     * @param title The title, which names the figure.
     * @param bars The figure of each strategy, in display order.
     * @throws IOException If the file cannot be written.
     */
    static void writePng(Path file, String title, Map<String, Double> bars) throws IOException {
        CategoryChart chart =
                new CategoryChartBuilder()
                        .width(WIDTH_PIXELS)
                        .height(HEIGHT_PIXELS)
                        .title(title)
                        .build();
        List<String> names = new ArrayList<>(bars.keySet());
        chart.addSeries(title, names, new ArrayList<>(bars.values()));
        chart.getStyler().setLegendVisible(false);
        BitmapEncoder.saveBitmap(chart, file.toString(), BitmapEncoder.BitmapFormat.PNG);
    }
}
