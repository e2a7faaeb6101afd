package org.radishpost.placement;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.radishpost.lib.RequestKind;
import org.radishpost.lib.ServiceName;
import org.radishpost.manifest.DuplicateGuard;
import org.radishpost.manifest.RoutePolicy;
import org.radishpost.manifest.RouteSpec;
import org.radishpost.manifest.WeightedService;
import org.testng.annotations.Test;

/** Tests that each VM keeps the weights without coordination. */
public class TrafficSplitterTest {
  private static RouteSpec route(WeightedService... split) {
    return new RouteSpec(
        "r",
        "h",
        Set.of("GET"),
        "/",
        new ServiceName("a"),
        RequestKind.READ,
        1,
        true,
        Duration.ofSeconds(1),
        1,
        Set.of(),
        DuplicateGuard.NONE,
        new RoutePolicy(Optional.empty(), 2, 0, List.of(split)));
  }

  private static Map<String, Integer> counts(TrafficSplitter splitter, RouteSpec route, int calls) {
    Map<String, Integer> counts = new HashMap<>();
    for (int i = 0; i < calls; i++) {
      counts.merge(splitter.next(route).value(), 1, Integer::sum);
    }
    return counts;
  }

  @Test
  public void weightsAreKeptWithinTenCalls() {
    RouteSpec route =
        route(
            new WeightedService(new ServiceName("a"), 70),
            new WeightedService(new ServiceName("b"), 30));
    TrafficSplitter splitter = new TrafficSplitter(new SplittableRandom(7));
    assertEquals(counts(splitter, route, 10), Map.of("a", 7, "b", 3));
    assertEquals(counts(splitter, route, 100), Map.of("a", 70, "b", 30));
  }

  /** After a restart of all VMs, each one has received only a few calls. */
  @Test
  public void weightsAreKeptAcrossManyVmsWithFewCallsEach() {
    RouteSpec route =
        route(
            new WeightedService(new ServiceName("a"), 80),
            new WeightedService(new ServiceName("b"), 20));
    SplittableRandom random = new SplittableRandom(7);
    int calls = 0;
    int second = 0;
    for (int vm = 0; vm < 100; vm++) {
      second += counts(new TrafficSplitter(random), route, 3).getOrDefault("b", 0);
      calls += 3;
    }
    assertEquals((double) second / calls, 0.2, 0.1);
  }

  @Test
  public void changedWeightsApplyToTheNextCall() {
    TrafficSplitter splitter = new TrafficSplitter(new SplittableRandom(7));
    counts(splitter, route(new WeightedService(new ServiceName("a"), 1)), 5);
    RouteSpec changed =
        route(
            new WeightedService(new ServiceName("a"), 0),
            new WeightedService(new ServiceName("b"), 1));
    assertEquals(counts(splitter, changed, 5), Map.of("b", 5));
    assertEquals(counts(splitter, route(), 5), Map.of("a", 5));
  }
}
