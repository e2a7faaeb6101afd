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

/** Tests the reaction of a pool to each kind of target failure. */
public class TargetFaultTest {
  private static final int TARGETS = 6;
  private static final long CALL_INTERVAL_NANOS = PoolFixture.NANOS_PER_MILLI;

  @Test
  public void fastErrorsAttractNoLoadWhenEjectionIsDisabled() {
    PoolSimulation simulation = warmSimulation(0);
    FakeTarget failing = simulation.target(0);
    failing.mode = FakeTarget.Mode.ERRORS;
    int before = failing.receivedCalls;
    simulation.offerLoad(2 * PoolFixture.NANOS_PER_SECOND, CALL_INTERVAL_NANOS);
    int perTarget = 2_000 / TARGETS;
    assertTrue(
        failing.receivedCalls - before < perTarget / 2,
        "calls received: " + (failing.receivedCalls - before));
  }

  @Test
  public void refusingTargetIsEjectedWithBackoffAndRecovers() {
    PoolSimulation simulation = warmSimulation(40);
    FakeTarget target = simulation.target(0);
    target.mode = FakeTarget.Mode.REFUSES_CONNECTIONS;
    simulation.offerLoad(200 * PoolFixture.NANOS_PER_MILLI, CALL_INTERVAL_NANOS);
    assertEquals(simulation.state(0, 0), TargetState.EJECTED);
    int before = target.receivedCalls;
    simulation.offerLoad(10 * PoolFixture.NANOS_PER_SECOND, CALL_INTERVAL_NANOS);
    assertTrue(
        target.receivedCalls - before <= 10, "calls received: " + (target.receivedCalls - before));
    target.mode = FakeTarget.Mode.HEALTHY;
    simulation.offerLoad(20 * PoolFixture.NANOS_PER_SECOND, CALL_INTERVAL_NANOS);
    assertEquals(simulation.state(0, 0), TargetState.WARM);
  }

  @Test
  public void ejectedTargetsStayWithinTheQuota() {
    PoolSimulation simulation = warmSimulation(40);
    simulation.targets.values().forEach(t -> t.mode = FakeTarget.Mode.ERRORS);
    simulation.offerLoad(3 * PoolFixture.NANOS_PER_SECOND, CALL_INTERVAL_NANOS);
    long ejected =
        simulation.owners.getFirst().targetStatuses(simulation.nowNanos).stream()
            .filter(t -> t.state() == TargetState.EJECTED)
            .count();
    assertEquals(ejected, 2);
    assertEquals(simulation.violations, List.of());
  }

  @Test
  public void zonesOfOneServiceShareItsEjectionQuota() {
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
      sum += EjectionQuota.maxEjectedTargets(pool, service, own);
    }
    assertEquals(sum, 3);
  }

  @Test
  public void warmTargetThatSlowsDownWithoutReportIsLimitedAndRecovers() {
    PoolSimulation simulation = warmSimulation(0);
    FakeTarget target = simulation.target(0);
    target.mode = FakeTarget.Mode.SLOW;
    simulation.offerLoad(2 * PoolFixture.NANOS_PER_SECOND, CALL_INTERVAL_NANOS);
    int before = target.receivedCalls;
    simulation.offerLoad(PoolFixture.NANOS_PER_SECOND, CALL_INTERVAL_NANOS);
    assertTrue(
        target.receivedCalls - before <= 60, "calls received: " + (target.receivedCalls - before));
    target.mode = FakeTarget.Mode.HEALTHY;
    simulation.offerLoad(PoolFixture.NANOS_PER_SECOND, CALL_INTERVAL_NANOS);
    assertEquals(simulation.state(0, 0), TargetState.WARM);
  }

  @Test
  public void sheddingTargetIsTreatedAsCold() {
    PoolSimulation simulation = warmSimulation(0);
    FakeTarget target = simulation.target(0);
    target.mode = FakeTarget.Mode.SHEDS;
    int before = target.receivedCalls;
    simulation.offerLoad(PoolFixture.NANOS_PER_SECOND, CALL_INTERVAL_NANOS);
    assertTrue(
        target.receivedCalls - before <= 25, "calls received: " + (target.receivedCalls - before));
  }

  @Test
  public void newIncarnationMakesTheTargetColdImmediately() {
    PoolSimulation simulation = warmSimulation(0);
    simulation.target(0).restart(simulation.nowNanos);
    simulation.offerLoad(100 * PoolFixture.NANOS_PER_MILLI, CALL_INTERVAL_NANOS);
    assertTrue(simulation.state(0, 0) != TargetState.WARM);
  }

  @Test
  public void newOwnerUsesAllSlotsOfWarmTargetsAfterFewResponses() {
    PoolSimulation simulation = warmSimulation(0);
    simulation.replaceOwner(0);
    simulation.offerLoad(100 * PoolFixture.NANOS_PER_MILLI, CALL_INTERVAL_NANOS);
    assertEquals(simulation.owners.getFirst().view(simulation.nowNanos).slots(), 2 * TARGETS);
  }

  @Test
  public void targetThatReportsDrainingGetsNoNewCallsUntilItRestarts() {
    PoolSimulation simulation = warmSimulation(0);
    FakeTarget target = simulation.target(0);
    target.draining = true;
    simulation.offerLoad(50 * PoolFixture.NANOS_PER_MILLI, CALL_INTERVAL_NANOS);
    int before = target.receivedCalls;
    simulation.offerLoad(3 * PoolFixture.NANOS_PER_SECOND, CALL_INTERVAL_NANOS);
    assertEquals(target.receivedCalls, before);
    target.draining = false;
    target.restart(simulation.nowNanos);
    simulation.offerLoad(3 * PoolFixture.NANOS_PER_SECOND, CALL_INTERVAL_NANOS);
    assertTrue(target.receivedCalls > before);
  }

  @Test
  public void requestThatCrashesTargetsIsBlockedAndConcurrentRequestsAreNot() {
    PoolSimulation simulation = warmSimulation(0);
    Digest crashingRequest = Digest.of("request 900000");
    for (int i = 0; i < 12; i++) {
      crashTargetOfRequest(simulation, i);
    }
    assertTrue(simulation.suspects.isBlocked(crashingRequest, simulation.nowNanos));
    for (int i = 0; i < 12; i++) {
      Digest concurrent = Digest.of("request " + (910_000 + i));
      assertTrue(
          !simulation.suspects.isBlocked(concurrent, simulation.nowNanos),
          "concurrent request " + i);
    }
    int before = simulation.handBacks.getOrDefault(HandBackReason.SUSPECT, 0);
    simulation.offer(
        0, PoolFixture.call(900_000, "a", 1, simulation.nowNanos + PoolFixture.NANOS_PER_SECOND));
    assertEquals((int) simulation.handBacks.get(HandBackReason.SUSPECT), before + 1);
  }

  @Test
  public void callsLostInOneCrashShareItsPoints() {
    PoolSimulation simulation =
        new PoolSimulation(
            1, PoolFixture.service(1, 2, 0), 1, ColdStartLimits.MAX_CONCURRENT_OWNERS);
    Digest first = Digest.of("request 900000");
    for (int crash = 1; crash <= 6; crash++) {
      simulation.offerLoad(8 * PoolFixture.NANOS_PER_SECOND, 10 * CALL_INTERVAL_NANOS);
      simulation.runUntil(simulation.nowNanos + PoolFixture.NANOS_PER_SECOND);
      simulation.offer(
          0, PoolFixture.call(900_000, "a", 1, simulation.nowNanos + PoolFixture.NANOS_PER_SECOND));
      simulation.offer(
          0, PoolFixture.call(900_001, "a", 1, simulation.nowNanos + PoolFixture.NANOS_PER_SECOND));
      assertEquals(simulation.target(0).running.size(), 2);
      simulation.restartTarget(simulation.target(0));
      assertEquals(simulation.suspects.isBlocked(first, simulation.nowNanos), crash == 6);
    }
  }

  private static void crashTargetOfRequest(PoolSimulation simulation, int round) {
    long deadlineNanos = simulation.nowNanos + PoolFixture.NANOS_PER_SECOND;
    simulation.offer(0, PoolFixture.call(900_000, "a", 1, deadlineNanos));
    for (int i = 0; i < TARGETS; i++) {
      long id = 910_000 + (round + i) % 12;
      simulation.offer(0, PoolFixture.call(id, "a", 1, deadlineNanos));
    }
    for (FakeTarget target : simulation.targets.values()) {
      boolean runsCrashingRequest =
          target.running.stream().anyMatch(c -> c.send().call().id().value() == 900_000);
      if (runsCrashingRequest) {
        simulation.restartTarget(target);
      }
    }
    simulation.runUntil(simulation.nowNanos + 200 * PoolFixture.NANOS_PER_MILLI);
  }

  private static PoolSimulation warmSimulation(int ejectPercent) {
    ServiceSpec service = PoolFixture.service(TARGETS, 2, ejectPercent);
    PoolSimulation simulation =
        new PoolSimulation(1, service, 1, ColdStartLimits.MAX_CONCURRENT_OWNERS);
    simulation.offerLoad(2 * PoolFixture.NANOS_PER_SECOND, CALL_INTERVAL_NANOS);
    for (int i = 0; i < TARGETS; i++) {
      assertEquals(simulation.state(0, i), TargetState.WARM);
    }
    return simulation;
  }
}
