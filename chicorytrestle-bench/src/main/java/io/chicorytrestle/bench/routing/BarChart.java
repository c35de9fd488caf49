package io.chicorytrestle.bench.routing;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.CategoryChart;
import org.knowm.xchart.CategoryChartBuilder;

/** Draws one figure of several ways as bars. */
final class BarChart {

    /** The width of the picture in pixels. */
    private static final int WIDTH_PIXELS = 900;

    /** The height of the picture in pixels. */
    private static final int HEIGHT_PIXELS = 500;

    /** Prevents instances. */
    private BarChart() {}

    /**
     * Draws bars.
     *
     * @param file The file that receives the picture as PNG.
     * @param title What is shown.
     * @param bars The figure of each way, in order.
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
