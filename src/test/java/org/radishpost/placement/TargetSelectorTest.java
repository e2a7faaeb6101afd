package org.radishpost.placement;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import org.radishpost.lib.Place;
import org.testng.annotations.Test;

/** Tests the selection of targets by expected response time and traffic. */
public class TargetSelectorTest {
  private static final long MILLI_NANOS = 1_000_000L;
  private static final Place LOCAL_ZONE = Place.of("k", "k-a");
  private static final Place NEXT_ZONE = Place.of("k", "k-b");
  private static final Place OTHER_REGION = Place.of("n", "n-a");

  private final TargetSelector selector =
      new TargetSelector(
          LOCAL_ZONE,
          new RouteServiceTimes(),
          new ColdTargetLimiter("e-1"),
          new SplittableRandom(1));

  private static TrackedTarget target(String id, Place place, int running, int slowdownPercent) {
    TrackedTarget target = new TrackedTarget(TestTargets.at(id, place), 0);
    target.recordSample(new LoadSample(running, 0, 2, slowdownPercent), 0);
    return target;
  }

  private static PlacementRequest request(double kilobytes) {
    return new PlacementRequest("r", 250 * MILLI_NANOS, 2_000 * MILLI_NANOS, kilobytes);
  }

  private TargetSelector.Selection select(PlacementRequest request, TrackedTarget... targets) {
    return selector.select(Arrays.asList(targets), request, 1).orElseThrow();
  }

  private String selectedId(PlacementRequest request, TrackedTarget... targets) {
    return selector
        .select(Arrays.asList(targets), request, 1)
        .map(selection -> selection.target().target().id().value())
        .orElse("none");
  }

  @Test
  public void slowTargetIsSkipped() {
    assertEquals(
        selectedId(
            request(1), target("slow", LOCAL_ZONE, 0, 400), target("quick", NEXT_ZONE, 1, 100)),
        "quick");
  }

  @Test
  public void fullTargetIsSkipped() {
    assertEquals(
        selectedId(
            request(1), target("full", LOCAL_ZONE, 2, 100), target("free", NEXT_ZONE, 0, 100)),
        "free");
  }

  /** In a burst, a call queued at a target cannot move to a target that has a free slot sooner. */
  @Test
  public void targetIsFullOnceNoSlotIsFree() {
    assertFalse(select(request(1), target("busy", LOCAL_ZONE, 1, 100)).full());
    assertTrue(select(request(1), target("full", LOCAL_ZONE, 2, 100)).full());
  }

  /** Late calls took the slots, so that calls that came after them were late as well. */
  @Test
  public void lateCallLeavesTheLastSlotToOthers() {
    PlacementRequest late = new PlacementRequest("r", 0, 2_000 * MILLI_NANOS, 1);
    assertTrue(select(late, target("busy", LOCAL_ZONE, 1, 100)).full());
    assertFalse(select(late, target("idle", LOCAL_ZONE, 0, 100)).full());
    PlacementRequest tooShort = new PlacementRequest("r", 90 * MILLI_NANOS, 2_000_000_000L, 1);
    assertTrue(select(tooShort, target("busy", LOCAL_ZONE, 1, 100)).full());
  }

  /** A full target answers probes late, so the missing sample made it look nearly free. */
  @Test
  public void targetThatDoesNotAnswerItsProbeIsNotFree() {
    TrackedTarget silent = new TrackedTarget(TestTargets.at("silent", LOCAL_ZONE), 0);
    silent.recordProbeSent(-20 * MILLI_NANOS);
    assertTrue(select(request(1), silent).uncertain());
    assertEquals(selectedId(request(1), silent, target("busy", LOCAL_ZONE, 2, 100)), "busy");
    silent.recordProbeEnded();
    assertFalse(select(request(1), silent).uncertain());
  }

  /** Calls of several VMs were sent to a slot that all of them had seen free some time before. */
  @Test
  public void reportOfFreeSlotIsUncertainAfterSomeTime() {
    TrackedTarget target = target("a", LOCAL_ZONE, 0, 100);
    assertFalse(selectAt(50 * MILLI_NANOS, target).uncertain());
    assertTrue(selectAt(51 * MILLI_NANOS, target).uncertain());
    assertFalse(selectAt(51 * MILLI_NANOS, target).serviceSilent());
    assertTrue(selectAt(2_001 * MILLI_NANOS, target).serviceSilent());
  }

  private TargetSelector.Selection selectAt(long nowNanos, TrackedTarget target) {
    PlacementRequest request =
        new PlacementRequest("r", nowNanos + 300 * MILLI_NANOS, nowNanos + 900 * MILLI_NANOS, 1);
    return selector.select(List.of(target), request, nowNanos).orElseThrow();
  }

  /** Calls were sent blindly to targets that nobody had probed when all probed ones were full. */
  @Test
  public void targetWithoutSampleIsAsLoadedAsTheOthers() {
    TrackedTarget unknown = new TrackedTarget(TestTargets.at("unknown", LOCAL_ZONE), 0);
    assertFalse(select(request(1), unknown, target("free", OTHER_REGION, 0, 100)).full());
    assertTrue(select(request(1), unknown, target("full", LOCAL_ZONE, 4, 100)).full());
  }

  /**
   * The targets that answered were free, so the unknown ones seemed free too, though most did not
   * answer because they were full.
   */
  @Test
  public void targetsThatDoNotAnswerCountAsLoad() {
    TrackedTarget unknown = new TrackedTarget(TestTargets.at("unknown", LOCAL_ZONE), 0);
    TrackedTarget silent = new TrackedTarget(TestTargets.at("silent", LOCAL_ZONE), 0);
    silent.recordProbeSent(-20 * MILLI_NANOS);
    assertTrue(select(request(1), unknown, silent).uncertain());
    assertFalse(select(request(1), unknown, silent).full(), "there is no sample of a full target");
    assertFalse(select(request(1), unknown, target("free", LOCAL_ZONE, 0, 100)).uncertain());
  }

  @Test
  public void largeBodiesStayInTheRegion() {
    assertEquals(
        selectedId(
            request(60), target("near", LOCAL_ZONE, 2, 200), target("far", OTHER_REGION, 0, 100)),
        "near");
    assertEquals(
        selectedId(
            request(1), target("near", LOCAL_ZONE, 2, 400), target("far", OTHER_REGION, 0, 100)),
        "far");
  }

  @Test
  public void coldAndSuspendedTargetsAreSelectedLast() {
    TrackedTarget cold = new TrackedTarget(TestTargets.cold("cold", Duration.ofSeconds(3)), 0);
    cold.recordSample(new LoadSample(0, 0, 2, 100), 0);
    assertEquals(selectedId(request(1), cold, target("slow", LOCAL_ZONE, 2, 200)), "slow");
    TrackedTarget failing = target("failing", LOCAL_ZONE, 0, 100);
    failing.recordFailure(0);
    assertEquals(selectedId(request(1), failing, target("slow", LOCAL_ZONE, 2, 200)), "slow");
    assertEquals(selectedId(request(1), failing), "failing");
  }

  @Test
  public void sendsSinceTheLastSampleCountAsLoad() {
    TrackedTarget used = target("used", LOCAL_ZONE, 0, 100);
    used.recordSend();
    used.recordSend();
    assertEquals(selectedId(request(1), used, target("free", NEXT_ZONE, 0, 100)), "free");
  }

  @Test
  public void onlyNearestTargetsWithoutFreshSampleAreProbed() {
    TrackedTarget fresh = target("fresh", LOCAL_ZONE, 0, 100);
    TrackedTarget stale = new TrackedTarget(TestTargets.at("stale", NEXT_ZONE), 0);
    TrackedTarget far = new TrackedTarget(TestTargets.at("far", OTHER_REGION), 0);
    assertEquals(selector.targetsToProbe(List.of(fresh, stale, far), 1), List.of(stale));
    assertEquals(selector.targetsToProbe(List.of(far), 1), List.of(far));
  }

  private boolean idleAndNearest(TrackedTarget target, TrackedTarget... others) {
    List<TrackedTarget> probed = new ArrayList<>(List.of(others));
    probed.add(target);
    return selector.idleAndNearest(target, probed, 1);
  }

  @Test
  public void idleAndNearestRequiresNoLoadAndNoSlowdown() {
    assertTrue(idleAndNearest(target("a", LOCAL_ZONE, 0, 100)));
    assertFalse(idleAndNearest(target("a", LOCAL_ZONE, 1, 100)));
    assertFalse(idleAndNearest(target("a", LOCAL_ZONE, 0, 150)));
  }

  /** A route whose home regions are all remote waited for its slowest probe on each call. */
  @Test
  public void idleTargetNeedNotBeInTheSameZone() {
    TrackedTarget remote = target("remote", OTHER_REGION, 0, 100);
    assertTrue(idleAndNearest(remote, target("other", OTHER_REGION, 2, 100)));
    assertFalse(idleAndNearest(remote, target("near", NEXT_ZONE, 2, 100)));
    assertFalse(
        idleAndNearest(target("next", NEXT_ZONE, 0, 100), target("near", LOCAL_ZONE, 2, 100)));
  }
}
