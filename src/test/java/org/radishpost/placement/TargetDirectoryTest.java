package org.radishpost.placement;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.radishpost.lib.ServiceName;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Which targets take new work while entries come, go and lapse. */
public class TargetDirectoryTest {
  private static final ServiceName SERVICE = new ServiceName("s");
  private static final long GRACE = TargetDirectory.RETURN_GRACE_NANOS;

  private TargetDirectory directory;

  /** Starts with two targets. */
  @BeforeMethod
  public void start() {
    directory = new TargetDirectory((code, fields) -> {});
    directory.replaced(List.of(Targets.ready("a"), Targets.ready("b")), 0);
  }

  private List<String> serving() {
    return directory.serving(SERVICE, Set.of()).stream()
        .map(target -> target.target().id().value())
        .sorted()
        .toList();
  }

  @Test
  public void leavingAndRemovedTargetsGetNoNewWork() {
    directory.registered(Targets.draining("a"), 1);
    assertEquals(serving(), List.of("b"));
    directory.unregistered(new TargetId("b"), 2);
    assertEquals(serving(), List.of());
  }

  @Test
  public void entriesThatLapseInAnOutageAreKeptUntilTheGraceIsOver() {
    directory.registryLost();
    directory.registryBack(100);
    directory.replaced(List.of(Targets.ready("a")), 101);
    assertEquals(serving(), List.of("a", "b"));
    directory.tick(100 + GRACE - 1);
    assertEquals(serving(), List.of("a", "b"));
    directory.tick(100 + GRACE);
    assertEquals(serving(), List.of("a"));
  }

  @Test
  public void targetThatIsBackInTheGraceStays() {
    directory.registryLost();
    directory.registryBack(100);
    directory.unregistered(new TargetId("b"), 101);
    directory.registered(Targets.ready("b"), 102);
    directory.tick(100 + 2 * GRACE);
    assertEquals(serving(), List.of("a", "b"));
  }

  @Test
  public void secondOutageStartsTheGraceAnew() {
    directory.registryLost();
    directory.registryBack(100);
    directory.unregistered(new TargetId("b"), 101);
    directory.registryLost();
    directory.tick(100 + GRACE);
    assertEquals(serving(), List.of("a", "b"));
    directory.registryBack(200 + GRACE);
    directory.tick(200 + GRACE + GRACE - 1);
    assertEquals(serving(), List.of("a", "b"));
    directory.tick(200 + GRACE + GRACE);
    assertEquals(serving(), List.of("a"));
  }

  /** An entry that was cut off comes back and finds that a target has left meanwhile. */
  @Test
  public void missingTargetIsUsedOnlyWhenItHasJustSaidThatItIsWell() {
    directory.registryLost();
    directory.registryBack(100);
    directory.replaced(List.of(), 101);
    Placement placement =
        new Placement(
            Targets.ready("a").place(),
            new WorkTimes(),
            new ColdGate("e"),
            new SplittableRandom(1));
    PlacedCall call = new PlacedCall("r", 250_000_000L, 2_000_000_000L, 1);
    List<TrackedTarget> kept = directory.serving(SERVICE, Set.of());
    assertEquals(kept.size(), 2);
    assertEquals(placement.choose(kept, call, 102).isPresent(), false);
    TrackedTarget well = directory.find(new TargetId("b")).get();
    well.sampled(new LoadSample(0, 0, 2, 100), 102);
    assertEquals(placement.choose(kept, call, 103).get().target(), well);
    well.unreachable(104);
    assertEquals(placement.choose(kept, call, 105).isPresent(), false);
  }

  @Test
  public void drainingCountsInAnOutageToo() {
    directory.registryLost();
    directory.registered(Targets.draining("a"), 5);
    assertEquals(serving(), List.of("b"));
  }
}
