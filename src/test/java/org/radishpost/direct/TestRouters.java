package org.radishpost.direct;

import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.radishpost.admission.ServiceBudget;
import org.radishpost.config.Configuration;
import org.radishpost.config.Scope;
import org.radishpost.http.ByteBudget;
import org.radishpost.http.CallHandler;
import org.radishpost.http.ResponseBuffering;
import org.radishpost.lib.Place;
import org.radishpost.lib.VmId;
import org.radishpost.placement.TargetDirectory;
import org.radishpost.suspects.CrashHistory;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;

/** Creates routers without relays for tests. */
final class TestRouters {
  private TestRouters() {}

  /**
   * Returns a router.
   *
   * @param localZone the place of the VM
   * @param outOfService supplies what is out of service
   * @param directory the targets
   * @param targets responds to the calls and probes
   * @param retryBudget the retry budget of the VM
   * @param clock provides time and timers
   * @param stopSending completes when no further call may be sent
   */
  static CallHandler create(
      Place localZone,
      Supplier<Set<Scope>> outOfService,
      TargetDirectory directory,
      FakeTargets targets,
      ServiceBudget retryBudget,
      Scheduler clock,
      Mono<Void> stopSending) {
    CrashHistory crashes = new CrashHistory(() -> clock.now(TimeUnit.NANOSECONDS));
    return DirectRouterFactory.create(
        new VmId("e-1"),
        localZone,
        () -> new Configuration(1, Map.of(), outOfService.get()),
        directory,
        new SlotClient(
            localZone.zone(),
            (relay, listener) -> {
              throw new IllegalStateException("there are no relays");
            },
            clock,
            new SplittableRandom(1),
            (code, fields) -> {},
            crashes),
        targets,
        targets,
        new ResponseBuffering(new ByteBudget(1_000_000)),
        retryBudget,
        crashes,
        "id",
        clock,
        new SplittableRandom(1),
        stopSending,
        (code, fields) -> {});
  }
}
