package org.radishpost.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.radishpost.lib.CallInfo;
import org.radishpost.lib.Distance;
import org.radishpost.lib.GatewayName;
import org.radishpost.lib.Place;
import org.radishpost.lib.PoolId;
import org.radishpost.lib.RequestKind;
import org.radishpost.pool.HandBackReason;
import org.radishpost.pool.PoolView;
import org.testng.annotations.Test;

/**
 * Tests with random schedules that no pool chooser selects a pool outside the home regions of a
 * call. {@code -Dseeds=N} sets the number of schedules.
 */
public class HomeRegionTest {
  private static final int SEEDS = Integer.getInteger("seeds", 40);
  private static final int STEPS = 2_000;
  private static final Place LOCAL_PLACE = RoutingFixture.PLACES.getFirst();
  private static final List<PoolId> POOLS = pools();

  private final Set<Distance> distances = EnumSet.noneOf(Distance.class);
  private boolean noneChosen;

  @Test
  public void localityChooserStaysWithinTheHomeRegions() {
    for (int seed = 1; seed <= SEEDS; seed++) {
      SplittableRandom random = new SplittableRandom(seed);
      PoolChooser chooser =
          new LocalityPoolChooser(LOCAL_PLACE, LinkCosts.DEFAULT, pool -> 4, random.split());
      assertEquals(firstViolation(chooser, random), "", "seed " + seed);
    }
    assertEquals(distances, EnumSet.allOf(Distance.class));
    assertEquals(noneChosen, true);
  }

  @Test
  public void proportionalChooserStaysWithinTheHomeRegions() {
    for (int seed = 1; seed <= SEEDS; seed++) {
      SplittableRandom random = new SplittableRandom(seed);
      PoolChooser chooser = new ProportionalPoolChooser(LOCAL_PLACE, pool -> 4, random.split());
      assertEquals(firstViolation(chooser, random), "", "seed " + seed);
    }
  }

  @Test
  public void checkDetectsChooserThatIgnoresHomeRegions() {
    SplittableRandom random = new SplittableRandom(1);
    PoolChooser chooser =
        new ChooserIgnoringHomeRegions(
            new LocalityPoolChooser(LOCAL_PLACE, LinkCosts.DEFAULT, pool -> 4, random.split()));
    assertNotEquals(firstViolation(chooser, random), "");
  }

  /** Runs one schedule and returns a description of the first violation, or an empty string. */
  private String firstViolation(PoolChooser chooser, SplittableRandom random) {
    long nowNanos = 0;
    for (int step = 0; step < STEPS; step++) {
      nowNanos += random.nextLong(20 * RoutingFixture.MILLI_NANOS);
      sendRandomNotification(chooser, random, nowNanos);
      CallInfo call = call(random, nowNanos);
      Set<PoolId> candidates = randomSubset(random, 0.9);
      Set<PoolId> tried = random.nextBoolean() ? Set.of() : randomSubset(random, 0.3);
      Optional<PoolId> chosen = chooser.choose(call, candidates, tried, nowNanos);
      noneChosen |= chosen.isEmpty();
      if (chosen.isEmpty()) {
        continue;
      }
      PoolId pool = chosen.get();
      distances.add(LOCAL_PLACE.distanceTo(pool.place()));
      if (!call.allowsRegion(pool.place().region())
          || tried.contains(pool)
          || !candidates.contains(pool)) {
        return "step " + step + ": " + pool + " for " + call + ", tried " + tried;
      }
    }
    return "";
  }

  private static void sendRandomNotification(
      PoolChooser chooser, SplittableRandom random, long nowNanos) {
    PoolId pool = POOLS.get(random.nextInt(POOLS.size()));
    HandBackReason[] reasons = HandBackReason.values();
    switch (random.nextInt(4)) {
      case 0 -> chooser.ownerUnreachable(pool, nowNanos);
      case 1 -> chooser.callHandedBack(pool, reasons[random.nextInt(reasons.length)], nowNanos);
      default -> {
        int slots = random.nextInt(5);
        long wait = random.nextLong(100 * RoutingFixture.MILLI_NANOS);
        long service = random.nextLong(40 * RoutingFixture.MILLI_NANOS);
        chooser.viewReceived(new PoolView(pool, slots, slots, 3, wait, service, 1), nowNanos);
      }
    }
  }

  private static CallInfo call(SplittableRandom random, long nowNanos) {
    RequestKind[] kinds = RequestKind.values();
    String[][] homes = {{}, {"kozep"}, {"kelet"}, {"kelet", "nyugat"}, {"elsewhere"}};
    long deadline = nowNanos + random.nextLong(60 * RoutingFixture.MILLI_NANOS);
    return RoutingFixture.call(
        kinds[random.nextInt(kinds.length)],
        random.nextInt(100_000) - 1,
        deadline,
        homes[random.nextInt(homes.length)]);
  }

  private static Set<PoolId> randomSubset(SplittableRandom random, double share) {
    Set<PoolId> subset = new LinkedHashSet<>(POOLS);
    subset.removeIf(pool -> random.nextDouble() > share);
    return subset;
  }

  private static List<PoolId> pools() {
    List<PoolId> pools = new ArrayList<>();
    for (Place place : RoutingFixture.PLACES) {
      for (int shard = 0; shard < 2; shard++) {
        pools.add(new PoolId(new GatewayName("g"), RoutingFixture.ARCHIVE, place, shard));
      }
    }
    return pools;
  }

  /** Hides the home regions from a chooser; the check must detect the resulting violation. */
  private record ChooserIgnoringHomeRegions(PoolChooser chooser) implements PoolChooser {
    @Override
    public Optional<PoolId> choose(
        CallInfo call, Set<PoolId> candidates, Set<PoolId> tried, long nowNanos) {
      CallInfo anywhere = RoutingFixture.call(call.kind(), call.bodyBytes(), call.deadlineNanos());
      return chooser.choose(anywhere, candidates, new HashSet<>(tried), nowNanos);
    }

    @Override
    public void viewReceived(PoolView view, long nowNanos) {
      chooser.viewReceived(view, nowNanos);
    }

    @Override
    public void callHandedBack(PoolId pool, HandBackReason reason, long nowNanos) {
      chooser.callHandedBack(pool, reason, nowNanos);
    }

    @Override
    public void ownerUnreachable(PoolId pool, long nowNanos) {
      chooser.ownerUnreachable(pool, nowNanos);
    }
  }
}
