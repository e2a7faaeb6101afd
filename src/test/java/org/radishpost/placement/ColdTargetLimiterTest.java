package org.radishpost.placement;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

/** What a cold target bears holds as a sum over all VMs, without their agreement. */
public class ColdTargetLimiterTest {
  private static final long MILLI_NANOS = 1_000_000L;

  /** Zones come back cold while everybody has far too much work for the rest. */
  @Test
  public void allVmsTogetherStayWithinTheLimitOfColdTargets() {
    int allowed = 12;
    for (int target = 0; target < 40; target++) {
      TrackedTarget cold =
          new TrackedTarget(TestTargets.cold("i-" + target * 7919, Duration.ofMinutes(1)), 0);
      List<Long> sends = new ArrayList<>();
      for (int entry = 0; entry < 16; entry++) {
        ColdTargetLimiter gate = new ColdTargetLimiter("edge-" + entry);
        for (long now = 0; now < 5_000 * MILLI_NANOS; now += 5 * MILLI_NANOS) {
          if (gate.admits(cold, now)) {
            gate.recordSend(cold, now);
            sends.add(now);
          }
        }
      }
      assertTrue(maxSendsPerSecond(sends) <= allowed, "target " + target);
    }
  }

  @Test
  public void mostTargetsHaveAnEligibleVm() {
    int used = 0;
    for (int target = 0; target < 40; target++) {
      TrackedTarget cold =
          new TrackedTarget(TestTargets.cold("i-" + target * 7919, Duration.ofMinutes(1)), 0);
      boolean any = false;
      for (int entry = 0; entry < 8; entry++) {
        any |= new ColdTargetLimiter("edge-" + entry).admits(cold, 0);
      }
      used += any ? 1 : 0;
    }
    assertTrue(used >= 38, "targets in use: " + used);
  }

  @Test
  public void warmTargetsAreNotLimited() {
    TrackedTarget warm = new TrackedTarget(TestTargets.ready("a"), 0);
    ColdTargetLimiter gate = new ColdTargetLimiter("e");
    gate.recordSend(warm, 0);
    assertEquals(gate.admits(warm, 0), true);
  }

  private static long maxSendsPerSecond(List<Long> sends) {
    return sends.stream()
        .mapToLong(
            from ->
                sends.stream().filter(at -> at >= from && at < from + 1_000 * MILLI_NANOS).count())
        .max()
        .orElse(0);
  }
}
