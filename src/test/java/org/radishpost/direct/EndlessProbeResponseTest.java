package org.radishpost.direct;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.radishpost.admission.ServiceBudget;
import org.radishpost.http.EndlessResponse;
import org.radishpost.http.EndlessResponses;
import org.radishpost.http.EndlessServer;
import org.radishpost.http.HttpSender;
import org.radishpost.http.SenderOptions;
import org.radishpost.placement.TargetDirectory;
import org.radishpost.placement.TargetId;
import org.radishpost.placement.TestTargets;
import org.radishpost.placement.TrackedTarget;
import org.radishpost.platform.PlatformTargetProtocol;
import org.radishpost.platform.WireNames;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import reactor.core.publisher.Mono;
import reactor.netty.resources.LoopResources;
import reactor.test.scheduler.VirtualTimeScheduler;

/**
 * Tests that a load probe and a check of a target's process end without the help of a timeout when
 * the target sends bytes without end.
 */
public class EndlessProbeResponseTest {
  private final PlatformTargetProtocol protocol = new PlatformTargetProtocol(service -> "/healthz");
  private VirtualTimeScheduler clock;
  private LoopResources loops;
  private HttpSender sender;

  /** Creates a sender whose time stands still. */
  @BeforeMethod
  public void start() {
    clock = VirtualTimeScheduler.create();
    loops = LoopResources.create("endless-test", 1, true);
    sender =
        new HttpSender(
            new SenderOptions(
                "test",
                2,
                Duration.ofSeconds(5),
                Duration.ofSeconds(5),
                Optional.of(WireNames.REQUEST_ID),
                true),
            clock,
            loops);
  }

  /** Releases the threads. */
  @AfterMethod
  public void stop() {
    sender.close().block();
    loops.disposeLater(Duration.ZERO, Duration.ofSeconds(1)).block();
  }

  /** Returns all responses that never end. */
  @DataProvider
  public Object[][] responses() {
    return EndlessResponses.all();
  }

  @Test(dataProvider = "responses")
  public void probeWithoutEndIsEndedByLimits(EndlessResponse endless) throws Exception {
    try (EndlessServer server = new EndlessServer(endless, "")) {
      TargetDirectory directory = new TargetDirectory((code, fields) -> {});
      directory.replaceAll(List.of(TestTargets.listeningAt(server.address())), 0);
      TrackedTarget tracked = directory.find(new TargetId("t")).orElseThrow();
      CompletableFuture<String> suspended = new CompletableFuture<>();
      LoadProber prober =
          new LoadProber(
              sender,
              protocol,
              clock,
              new ServiceBudget(() -> 1, 10),
              (code, fields) -> suspended.complete(code.name()));
      Mono<Void> probe = prober.probe(List.of(tracked), target -> true, Duration.ofSeconds(9));
      probe.toFuture().get();
      assertEquals(suspended.isDone(), !endless.startsWithCompleteResponse());
      assertTrue(server.awaitSentBytes() < EndlessServer.MAX_BYTES);
    }
  }

  /** The check repeats after a delay, which is passed here once the first response was stopped. */
  @Test(dataProvider = "responses")
  public void checkOfProcessWithoutEndIsEndedByLimits(EndlessResponse endless) throws Exception {
    try (EndlessServer server = new EndlessServer(endless, "")) {
      CompletableFuture<TargetLiveness> result =
          new LivenessCheck(sender, protocol, clock)
              .of(TestTargets.listeningAt(server.address()))
              .toFuture();
      assertTrue(server.awaitSentBytes() < EndlessServer.MAX_BYTES);
      while (!result.isDone()) {
        clock.advanceTimeBy(Duration.ofMillis(1));
        Thread.onSpinWait();
      }
      assertEquals(
          result.get(),
          endless.startsWithCompleteResponse() ? TargetLiveness.ALIVE : TargetLiveness.UNKNOWN);
    }
  }
}
