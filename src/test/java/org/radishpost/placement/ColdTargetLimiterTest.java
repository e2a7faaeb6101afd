package org.radishpost.placement;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

/** Tests that all VMs together respect the limit of a cold target without coordination. */
public class ColdTargetLimiterTest {
  private static final long MILLI_NANOS = 1_000_000L;

  /**
   * After an outage, all targets of a zone are cold while each VM has more calls than the warm
   * targets can run.
   */
  @Test
  public void allVmsTogetherStayWithinTheLimitOfColdTargets() {
    int allowedSendsPerSecond = 12;
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
      assertTrue(maxSendsPerSecond(sends) <= allowedSendsPerSecond, "target " + target);
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
