package org.radishpost.routing;

import static org.radishpost.routing.RoutingFixture.MILLI_NANOS;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.radishpost.lib.CallInfo;
import org.radishpost.lib.GatewayName;
import org.radishpost.lib.Place;
import org.radishpost.lib.PoolId;
import org.radishpost.lib.RequestKind;
import org.radishpost.pool.HandBackReason;
import org.radishpost.pool.PoolView;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the choice between pools that are slow, full, unreachable or distant. */
public class LocalityPoolChooserTest {
  private static final PoolId OWN_ZONE = pool(0);
  private static final PoolId OWN_REGION = pool(1);
  private static final PoolId OTHER_REGION = pool(2);
  private static final long DEADLINE_NANOS = 10_000 * MILLI_NANOS;
  private static final int CALLS = 400;
  private LocalityPoolChooser chooser;
  private Set<PoolId> candidates;

  /** Creates a chooser that has received a view of each pool without queue wait. */
  @BeforeMethod
  public void createChooserWithFreePools() {
    chooser =
        new LocalityPoolChooser(
            RoutingFixture.PLACES.getFirst(),
            LinkCosts.DEFAULT,
            pool -> 4,
            new SplittableRandom(1));
    candidates = new LinkedHashSet<>(List.of(OWN_ZONE, OWN_REGION, OTHER_REGION));
    candidates.forEach(pool -> reportWait(pool, 0));
  }

  @Test
  public void ownZoneIsChosenWhileItIsFree() {
    assertEquals(shareOf(OWN_ZONE, RequestKind.READ), 1.0);
  }

  @Test
  public void callsSpillInProportionToTheCostAdvantage() {
    reportWait(OWN_ZONE, 30);
    double toRegion = shareOf(OWN_REGION, RequestKind.READ);
    assertTrue(toRegion > 0.5 && toRegion < 0.85, "" + toRegion);
    reportWait(OWN_REGION, 300);
    reportWait(OWN_ZONE, 300);
    assertTrue(shareOf(OTHER_REGION, RequestKind.READ) > 0.8);
  }

  @Test
  public void uploadLeavesTheRegionOnlyWhenAllItsPoolsAreAvoided() {
    reportWait(OWN_ZONE, 300);
    reportWait(OWN_REGION, 300);
    assertEquals(shareOf(OTHER_REGION, RequestKind.UPLOAD), 0.0);
    chooser.callHandedBack(OWN_ZONE, HandBackReason.QUEUE_FULL, 0);
    chooser.callHandedBack(OWN_REGION, HandBackReason.NO_TARGET, 0);
    assertEquals(shareOf(OTHER_REGION, RequestKind.UPLOAD), 1.0);
  }

  @Test
  public void largeBodiesStayInTheRegion() {
    reportWait(OWN_ZONE, 60);
    candidates.remove(OWN_REGION);
    double small = shareOf(OTHER_REGION, RequestKind.READ, 100);
    assertTrue(small > 0.4, "" + small);
    assertEquals(shareOf(OTHER_REGION, RequestKind.READ, 3_000_000), 0.0);
  }

  @Test
  public void fullPoolIsAvoidedBrieflyAndThenChosenAgain() {
    chooser.callHandedBack(OWN_ZONE, HandBackReason.QUEUE_FULL, 0);
    assertEquals(choose(Set.of(), MILLI_NANOS).orElseThrow(), OWN_REGION);
    assertEquals(choose(Set.of(), 40 * MILLI_NANOS).orElseThrow(), OWN_ZONE);
  }

  @Test
  public void handedBackCallIsNotSentToOtherFullPools() {
    candidates.forEach(pool -> chooser.callHandedBack(pool, HandBackReason.QUEUE_FULL, 0));
    assertEquals(choose(Set.of(), MILLI_NANOS).orElseThrow(), OWN_ZONE);
    assertEquals(choose(Set.of(OWN_ZONE), MILLI_NANOS), Optional.empty());
  }

  @Test
  public void unreachablePoolIsChosenLast() {
    chooser.ownerUnreachable(OWN_ZONE, 0);
    chooser.callHandedBack(OWN_REGION, HandBackReason.QUEUE_FULL, 0);
    chooser.callHandedBack(OTHER_REGION, HandBackReason.QUEUE_FULL, 0);
    assertEquals(choose(Set.of(), MILLI_NANOS).orElseThrow(), OWN_REGION);
    reportWait(OWN_ZONE, 0);
    assertEquals(choose(Set.of(), MILLI_NANOS).orElseThrow(), OWN_ZONE);
  }

  @Test
  public void reportedWaitDecaysWithAge() {
    reportWait(OWN_ZONE, 300);
    assertEquals(choose(Set.of(), 4_000 * MILLI_NANOS).orElseThrow(), OWN_ZONE);
  }

  @Test
  public void poolBeyondTheDeadlineIsNotChosen() {
    candidates = Set.of(OTHER_REGION);
    CallInfo call = RoutingFixture.call(RequestKind.READ, 0, 16 * MILLI_NANOS);
    assertEquals(chooser.choose(call, candidates, Set.of(), 0), Optional.empty());
  }

  private Optional<PoolId> choose(Set<PoolId> tried, long nowNanos) {
    CallInfo call = RoutingFixture.call(RequestKind.READ, 0, DEADLINE_NANOS);
    return chooser.choose(call, candidates, tried, nowNanos);
  }

  private double shareOf(PoolId pool, RequestKind kind) {
    return shareOf(pool, kind, 0);
  }

  private double shareOf(PoolId pool, RequestKind kind, long bodyBytes) {
    int chosenCount = 0;
    for (int i = 0; i < CALLS; i++) {
      CallInfo call = RoutingFixture.call(kind, bodyBytes, DEADLINE_NANOS);
      Optional<PoolId> chosen = chooser.choose(call, candidates, Set.of(), 0);
      chosenCount += chosen.equals(Optional.of(pool)) ? 1 : 0;
    }
    return (double) chosenCount / CALLS;
  }

  private void reportWait(PoolId pool, long waitMillis) {
    long wait = waitMillis * MILLI_NANOS;
    int free = 1_000_000;
    chooser.viewReceived(new PoolView(pool, free, 0, 0, wait, 10 * MILLI_NANOS, 1), 0);
  }

  private static PoolId pool(int place) {
    Place poolPlace = RoutingFixture.PLACES.get(place);
    return new PoolId(new GatewayName("g"), RoutingFixture.ARCHIVE, poolPlace, 0);
  }
}
