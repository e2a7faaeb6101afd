package org.radishpost.bench;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import java.util.List;
import org.radishpost.bench.LoadPlan.EventPlan;
import org.radishpost.bench.LoadPlan.KindPlan;
import org.radishpost.errors.StartException;
import org.radishpost.lib.Endpoint;
import org.radishpost.node.RuntimeClock;
import org.radishpost.standin.TargetControl;
import org.radishpost.standin.TargetOptions;
import org.radishpost.standin.TargetServer;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Runs short loads against a target stand-in over real sockets. */
public class LoadDriverTest {
  private final RuntimeClock clock = new RuntimeClock();
  private TargetServer targets;
  private Endpoint target;

  /** Starts a target with a mean service time of 1 ms. */
  @BeforeMethod
  public void startTarget() throws StartException {
    targets = new TargetServer(clock);
    target =
        targets.add(
            new Endpoint("127.0.0.1", 0), TargetOptions.warm(500, 500, Duration.ofMillis(1), 1));
  }

  /** Stops the target. */
  @AfterMethod(alwaysRun = true)
  public void stopTarget() {
    targets.stop();
  }

  @Test
  public void everyCallOfTheLoadRunsOnce() {
    LoadResult result = runLoad(List.of());
    assertEquals(result.outcomes().answered(), result.outcomes().total(), result.toString());
    assertEquals(targets.stats(target).runs(), result.outcomes().total());
  }

  @Test
  public void notRunResponsesAreCountedAsNotRun() {
    targets.setControl(target, sheddingControl());
    LoadResult result = runLoad(List.of());
    assertEquals(result.outcomes().notRun(), result.outcomes().total(), result.toString());
  }

  @Test
  public void eventsConfigureTheTargetAndMissingResponsesAreTimeouts() {
    String url = "http://" + target + "/control";
    LoadResult result =
        runLoad(List.of(new EventPlan(0, "silent", "PUT", url, "{\"silent\": true}", "")));
    assertEquals(result.events().getFirst().result(), "200");

    LoadResult silent = runLoad(List.of());
    assertEquals(silent.outcomes().timeout(), silent.outcomes().total(), silent.toString());
  }

  private static TargetControl sheddingControl() {
    return new TargetControl(1, false, false, true, false, null, 0, false, false, 0, null);
  }

  private LoadResult runLoad(List<EventPlan> events) {
    LoadPlan plan =
        new LoadPlan(
            7,
            200,
            0,
            300,
            1_000,
            400,
            LoadPlan.Spread.IN_TURN,
            List.of(target.toString()),
            List.of(new KindPlan("read", "GET", "/", 1, 1, 0, false, List.of())),
            events,
            null);
    LoadDriver driver = new LoadDriver(plan, clock, clock, line -> {});
    try {
      return driver.run().block();
    } finally {
      driver.close().block();
    }
  }
}
