package org.radishpost.pool;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.radishpost.lib.Digest;
import org.radishpost.lib.Place;
import org.radishpost.lib.PoolId;
import org.radishpost.manifest.ServiceSpec;
import org.radishpost.manifest.TargetSpec;
import org.testng.annotations.Test;

/** Targets that fail in every way that the pool must cope with. */
public class TargetFaultTest {
  private static final int TARGETS = 6;
  private static final long GAP = PoolFixture.MILLI;

  @Test
  public void quickErrorsAttractNoLoadEvenWhenNothingMayBeEjected() {
    PoolWorld world = warmWorld(0);
    FakeTarget failing = world.target(0);
    failing.mode = FakeTarget.Mode.ERRORS;
    int before = failing.calls;
    world.load(2 * PoolFixture.SECOND, GAP);
    int perTarget = 2_000 / TARGETS;
    assertTrue(failing.calls - before < perTarget / 2, "got " + (failing.calls - before));
  }

  @Test
  public void refusingTargetIsEjectedWithGrowingPausesAndComesBackCold() {
    PoolWorld world = warmWorld(40);
    FakeTarget target = world.target(0);
    target.mode = FakeTarget.Mode.REFUSES;
    world.load(200 * PoolFixture.MILLI, GAP);
    assertEquals(world.state(0, 0), TargetState.EJECTED);
    int before = target.calls;
    world.load(10 * PoolFixture.SECOND, GAP);
    assertTrue(target.calls - before <= 10, "got " + (target.calls - before));
    target.mode = FakeTarget.Mode.GOOD;
    world.load(20 * PoolFixture.SECOND, GAP);
    assertEquals(world.state(0, 0), TargetState.WARM);
  }

  @Test
  public void ejectionNeverTakesMoreThanItsShare() {
    PoolWorld world = warmWorld(40);
    world.targets.values().forEach(t -> t.mode = FakeTarget.Mode.ERRORS);
    world.load(3 * PoolFixture.SECOND, GAP);
    long ejected =
        world.owners.getFirst().targets(world.now).stream()
            .filter(t -> t.state() == TargetState.EJECTED)
            .count();
    assertEquals(ejected, 2);
    assertEquals(world.faults, List.of());
  }

  @Test
  public void zonesOfOneServiceShareItsEjections() {
    List<TargetSpec> specs = new ArrayList<>();
    int[] sizes = {5, 4, 4};
    for (int zone = 0; zone < sizes.length; zone++) {
      for (int i = 0; i < sizes[zone]; i++) {
        Place place = Place.of("granite-belt", "zone-" + zone);
        specs.add(new TargetSpec(PoolFixture.address(specs.size()), place, 2, 240));
      }
    }
    ServiceSpec base = PoolFixture.service(1, 2, 30);
    ServiceSpec service =
        new ServiceSpec(base.name(), specs, base.coldStart(), base.probe(), base.ejectPercent());
    int sum = 0;
    for (int zone = 0; zone < sizes.length; zone++) {
      Place place = Place.of("granite-belt", "zone-" + zone);
      List<TargetSpec> own = specs.stream().filter(t -> t.place().equals(place)).toList();
      PoolId pool = new PoolId(PoolFixture.GATEWAY, PoolFixture.SERVICE, place, 0);
      sum += EjectionQuota.of(pool, service, own);
    }
    assertEquals(sum, 3);
  }

  @Test
  public void warmTargetThatTurnsColdUnannouncedIsLimitedAndComesBack() {
    PoolWorld world = warmWorld(0);
    FakeTarget target = world.target(0);
    target.mode = FakeTarget.Mode.SLOW;
    world.load(2 * PoolFixture.SECOND, GAP);
    int before = target.calls;
    world.load(PoolFixture.SECOND, GAP);
    assertTrue(target.calls - before <= 60, "got " + (target.calls - before));
    target.mode = FakeTarget.Mode.GOOD;
    world.load(PoolFixture.SECOND, GAP);
    assertEquals(world.state(0, 0), TargetState.WARM);
  }

  @Test
  public void sheddingTargetIsTreatedAsCold() {
    PoolWorld world = warmWorld(0);
    FakeTarget target = world.target(0);
    target.mode = FakeTarget.Mode.SHEDS;
    int before = target.calls;
    world.load(PoolFixture.SECOND, GAP);
    assertTrue(target.calls - before <= 25, "got " + (target.calls - before));
  }

  @Test
  public void newIncarnationMakesTheTargetColdAtOnce() {
    PoolWorld world = warmWorld(0);
    world.target(0).restart(world.now);
    world.load(100 * PoolFixture.MILLI, GAP);
    assertTrue(world.state(0, 0) != TargetState.WARM);
  }

  @Test
  public void newOwnerOfWarmTargetsHasTheirSlotsAfterFewAnswers() {
    PoolWorld world = warmWorld(0);
    world.replaceOwner(0);
    world.load(100 * PoolFixture.MILLI, GAP);
    assertEquals(world.owners.getFirst().view(world.now).slots(), 2 * TARGETS);
  }

  @Test
  public void targetThatSaysItDrainsGetsNoNewWorkUntilItStartsAnew() {
    PoolWorld world = warmWorld(0);
    FakeTarget target = world.target(0);
    target.draining = true;
    world.load(50 * PoolFixture.MILLI, GAP);
    int before = target.calls;
    world.load(3 * PoolFixture.SECOND, GAP);
    assertEquals(target.calls, before);
    target.draining = false;
    target.restart(world.now);
    world.load(3 * PoolFixture.SECOND, GAP);
    assertTrue(target.calls > before);
  }

  @Test
  public void requestThatCrashesTargetsIsCondemnedAndItsNeighboursAreNot() {
    PoolWorld world = warmWorld(0);
    Digest killer = Digest.of("request 900000");
    for (int i = 0; i < 12; i++) {
      crashBeside(world, i);
    }
    assertTrue(world.suspects.condemned(killer, world.now));
    for (int i = 0; i < 12; i++) {
      Digest neighbour = Digest.of("request " + (910_000 + i));
      assertTrue(!world.suspects.condemned(neighbour, world.now), "neighbour " + i);
    }
    int before = world.handBacks.getOrDefault(HandBackReason.SUSPECT, 0);
    world.offer(0, PoolFixture.call(900_000, "a", 1, world.now + PoolFixture.SECOND));
    assertEquals((int) world.handBacks.get(HandBackReason.SUSPECT), before + 1);
  }

  @Test
  public void callsThatDieTogetherShareTheBlame() {
    PoolWorld world = new PoolWorld(1, PoolFixture.service(1, 2, 0), 1, ColdLimits.OWNERS);
    Digest first = Digest.of("request 900000");
    for (int crash = 1; crash <= 6; crash++) {
      world.load(8 * PoolFixture.SECOND, 10 * GAP);
      world.run(world.now + PoolFixture.SECOND);
      world.offer(0, PoolFixture.call(900_000, "a", 1, world.now + PoolFixture.SECOND));
      world.offer(0, PoolFixture.call(900_001, "a", 1, world.now + PoolFixture.SECOND));
      assertEquals(world.target(0).running.size(), 2);
      world.restartTarget(world.target(0));
      assertEquals(world.suspects.condemned(first, world.now), crash == 6);
    }
  }

  private static void crashBeside(PoolWorld world, int round) {
    long deadline = world.now + PoolFixture.SECOND;
    world.offer(0, PoolFixture.call(900_000, "a", 1, deadline));
    for (int i = 0; i < TARGETS; i++) {
      long id = 910_000 + (round + i) % 12;
      world.offer(0, PoolFixture.call(id, "a", 1, deadline));
    }
    for (FakeTarget target : world.targets.values()) {
      boolean runsKiller =
          target.running.stream().anyMatch(c -> c.send().call().id().value() == 900_000);
      if (runsKiller) {
        world.restartTarget(target);
      }
    }
    world.run(world.now + 200 * PoolFixture.MILLI);
  }

  private static PoolWorld warmWorld(int ejectPercent) {
    ServiceSpec service = PoolFixture.service(TARGETS, 2, ejectPercent);
    PoolWorld world = new PoolWorld(1, service, 1, ColdLimits.OWNERS);
    world.load(2 * PoolFixture.SECOND, GAP);
    for (int i = 0; i < TARGETS; i++) {
      assertEquals(world.state(0, i), TargetState.WARM);
    }
    return world;
  }
}
