package org.radishpost.placement;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import org.radishpost.lib.Place;
import org.testng.annotations.Test;

/** Calls go where their answer is likely in time and moves few bytes far. */
public class PlacementTest {
  private static final long MILLI = 1_000_000L;
  private static final Place HERE = Place.of("k", "k-a");
  private static final Place NEXT_ZONE = Place.of("k", "k-b");
  private static final Place FAR = Place.of("n", "n-a");

  private final Placement placement =
      new Placement(HERE, new WorkTimes(), new ColdGate("e-1"), new SplittableRandom(1));

  private static TrackedTarget target(String id, Place place, int running, int pace) {
    TrackedTarget target = new TrackedTarget(Targets.at(id, place), 0);
    target.sampled(new LoadSample(running, 0, 2, pace), 0);
    return target;
  }

  private static PlacedCall call(double kilobytes) {
    return new PlacedCall("r", 250 * MILLI, 2_000 * MILLI, kilobytes);
  }

  private Placement.Choice choose(PlacedCall call, TrackedTarget... targets) {
    return placement.choose(Arrays.asList(targets), call, 1).orElseThrow();
  }

  private String chosen(PlacedCall call, TrackedTarget... targets) {
    return placement
        .choose(Arrays.asList(targets), call, 1)
        .map(choice -> choice.target().target().id().value())
        .orElse("none");
  }

  @Test
  public void slowMachineIsPassedOver() {
    assertEquals(
        chosen(call(1), target("slow", HERE, 0, 400), target("quick", NEXT_ZONE, 1, 100)), "quick");
  }

  @Test
  public void fullTargetIsPassedOver() {
    assertEquals(
        chosen(call(1), target("full", HERE, 2, 100), target("free", NEXT_ZONE, 0, 100)), "free");
  }

  /** In a burst, what waits in the queue of a target can't go to one that has room sooner. */
  @Test
  public void burstLetsOnlyOneCallWaitAtTarget() {
    assertFalse(choose(call(1), target("busy", HERE, 2, 100)).full());
    assertTrue(choose(call(1), target("queue", HERE, 3, 100)).full());
  }

  @Test
  public void bytesKeepLargeBodiesNear() {
    assertEquals(
        chosen(call(60), target("near", HERE, 2, 200), target("far", FAR, 0, 100)), "near");
    assertEquals(chosen(call(1), target("near", HERE, 2, 400), target("far", FAR, 0, 100)), "far");
  }

  @Test
  public void coldAndSuspendedTargetsAreLast() {
    TrackedTarget cold = new TrackedTarget(Targets.cold("cold", Duration.ofSeconds(3)), 0);
    cold.sampled(new LoadSample(0, 0, 2, 100), 0);
    assertEquals(chosen(call(1), cold, target("slow", HERE, 2, 200)), "slow");
    TrackedTarget failing = target("failing", HERE, 0, 100);
    failing.failed(0);
    assertEquals(chosen(call(1), failing, target("slow", HERE, 2, 200)), "slow");
    assertEquals(chosen(call(1), failing), "failing");
  }

  @Test
  public void ownSendsCountUntilTheNextSample() {
    TrackedTarget used = target("used", HERE, 0, 100);
    used.sent();
    used.sent();
    assertEquals(chosen(call(1), used, target("free", NEXT_ZONE, 0, 100)), "free");
  }

  @Test
  public void onlyThoseNearWithoutFreshLoadAreAsked() {
    TrackedTarget fresh = target("fresh", HERE, 0, 100);
    TrackedTarget stale = new TrackedTarget(Targets.at("stale", NEXT_ZONE), 0);
    TrackedTarget far = new TrackedTarget(Targets.at("far", FAR), 0);
    assertEquals(placement.toAsk(List.of(fresh, stale, far), 1), List.of(stale));
    assertEquals(placement.toAsk(List.of(far), 1), List.of(far));
  }

  @Test
  public void nearFreeQuickTargetEndsTheWait() {
    assertTrue(placement.ideal(target("a", HERE, 0, 100), 1));
    assertFalse(placement.ideal(target("a", HERE, 1, 100), 1));
    assertFalse(placement.ideal(target("a", HERE, 0, 150), 1));
    assertFalse(placement.ideal(target("a", NEXT_ZONE, 0, 100), 1));
  }
}
