package org.radishpost.placement;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.Set;
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

  @Test
  public void drainingCountsInAnOutageToo() {
    directory.registryLost();
    directory.registered(Targets.draining("a"), 5);
    assertEquals(serving(), List.of("b"));
  }
}
