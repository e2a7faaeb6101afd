package org.radishpost.bench;

import java.awt.BasicStroke;
import java.awt.Color;
import java.awt.Rectangle;
import java.util.List;
import java.util.function.ToDoubleFunction;
import org.jfree.chart.JFreeChart;
import org.jfree.chart.axis.NumberAxis;
import org.jfree.chart.plot.CombinedDomainXYPlot;
import org.jfree.chart.plot.ValueMarker;
import org.jfree.chart.plot.XYPlot;
import org.jfree.chart.renderer.xy.XYLineAndShapeRenderer;
import org.jfree.chart.ui.RectangleAnchor;
import org.jfree.chart.ui.TextAnchor;
import org.jfree.data.xy.XYSeries;
import org.jfree.data.xy.XYSeriesCollection;
import org.jfree.svg.SVGGraphics2D;
import org.radishpost.bench.LoadResult.Latency;

/**
 * Plots latency and delivered weight over time as SVG, with a vertical marker for each event.
 *
 * <p>Thread-safe.
 */
public final class BenchPlot {
  private static final int WIDTH = 900;
  private static final int HEIGHT = 560;
  private static final double MILLIS_PER_SECOND = 1_000;

  private BenchPlot() {}

  /** Returns the plot of a result as an SVG document with the given title. */
  public static String toSvg(LoadResult result, String title) {
    CombinedDomainXYPlot plot = new CombinedDomainXYPlot(new NumberAxis("seconds"));
    plot.add(createPlot(latencyData(result), "latency, ms", result));
    plot.add(createPlot(weightData(result), "weight per 100 ms", result));
    JFreeChart chart = new JFreeChart(title, JFreeChart.DEFAULT_TITLE_FONT, plot, true);
    SVGGraphics2D svg = new SVGGraphics2D(WIDTH, HEIGHT);
    chart.draw(svg, new Rectangle(WIDTH, HEIGHT));
    return svg.getSVGElement();
  }

  private static XYPlot createPlot(XYSeriesCollection data, String label, LoadResult result) {
    XYPlot plot =
        new XYPlot(data, null, new NumberAxis(label), new XYLineAndShapeRenderer(true, false));
    boolean labelAtBottom = false;
    for (LoadResult.EventResult event : result.events()) {
      plot.addDomainMarker(createMarker(event, labelAtBottom));
      labelAtBottom = !labelAtBottom;
    }
    return plot;
  }

  private static ValueMarker createMarker(LoadResult.EventResult event, boolean labelAtBottom) {
    ValueMarker marker =
        new ValueMarker(
            event.atMillis() / MILLIS_PER_SECOND, Color.DARK_GRAY, new BasicStroke(1.2f));
    marker.setLabel(event.label());
    marker.setLabelAnchor(labelAtBottom ? RectangleAnchor.BOTTOM_LEFT : RectangleAnchor.TOP_LEFT);
    marker.setLabelTextAnchor(labelAtBottom ? TextAnchor.BOTTOM_RIGHT : TextAnchor.TOP_RIGHT);
    return marker;
  }

  private static XYSeriesCollection latencyData(LoadResult result) {
    XYSeriesCollection data = new XYSeriesCollection();
    data.addSeries(createSeries("p50", result.windows(), Latency::p50Millis));
    data.addSeries(createSeries("p99", result.windows(), Latency::p99Millis));
    return data;
  }

  private static XYSeries createSeries(
      String name, List<Latency> windows, ToDoubleFunction<Latency> percentile) {
    XYSeries series = new XYSeries(name);
    for (int i = 0; i < windows.size(); i++) {
      if (windows.get(i).count() > 0) {
        double seconds = i * LoadResult.LATENCY_WINDOW_MILLIS / MILLIS_PER_SECOND;
        series.add(seconds, percentile.applyAsDouble(windows.get(i)));
      }
    }
    return series;
  }

  private static XYSeriesCollection weightData(LoadResult result) {
    XYSeries series = new XYSeries("weight delivered");
    for (int i = 0; i < result.weights().size(); i++) {
      double seconds = i * LoadResult.WEIGHT_WINDOW_MILLIS / MILLIS_PER_SECOND;
      series.add(seconds, result.weights().get(i));
    }
    return new XYSeriesCollection(series);
  }
}
