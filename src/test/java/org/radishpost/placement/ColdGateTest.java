package org.radishpost.placement;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

/** What a cold target bears holds as a sum over all VMs, without their agreement. */
public class ColdGateTest {
  private static final long MILLI = 1_000_000L;

  /** Zones come back cold while everybody has far too much work for the rest. */
  @Test
  public void hungryEntriesTogetherStayWithinWhatColdTargetsBear() {
    int allowed = 12;
    for (int target = 0; target < 40; target++) {
      TrackedTarget cold =
          new TrackedTarget(Targets.cold("i-" + target * 7919, Duration.ofMinutes(1)), 0);
      List<Long> sends = new ArrayList<>();
      for (int entry = 0; entry < 16; entry++) {
        ColdGate gate = new ColdGate("edge-" + entry);
        for (long now = 0; now < 5_000 * MILLI; now += 5 * MILLI) {
          if (gate.admits(cold, now)) {
            gate.sent(cold, now);
            sends.add(now);
          }
        }
      }
      assertTrue(mostInOneSecond(sends) <= allowed, "target " + target);
    }
  }

  @Test
  public void someEntryIsEntitledToMostTargets() {
    int used = 0;
    for (int target = 0; target < 40; target++) {
      TrackedTarget cold =
          new TrackedTarget(Targets.cold("i-" + target * 7919, Duration.ofMinutes(1)), 0);
      boolean any = false;
      for (int entry = 0; entry < 8; entry++) {
        any |= new ColdGate("edge-" + entry).admits(cold, 0);
      }
      used += any ? 1 : 0;
    }
    assertTrue(used >= 38, "targets in use: " + used);
  }

  @Test
  public void warmTargetsAreNotLimited() {
    TrackedTarget warm = new TrackedTarget(Targets.ready("a"), 0);
    ColdGate gate = new ColdGate("e");
    gate.sent(warm, 0);
    assertEquals(gate.admits(warm, 0), true);
  }

  private static long mostInOneSecond(List<Long> sends) {
    return sends.stream()
        .mapToLong(
            from -> sends.stream().filter(at -> at >= from && at < from + 1_000 * MILLI).count())
        .max()
        .orElse(0);
  }
}
