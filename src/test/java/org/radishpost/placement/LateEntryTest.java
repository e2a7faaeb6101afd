package org.radishpost.placement;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.radishpost.events.EventCode;
import org.radishpost.lib.ServiceName;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against calls to a target that has left: the registry carried out an earlier write of the
 * target late, and the directory took it for a new entry.
 */
public class LateEntryTest {
  private static final ServiceName SERVICE = new ServiceName("s");
  private static final TargetId ID = new TargetId("t");
  private static final long STARTED = 1_700_000_000_000L;
  private static final long GRACE_NANOS = TargetDirectory.REREGISTRATION_GRACE_NANOS;

  private final List<EventCode> events = new ArrayList<>();
  private TargetDirectory directory;

  /** Creates a directory with one target, which has written its entry seven times. */
  @BeforeMethod
  public void start() {
    events.clear();
    directory = new TargetDirectory((code, fields) -> events.add(code));
    directory.replaceAll(List.of(ready(7)), 0);
  }

  private static Target ready(long sequence) {
    return ready(STARTED, sequence);
  }

  private static Target ready(long startedMillis, long sequence) {
    return TestTargets.withVersion(TestTargets.ready("t"), startedMillis, sequence);
  }

  private static Target draining(long sequence) {
    return TestTargets.withVersion(TestTargets.draining("t"), STARTED, sequence);
  }

  private boolean isServing() {
    return !directory.serving(SERVICE, Set.of()).isEmpty();
  }

  /** The ways in which an entry reaches the directory. */
  private enum Way {
    /** The entry is read from the registry as it is written, or a relay forwards it. */
    RECORD,
    /** The entry is part of a snapshot of the registry. */
    SNAPSHOT,
    /** The entry is part of a registry that was restored from an earlier copy. */
    RESTORE;

    private void apply(TargetDirectory directory, Target entry, long nowNanos) {
      switch (this) {
        case RECORD -> directory.register(entry, nowNanos);
        case SNAPSHOT -> directory.replaceAll(List.of(entry), nowNanos);
        case RESTORE -> directory.restore(List.of(entry), nowNanos);
        default -> throw new IllegalStateException("unknown way " + this);
      }
    }
  }

  /** Returns all ways. */
  @DataProvider
  public Object[] ways() {
    return Way.values();
  }

  @Test(dataProvider = "ways")
  public void lateEntryDoesNotUndoDeparture(Way way) {
    directory.unregister(ID, 1);
    way.apply(directory, ready(5), 2);
    assertEquals(isServing(), false);
    way.apply(directory, ready(7), 3);
    assertEquals(isServing(), false);
  }

  @Test(dataProvider = "ways")
  public void lateEntryDoesNotUndoDraining(Way way) {
    directory.register(draining(8), 1);
    way.apply(directory, ready(5), 2);
    assertEquals(isServing(), false);
    directory.removeExpired(2 + GRACE_NANOS);
    way.apply(directory, ready(6), 3 + GRACE_NANOS);
    assertEquals(isServing(), false);
  }

  @Test(dataProvider = "ways")
  public void lateEntryOfEarlierRunDoesNotUndoDeparture(Way way) {
    directory.unregister(ID, 1);
    way.apply(directory, ready(STARTED - 1, 90), 2);
    assertEquals(isServing(), false);
  }

  /** The removal of the entry was among the records that the registry has deleted. */
  @Test
  public void lateEntryInSnapshotShowsThatTargetMayHaveLeft() {
    directory.replaceAll(List.of(ready(5)), 1);
    assertEquals(isServing(), false);
    directory.register(ready(8), 2);
    assertEquals(isServing(), true);
  }

  @Test(dataProvider = "ways")
  public void targetThatReturnsWithHigherSequenceIsServedAtOnce(Way way) {
    directory.unregister(ID, 1);
    way.apply(directory, ready(8), 2);
    assertEquals(isServing(), true);
  }

  @Test(dataProvider = "ways")
  public void runWhoseCountStartsAnewIsServedAtOnce(Way way) {
    directory.register(draining(8), 1);
    way.apply(directory, ready(STARTED + 1, 1), 2);
    assertEquals(isServing(), true);
    directory.unregister(ID, 3 + GRACE_NANOS);
    way.apply(directory, ready(STARTED + 2, 1), 4 + GRACE_NANOS);
    assertEquals(isServing(), true);
  }

  @Test(dataProvider = "ways")
  public void targetThatReturnsAfterLateEntryIsServedAtOnce(Way way) {
    directory.unregister(ID, 1);
    way.apply(directory, ready(5), 2);
    way.apply(directory, ready(8), 3);
    assertEquals(isServing(), true);
  }

  /** In an outage, the entries of sound targets lapse too. */
  @Test(dataProvider = "ways")
  public void lateEntryDoesNotCountAsReturnAfterOutage(Way way) {
    directory.registryUnavailable();
    directory.registryAvailable(100);
    directory.unregister(ID, 101);
    way.apply(directory, ready(5), 102);
    TrackedTarget target = directory.find(ID).orElseThrow();
    assertEquals(target.usable(103), false);
    directory.removeExpired(102 + GRACE_NANOS);
    assertEquals(isServing(), false);
  }

  @Test(dataProvider = "ways")
  public void targetThatReturnsInGracePeriodIsUsableAtOnce(Way way) {
    directory.registryUnavailable();
    directory.registryAvailable(100);
    directory.unregister(ID, 101);
    way.apply(directory, ready(8), 102);
    assertTrue(directory.find(ID).orElseThrow().usable(103));
    directory.removeExpired(102 + GRACE_NANOS);
    assertEquals(isServing(), true);
  }

  /** The copy is some seconds old, and sound targets have written their entries since. */
  @Test
  public void soundTargetWithEarlierEntryInRestoredRegistryStaysInUse() {
    directory.restore(List.of(ready(5)), 100);
    assertTrue(directory.find(ID).orElseThrow().usable(101));
    directory.removeExpired(100 + GRACE_NANOS);
    assertEquals(isServing(), true);
    directory.unregister(ID, 101 + GRACE_NANOS);
    directory.register(ready(6), 102 + GRACE_NANOS);
    assertEquals(isServing(), false);
  }

  /** A follower gets no records that repeat an entry, only their sequence numbers. */
  @Test
  public void entryOlderThanRenewalDoesNotUndoDeparture() {
    directory.renew(ID, 9, 1);
    directory.unregister(ID, 2);
    directory.register(ready(8), 3);
    assertEquals(isServing(), false);
    directory.register(ready(10), 4);
    assertEquals(isServing(), true);
  }

  /** A relay that has just started does not know that the target had left. */
  @Test
  public void renewalOfEntryThatIsHeldBackServesTargetAtOnce() {
    directory.unregister(ID, 1);
    directory.register(ready(5), 2);
    directory.renew(ID, 6, 3);
    assertEquals(isServing(), false);
    directory.renew(ID, 8, 4);
    assertEquals(isServing(), true);
  }

  @Test
  public void entryIsHeldBackWhileItsRemovalCannotBeSeen() {
    directory.unregister(ID, 1);
    directory.register(ready(5), 2);
    directory.registryUnavailable();
    directory.registerHeldBack(2 + HeldBackEntries.HOLD_BACK_NANOS);
    assertEquals(isServing(), false);
    directory.registryAvailable(3 + HeldBackEntries.HOLD_BACK_NANOS);
    directory.registerHeldBack(4 + HeldBackEntries.HOLD_BACK_NANOS);
    assertEquals(isServing(), false);
  }

  @Test
  public void lateEntryIsReported() {
    directory.unregister(ID, 1);
    assertEquals(directory.register(ready(5), 2), EntryEffect.SUPERSEDED);
    assertEquals(
        events,
        List.of(
            EventCode.TARGET_REGISTERED, EventCode.TARGET_GONE, EventCode.TARGET_ENTRY_SUPERSEDED));
  }

  @Test
  public void entryThatOnlyRaisesItsSequenceIsRenewal() {
    assertEquals(directory.register(ready(8), 1), EntryEffect.RENEWED);
    assertEquals(directory.register(draining(9), 2), EntryEffect.CHANGED);
  }
}
