package org.radishpost.pool;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.radishpost.lib.CallId;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the queue, the slots and the hand-backs of an {@link OwnerPool}. */
public class OwnerPoolTest {
  private static final long FAR_DEADLINE_NANOS = 3_600 * PoolFixture.NANOS_PER_SECOND;

  private final List<PoolAction> actions = new ArrayList<>();
  private OwnerPool pool;
  private long nowNanos;
  private long nextId;

  /** Creates a new pool for each test. */
  @BeforeMethod
  public void createPool() {
    actions.clear();
    nowNanos = 0;
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
  public void coldTargetGetsHalfOfItsLimitAndNoExtraCall() {
    configure(1);
    offer(3);
    assertEquals(sends().size(), 1);
    assertEquals(pool.view(nowNanos).queued(), 2);
  }

  @Test
  public void warmTargetGetsOneCallMoreThanItsSlots() {
    configure(1);
    warmUpTarget();
    actions.clear();
    offer(5);
    assertEquals(sends().size(), 3);
    assertEquals(pool.view(nowNanos).queued(), 2);
    assertEquals(pool.view(nowNanos).configVersion(), 7);
  }

  @Test
  public void fullQueueHandsBackTheLightestCall() {
    configure(1);
    offer(5);
    pool.offer(PoolFixture.call(100, "a", 9, FAR_DEADLINE_NANOS), nowNanos, actions::add);
    assertEquals(handBacks(HandBackReason.QUEUE_FULL), List.of(new CallId(4)));
  }

  @Test
  public void releaseHandsBackQueuedCallsAndLetsSentCallsEnd() {
    configure(1);
    offer(2);
    pool.release(nowNanos, actions::add);
    assertEquals(handBacks(HandBackReason.NOT_OWNER), List.of(new CallId(1)));
    pool.callEnded(
        new CallId(0),
        PoolFixture.response(PoolFixture.NANOS_PER_MILLI, "i", 100),
        nowNanos,
        actions::add);
    assertEquals(pool.view(nowNanos).running(), 0);
  }

  @Test
  public void targetRemovedFromConfigurationGetsNoNewCalls() {
    configure(1);
    offer(2);
    pool.configure(PoolFixture.service(1, 2, 0), List.of(), nowNanos, actions::add);
    assertEquals(handBacks(HandBackReason.NO_TARGET), List.of(new CallId(1)));
    assertEquals(sends().size(), 1);
    pool.callEnded(
        new CallId(0),
        PoolFixture.response(PoolFixture.NANOS_PER_MILLI, "i", 100),
        nowNanos,
        actions::add);
    assertTrue(pool.targetStatuses(nowNanos).isEmpty());
  }

  @Test
  public void timeoutsFromShortDeadlinesDoNotEjectTargets() {
    configure(2);
    for (int i = 0; i < 40; i++) {
      offer(1);
      nowNanos += PoolFixture.NANOS_PER_MILLI;
      CallId call = new CallId(nextId - 1);
      TargetOutcome response = PoolFixture.response(PoolFixture.NANOS_PER_MILLI, "i", 100);
      pool.callEnded(
          call, i < 20 ? response : new TargetOutcome.TimedOut(), nowNanos, actions::add);
    }
    assertTrue(
        pool.targetStatuses(nowNanos).stream().noneMatch(t -> t.state() == TargetState.EJECTED),
        pool.targetStatuses(nowNanos).toString());
  }

  private void configure(int targetCount) {
    var service = PoolFixture.service(targetCount, 2, 50);
    pool.configure(service, service.targets(), nowNanos, actions::add);
  }

  private void offer(int count) {
    for (int i = 0; i < count; i++) {
      pool.offer(PoolFixture.call(nextId++, "a", 1, FAR_DEADLINE_NANOS), nowNanos, actions::add);
    }
  }

  private void warmUpTarget() {
    for (int i = 0; i < 3; i++) {
      offer(1);
      nowNanos += PoolFixture.NANOS_PER_MILLI;
      CallId call = new CallId(nextId - 1);
      pool.callEnded(
          call,
          PoolFixture.response(PoolFixture.NANOS_PER_MILLI, "i", 100),
          nowNanos,
          actions::add);
    }
  }

  private List<PoolAction.Send> sends() {
    return actions.stream()
        .filter(PoolAction.Send.class::isInstance)
        .map(PoolAction.Send.class::cast)
        .toList();
  }

  private List<CallId> handBacks(HandBackReason reason) {
    return actions.stream()
        .filter(PoolAction.HandBack.class::isInstance)
        .map(PoolAction.HandBack.class::cast)
        .filter(handBack -> handBack.reason() == reason)
        .map(PoolAction.HandBack::call)
        .toList();
  }
}
