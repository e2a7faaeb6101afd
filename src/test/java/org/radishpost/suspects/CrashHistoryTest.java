package org.radishpost.suspects;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.radishpost.lib.Digest;
import org.radishpost.placement.TargetId;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests which requests are blocked after crashes, and how the histories of two VMs are merged. */
public class CrashHistoryTest {
  private static final Digest CRASHING = Digest.of("crashing");
  private static final Digest INNOCENT = Digest.of("innocent");
  private static final long SECOND = Duration.ofSeconds(1).toNanos();
  private static final long MILLISECOND = Duration.ofMillis(1).toNanos();

  private long now;
  private CrashHistory history;
  private CrashHistory otherVm;
  private List<CrashUpdate> updates;
  private int targets;

  /** Creates two histories; {@code otherVm} receives only what a test passes to it. */
  @BeforeMethod
  public void create() {
    now = 100 * SECOND;
    targets = 0;
    updates = new ArrayList<>();
    history = new CrashHistory(() -> now);
    history.addListener((learned, local) -> updates.add(learned));
    otherVm = new CrashHistory(() -> now);
  }

  private CrashId crash(CrashHistory vm, Digest... lost) {
    CrashId id = new CrashId(new TargetId("t-" + targets++), 0);
    vm.recordCrash(id, now, lost(now - MILLISECOND, lost));
    now += SECOND;
    return id;
  }

  private static List<LostRequest> lost(long sentNanos, Digest... fingerprints) {
    return List.of(fingerprints).stream()
        .map(fingerprint -> new LostRequest(fingerprint, sentNanos))
        .toList();
  }

  private boolean isBlocked(Digest fingerprint) {
    return history.blockedFor(fingerprint).isPresent();
  }

  @Test
  public void thirdCrashBlocksTheRequestUntilItExpires() {
    crash(history, CRASHING);
    crash(history, CRASHING);
    assertTrue(history.isSuspected(CRASHING));
    assertFalse(isBlocked(CRASHING));
    crash(history, CRASHING);
    assertEquals(
        history.blockedFor(CRASHING),
        Optional.of(Duration.ofNanos(CrashHistory.EXPIRY_NANOS - SECOND)));
    now += CrashHistory.EXPIRY_NANOS;
    assertFalse(isBlocked(CRASHING));
    assertFalse(history.isSuspected(CRASHING));
  }

  @Test
  public void crashesSeenByDifferentVmsAddUp() {
    crash(otherVm, CRASHING);
    crash(history, CRASHING);
    crash(otherVm, CRASHING);
    assertFalse(isBlocked(CRASHING));
    history.merge(otherVm.snapshot());
    assertTrue(isBlocked(CRASHING));
  }

  @Test
  public void repeatedUpdatesCountOnceAndAreNotForwardedAgain() {
    crash(otherVm, CRASHING);
    otherVm.recordResponse(INNOCENT);
    history.merge(otherVm.snapshot());
    assertEquals(updates.size(), 1);
    history.merge(otherVm.snapshot());
    now += SECOND;
    history.merge(otherVm.snapshot());
    assertEquals(updates.size(), 1);
    assertEquals(history.size(), 1);
  }

  @Test
  public void crashThatTwoVmsReportCountsOnce() {
    CrashId id = crash(history, CRASHING);
    otherVm.recordCrash(id, now, lost(now, INNOCENT));
    history.merge(otherVm.snapshot());
    assertEquals(history.size(), 1);
    assertTrue(history.isSuspected(INNOCENT));
  }

  @Test
  public void secondCrashOfTargetThatKeptItsIdCounts() {
    for (int start = 1; start <= CrashHistory.BLOCKING_CRASHES; start++) {
      history.recordCrash(new CrashId(new TargetId("t"), start), now, lost(now, CRASHING));
      now += SECOND;
    }
    assertTrue(isBlocked(CRASHING));
  }

  /** A request that crashes targets is never answered. */
  @Test
  public void answeredRequestIsInnocentOnAllVms() {
    crash(history, INNOCENT);
    crash(history, INNOCENT);
    crash(otherVm, INNOCENT);
    history.merge(otherVm.snapshot());
    assertTrue(isBlocked(INNOCENT));
    otherVm.recordResponse(INNOCENT);
    assertTrue(isBlocked(INNOCENT));
    history.merge(otherVm.snapshot());
    assertFalse(history.isSuspected(INNOCENT));
    now += SECOND;
    crash(history, INNOCENT);
    assertTrue(history.isSuspected(INNOCENT));
    assertFalse(isBlocked(INNOCENT));
  }

  @Test
  public void requestThatRanBesideCrashingOneIsNotBlocked() {
    for (int i = 0; i < 2; i++) {
      crash(history, CRASHING);
    }
    for (int i = 0; i < CrashHistory.BLOCKING_CRASHES; i++) {
      crash(history, CRASHING, INNOCENT);
    }
    assertTrue(isBlocked(CRASHING));
    assertFalse(isBlocked(INNOCENT));
  }

  @Test
  public void crashingRequestIsBlockedAlthoughAnotherOneIsLostInEachCrash() {
    for (int i = 0; i < CrashHistory.BLOCKING_CRASHES; i++) {
      crash(history, CRASHING, Digest.of("beside " + i));
    }
    assertTrue(isBlocked(CRASHING));
  }

  /** A zone that loses power ends many targets, to which a popular read was in flight. */
  @Test
  public void crashesOfTargetsThatRanTheRequestAtTheSameTimeCountOnce() {
    for (int i = 0; i < 10; i++) {
      history.recordCrash(
          new CrashId(new TargetId("t-" + i), 0),
          now + i * MILLISECOND,
          lost(now - 100 * MILLISECOND, INNOCENT));
    }
    assertTrue(history.isSuspected(INNOCENT));
    assertFalse(isBlocked(INNOCENT));
  }

  @Test
  public void requestThatIsRepeatedAtOnceIsBlocked() {
    for (int i = 0; i < CrashHistory.BLOCKING_CRASHES; i++) {
      long sentNanos = now;
      now += 5 * MILLISECOND;
      history.recordCrash(new CrashId(new TargetId("t-" + i), 0), now, lost(sentNanos, CRASHING));
    }
    assertTrue(isBlocked(CRASHING));
  }

  /**
   * Many other targets crash; a request that was lost repeatedly must not be forgotten for them.
   */
  @Test
  public void blockedRequestIsNotForgottenForOtherCrashes() {
    for (int i = 0; i < CrashHistory.BLOCKING_CRASHES; i++) {
      crash(history, CRASHING);
    }
    for (int i = 0; i < 2 * CrashHistory.MAX_CRASHES; i++) {
      history.recordCrash(
          new CrashId(new TargetId("other-" + i), 0), now, lost(now, Digest.of("other " + i)));
      now += MILLISECOND;
    }
    assertEquals(history.size(), CrashHistory.MAX_CRASHES);
    assertTrue(isBlocked(CRASHING));
  }

  @Test
  public void memoryIsBounded() {
    CrashId id = new CrashId(new TargetId("t"), 0);
    for (int i = 0; i < 2 * CrashHistory.MAX_CLEARED; i++) {
      Digest fingerprint = Digest.of("request " + i);
      history.recordCrash(id, now, lost(now, fingerprint));
      history.merge(new CrashUpdate(List.of(), List.of(new CrashUpdate.Cleared(fingerprint, 0))));
    }
    CrashUpdate snapshot = history.snapshot();
    assertEquals(snapshot.crashes().getFirst().lost().size(), CrashHistory.MAX_LOST_PER_CRASH);
    assertEquals(snapshot.cleared().size(), CrashHistory.MAX_CLEARED);
  }
}
