package org.radishpost.routing;

import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BiFunction;
import java.util.random.RandomGenerator;
import org.radishpost.bench.LocalityModel;
import org.radishpost.bench.LocalityModelResult;
import org.radishpost.lib.Place;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Compares spill rules in a queueing simulation; {@code -Dseeds=N} sets the number of runs. */
public class LocalityCalculationTest {
  private static final int SEEDS = Integer.getInteger("seeds", 2);
  private static final int SECONDS = 10;

  /**
   * Load as a fraction of capacity, and the factor by which the load of the first region is higher.
   */
  @DataProvider
  public Object[][] loads() {
    return new Object[][] {{0.5, 1.0}, {0.8, 1.0}, {0.95, 1.0}, {0.5, 4.0}, {0.8, 4.0}};
  }

  @Test(dataProvider = "loads")
  public void spillReducesTailLatencyWithFewCrossings(double load, double skew) {
    System.out.printf("load %.2f, first region x%.0f, %d seeds%n", load, skew, SEEDS);
    final LocalityModelResult noSpill = run("never spill           ", 0, load, skew);
    final LocalityModelResult alwaysSpill = run("always spill          ", 1e9, load, skew);
    run("gain 4                ", 4, load, skew);
    run("gain 2                ", 2, load, skew);
    final LocalityModelResult defaultRule = run("gain 1, default       ", 1, load, skew);
    run(
        "random in own region  ",
        (place, random) -> new ProportionalPoolChooser(place, pool -> LocalityModel.SLOTS, random),
        load,
        skew);
    assertTrue(
        defaultRule.crossRegionPercent() < alwaysSpill.crossRegionPercent(),
        defaultRule + " against " + alwaysSpill);
    assertTrue(defaultRule.p99Millis() < noSpill.p99Millis(), defaultRule + " against " + noSpill);
  }

  private static LocalityModelResult run(String name, double gain, double load, double skew) {
    SpillRule rule = new SpillRule(gain);
    return run(
        name,
        (place, random) ->
            new LocalityPoolChooser(
                place, LinkCosts.DEFAULT, pool -> LocalityModel.SLOTS, random, rule),
        load,
        skew);
  }

  private static LocalityModelResult run(
      String name,
      BiFunction<Place, RandomGenerator, PoolChooser> chooser,
      double load,
      double skew) {
    List<LocalityModelResult> results = new ArrayList<>();
    for (int seed = 1; seed <= SEEDS; seed++) {
      results.add(new LocalityModel(seed, chooser).run(load, skew, SECONDS));
    }
    LocalityModelResult median = LocalityModelResult.median(results);
    System.out.println("  " + name + ": " + median);
    return median;
  }
}
