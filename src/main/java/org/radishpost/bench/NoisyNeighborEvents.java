package org.radishpost.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.radishpost.bench.LoadPlan.EventPlan;
import org.radishpost.bench.LoadPlan.NoisePlan;

/** Creates events that simulate noisy neighbors. The same plan yields the same events. */
final class NoisyNeighborEvents {
  private static final String NO_FAULTS = "{}";

  private NoisyNeighborEvents() {}

  /** Returns the events that slow down each target and return it to normal speed. */
  static List<EventPlan> createEvents(LoadPlan plan) {
    SplittableRandom random = new SplittableRandom(~plan.seed());
    List<EventPlan> events = new ArrayList<>();
    for (String target : plan.noise().targets()) {
      addEvents(target, plan, random.split(), events);
    }
    return events;
  }

  private static void addEvents(
      String target, LoadPlan plan, SplittableRandom random, List<EventPlan> events) {
    NoisePlan noise = plan.noise();
    double meanNormalMillis = noise.meanMillis() * (1 - noise.share()) / noise.share();
    String slowControl = "{\"slowFactor\": " + noise.factor() + "}";
    boolean isSlow = false;
    double atMillis = -plan.warmUpMillis() + drawMillis(random, meanNormalMillis);
    while (atMillis < plan.durationMillis()) {
      isSlow = !isSlow;
      String url = "http://" + target + "/control";
      events.add(
          new EventPlan((long) atMillis, "", "PUT", url, isSlow ? slowControl : NO_FAULTS, ""));
      atMillis += drawMillis(random, isSlow ? noise.meanMillis() : meanNormalMillis);
    }
  }

  private static double drawMillis(SplittableRandom random, double meanMillis) {
    return 1 - Math.log(1 - random.nextDouble()) * meanMillis;
  }
}
