package org.radishpost.placement;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.radishpost.lib.ServiceName;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests which targets get new calls while entries are registered, removed and expire. */
public class TargetDirectoryTest {
  private static final ServiceName SERVICE = new ServiceName("s");
  private static final long GRACE_NANOS = TargetDirectory.REREGISTRATION_GRACE_NANOS;

  private TargetDirectory directory;

  /** Creates a directory with two targets. */
  @BeforeMethod
  public void start() {
    directory = new TargetDirectory((code, fields) -> {});
    directory.replaceAll(List.of(TestTargets.ready("a"), TestTargets.ready("b")), 0);
  }

  private static Target ready(String id, long sequence) {
    return TestTargets.withVersion(TestTargets.ready(id), 0, sequence);
  }

  private List<String> serving() {
    return directory.serving(SERVICE, Set.of()).stream()
        .map(target -> target.target().id().value())
        .sorted()
        .toList();
  }

  @Test
  public void drainingAndUnregisteredTargetsGetNoNewCalls() {
    directory.register(TestTargets.draining("a"), 1);
    assertEquals(serving(), List.of("b"));
    directory.unregister(new TargetId("b"), 2);
    assertEquals(serving(), List.of());
  }

  @Test
  public void entriesThatExpireInAnOutageAreKeptForTheGracePeriod() {
    directory.registryUnavailable();
    directory.registryAvailable(100);
    directory.replaceAll(List.of(TestTargets.ready("a")), 101);
    assertEquals(serving(), List.of("a", "b"));
    directory.removeExpired(100 + GRACE_NANOS - 1);
    assertEquals(serving(), List.of("a", "b"));
    directory.removeExpired(100 + GRACE_NANOS);
    assertEquals(serving(), List.of("a"));
  }

  @Test
  public void targetThatReregistersWithinTheGracePeriodIsKept() {
    directory.registryUnavailable();
    directory.registryAvailable(100);
    directory.unregister(new TargetId("b"), 101);
    directory.register(TestTargets.ready("b"), 102);
    directory.removeExpired(100 + 2 * GRACE_NANOS);
    assertEquals(serving(), List.of("a", "b"));
  }

  @Test
  public void secondOutageRestartsTheGracePeriod() {
    directory.registryUnavailable();
    directory.registryAvailable(100);
    directory.unregister(new TargetId("b"), 101);
    directory.registryUnavailable();
    directory.removeExpired(100 + GRACE_NANOS);
    assertEquals(serving(), List.of("a", "b"));
    directory.registryAvailable(200 + GRACE_NANOS);
    directory.removeExpired(200 + GRACE_NANOS + GRACE_NANOS - 1);
    assertEquals(serving(), List.of("a", "b"));
    directory.removeExpired(200 + GRACE_NANOS + GRACE_NANOS);
    assertEquals(serving(), List.of("a"));
  }

  /** The outage may fall between two reads, so that only the restored entries show it. */
  @Test
  public void targetThatRestoredRegistryLacksIsKeptForTheGracePeriod() {
    directory.restore(List.of(TestTargets.ready("a")), 100);
    assertEquals(serving(), List.of("a", "b"));
    directory.removeExpired(100 + GRACE_NANOS - 1);
    assertEquals(serving(), List.of("a", "b"));
    directory.removeExpired(100 + GRACE_NANOS);
    assertEquals(serving(), List.of("a"));
  }

  /** The record of its leaving is lost with the registry's newest records. */
  @Test
  public void targetThatLeftIsNotServedAgainByRestoredEntry() {
    directory.unregister(new TargetId("b"), 50);
    directory.restore(List.of(TestTargets.ready("a"), TestTargets.ready("b")), 100);
    assertEquals(serving(), List.of("a"));
    directory.replaceAll(List.of(TestTargets.ready("a"), TestTargets.ready("b")), 200);
    directory.registerHeldBack(100 + HeldBackEntries.HOLD_BACK_NANOS - 1);
    assertEquals(serving(), List.of("a"));
    directory.unregister(new TargetId("b"), 300);
    directory.registerHeldBack(100 + HeldBackEntries.HOLD_BACK_NANOS);
    assertEquals(serving(), List.of("a"));
  }

  @Test
  public void targetThatLeftIsServedAgainWhenItWritesItsEntry() {
    directory.unregister(new TargetId("b"), 50);
    directory.restore(List.of(TestTargets.ready("a"), TestTargets.ready("b")), 100);
    directory.register(ready("b", 1), 200);
    assertEquals(serving(), List.of("a", "b"));
  }

  /** Such an entry may be one without a sequence number. */
  @Test
  public void targetThatLeftIsServedAgainIfItsRestoredEntryStays() {
    directory.unregister(new TargetId("b"), 50);
    directory.restore(List.of(TestTargets.ready("a"), TestTargets.ready("b")), 100);
    directory.registerHeldBack(100 + HeldBackEntries.HOLD_BACK_NANOS);
    assertEquals(serving(), List.of("a", "b"));
  }

  @Test
  public void drainingTargetIsNotServedAgainByRestoredEntry() {
    directory.register(TestTargets.draining("b"), 50);
    directory.restore(List.of(TestTargets.ready("a"), TestTargets.ready("b")), 100);
    assertEquals(serving(), List.of("a"));
    directory.removeExpired(100 + GRACE_NANOS);
    assertEquals(serving(), List.of("a"));
  }

  /** The later run has written its entry, and the copy still has that of the earlier one. */
  @Test
  public void laterRunIsKeptUntilItWritesItsEntryAgain() {
    Target laterRun = TestTargets.startedAt(TestTargets.ready("b"), 7);
    directory.register(laterRun, 50);
    directory.restore(List.of(TestTargets.ready("a"), TestTargets.ready("b")), 100);
    assertEquals(directory.find(laterRun.id()).orElseThrow().target(), laterRun);
    directory.register(laterRun, 200);
    directory.removeExpired(100 + GRACE_NANOS);
    assertEquals(serving(), List.of("a", "b"));
  }

  /**
   * A target can shut down while an entry VM is partitioned from the registry. Afterwards, the VM
   * must not send calls to a target without an entry unless the target has just reported its load.
   */
  @Test
  public void targetWithMissingEntryIsUsedOnlyWithRecentSample() {
    directory.registryUnavailable();
    directory.registryAvailable(100);
    directory.replaceAll(List.of(), 101);
    TargetSelector selector =
        new TargetSelector(
            TestTargets.ready("a").place(),
            new RouteServiceTimes(),
            new ColdTargetLimiter("e"),
            new SplittableRandom(1));
    PlacementRequest request = new PlacementRequest("r", 250_000_000L, 2_000_000_000L, 1);
    List<TrackedTarget> kept = directory.serving(SERVICE, Set.of());
    assertEquals(kept.size(), 2);
    assertEquals(selector.select(kept, request, 102).isPresent(), false);
    TrackedTarget responsive = directory.find(new TargetId("b")).get();
    responsive.recordSample(new LoadSample(0, 0, 2, 100), 102);
    assertEquals(selector.select(kept, request, 103).get().target(), responsive);
    responsive.recordUnreachable(104);
    assertEquals(selector.select(kept, request, 105).isPresent(), false);
  }

  @Test
  public void drainingTargetGetsNoNewCallsInAnOutage() {
    directory.registryUnavailable();
    directory.register(TestTargets.draining("a"), 5);
    assertEquals(serving(), List.of("b"));
  }
}
