package org.radishpost.pool;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.radishpost.lib.CallId;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** The queue, the slots and the hand-backs of an owner's pool. */
public class OwnerPoolTest {
  private static final long FAR = 3_600 * PoolFixture.SECOND;

  private final List<PoolAction> out = new ArrayList<>();
  private OwnerPool pool;
  private long now;
  private long nextId;

  /** Starts each test with a new pool. */
  @BeforeMethod
  public void createPool() {
    out.clear();
    now = 0;
    nextId = 0;
    pool =
        new OwnerPool(
            PoolFixture.POOL,
            new PoolLimits(4, 4, 1),
            new SplittableRandom(1),
            PoolFixture.suspects(),
            () -> 7);
  }

  @Test
  public void coldTargetGetsHalfOfItsLimitAndNoCallAhead() {
    configure(1);
    offer(3);
    assertEquals(sends().size(), 1);
    assertEquals(pool.view(now).queued(), 2);
  }

  @Test
  public void warmTargetGetsItsSlotsAndOneCallAhead() {
    configure(1);
    warm();
    out.clear();
    offer(5);
    assertEquals(sends().size(), 3);
    assertEquals(pool.view(now).queued(), 2);
    assertEquals(pool.view(now).configVersion(), 7);
  }

  @Test
  public void fullQueueHandsTheLightestCallBack() {
    configure(1);
    offer(5);
    pool.offer(PoolFixture.call(100, "a", 9, FAR), now, out::add);
    assertEquals(handBacks(HandBackReason.QUEUE_FULL), List.of(new CallId(4)));
  }

  @Test
  public void releasedPoolHandsQueuedCallsBackAndEndsSentOnes() {
    configure(1);
    offer(2);
    pool.release(now, out::add);
    assertEquals(handBacks(HandBackReason.NOT_OWNER), List.of(new CallId(1)));
    pool.ended(new CallId(0), PoolFixture.answer(PoolFixture.MILLI, "i", 100), now, out::add);
    assertEquals(pool.view(now).running(), 0);
  }

  @Test
  public void targetThatLeavesTheListGetsNoNewWork() {
    configure(1);
    offer(2);
    pool.configure(PoolFixture.service(1, 2, 0), List.of(), now, out::add);
    assertEquals(handBacks(HandBackReason.NO_TARGET), List.of(new CallId(1)));
    assertEquals(sends().size(), 1);
    pool.ended(new CallId(0), PoolFixture.answer(PoolFixture.MILLI, "i", 100), now, out::add);
    assertTrue(pool.targets(now).isEmpty());
  }

  @Test
  public void callersWithShortDeadlinesDoNotEjectTargets() {
    configure(2);
    for (int i = 0; i < 40; i++) {
      offer(1);
      now += PoolFixture.MILLI;
      CallId call = new CallId(nextId - 1);
      TargetOutcome good = PoolFixture.answer(PoolFixture.MILLI, "i", 100);
      pool.ended(call, i < 20 ? good : new TargetOutcome.TimedOut(), now, out::add);
    }
    assertTrue(
        pool.targets(now).stream().noneMatch(t -> t.state() == TargetState.EJECTED),
        pool.targets(now).toString());
  }

  private void configure(int targets) {
    var service = PoolFixture.service(targets, 2, 50);
    pool.configure(service, service.targets(), now, out::add);
  }

  private void offer(int calls) {
    for (int i = 0; i < calls; i++) {
      pool.offer(PoolFixture.call(nextId++, "a", 1, FAR), now, out::add);
    }
  }

  private void warm() {
    for (int i = 0; i < 3; i++) {
      offer(1);
      now += PoolFixture.MILLI;
      CallId call = new CallId(nextId - 1);
      pool.ended(call, PoolFixture.answer(PoolFixture.MILLI, "i", 100), now, out::add);
    }
  }

  private List<PoolAction.Send> sends() {
    return out.stream()
        .filter(PoolAction.Send.class::isInstance)
        .map(PoolAction.Send.class::cast)
        .toList();
  }

  private List<CallId> handBacks(HandBackReason reason) {
    return out.stream()
        .filter(PoolAction.HandBack.class::isInstance)
        .map(PoolAction.HandBack.class::cast)
        .filter(back -> back.reason() == reason)
        .map(PoolAction.HandBack::call)
        .toList();
  }
}
