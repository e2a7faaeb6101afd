package org.radishpost.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.radishpost.bench.LoadPlan.EventPlan;
import org.radishpost.bench.LoadPlan.NoisePlan;

/** Makes the events of noisy neighbours; the same plan gives the same events. */
final class Noise {
  private static final String NORMAL = "{}";

  private Noise() {}

  /** Returns when each target turns slow and normal again. */
  static List<EventPlan> events(LoadPlan plan) {
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
    double quietMillis = noise.meanMillis() * (1 - noise.share()) / noise.share();
    String slow = "{\"slowFactor\": " + noise.factor() + "}";
    boolean isSlow = false;
    double at = -plan.warmUpMillis() + length(random, quietMillis);
    while (at < plan.durationMillis()) {
      isSlow = !isSlow;
      String url = "http://" + target + "/control";
      events.add(new EventPlan((long) at, "", "PUT", url, isSlow ? slow : NORMAL, ""));
      at += length(random, isSlow ? noise.meanMillis() : quietMillis);
    }
  }

  private static double length(SplittableRandom random, double meanMillis) {
    return 1 - Math.log(1 - random.nextDouble()) * meanMillis;
  }
}
