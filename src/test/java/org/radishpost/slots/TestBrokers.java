package org.radishpost.slots;

import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.radishpost.config.Configuration;
import org.radishpost.placement.RouteServiceTimes;
import org.radishpost.placement.TargetDirectory;

/** Creates brokers for tests of other classes. */
public final class TestBrokers {
  private TestBrokers() {}

  /** Returns a broker that has no target to offer. */
  public static SlotBroker withoutTargets() {
    return new SlotBroker(
        new TargetDirectory((code, fields) -> {}),
        () -> new Configuration(1, Map.of(), Set.of()),
        new RouteServiceTimes(),
        () -> 0,
        (delayNanos, task) -> {},
        new SplittableRandom(1));
  }
}
