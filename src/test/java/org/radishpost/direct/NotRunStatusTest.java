package org.radishpost.direct;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import org.radishpost.admission.ServiceBudget;
import org.radishpost.errors.ConnectionLostException;
import org.radishpost.errors.NotConnectedException;
import org.radishpost.http.CallHandler;
import org.radishpost.http.Response;
import org.radishpost.lib.Endpoint;
import org.radishpost.lib.Place;
import org.radishpost.placement.Target;
import org.radishpost.placement.TargetDirectory;
import org.radishpost.placement.TestTargets;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;
import reactor.test.scheduler.VirtualTimeScheduler;

/**
 * Guards against a write that runs twice: its target failed it with a status of its own that means
 * "not run", the status was forwarded, and the caller sent the write again.
 */
public class NotRunStatusTest {
  private static final List<Integer> NOT_RUN_STATUSES = List.of(408, 421, 429, 503);
  private static final Place LOCAL_ZONE = Place.of("k", "k-a");
  private static final Target NEAR = TestTargets.at("near", LOCAL_ZONE);
  private static final Target OTHER = TestTargets.at("other", Place.of("k", "k-b"));
  private static final Duration TIMEOUT = Duration.ofSeconds(1);

  /** Later than the time after which a read is hedged. */
  private static final Duration SLOW = Duration.ofMillis(240);

  /**
   * How a target treats a call.
   *
   * @param name the name in messages
   * @param mayRun whether it runs the call or may have run it
   * @param response its response, given the clock
   */
  private record Behavior(
      String name, boolean mayRun, Function<Scheduler, Mono<Response>> response) {
    private Behavior slow() {
      return new Behavior(
          "slow " + name, mayRun, clock -> response.apply(clock).delaySubscription(SLOW, clock));
    }

    @Override
    public String toString() {
      return name;
    }
  }

  private static Behavior responds(String name, boolean mayRun, int status, String... fields) {
    return new Behavior(
        name + " " + status,
        mayRun,
        clock -> Mono.fromSupplier(() -> FakeTargets.response(status, fields)));
  }

  private static Behavior fails(String name, boolean mayRun, Throwable error) {
    return new Behavior(name, mayRun, clock -> Mono.error(error));
  }

  private static List<Behavior> behaviors() {
    List<Behavior> all = new ArrayList<>();
    for (int status : NOT_RUN_STATUSES) {
      all.add(responds("runs, authenticated", true, status, "proof", "1"));
      all.add(responds("runs, unauthenticated", true, status));
      all.add(responds("rejects", false, status, "not-run", "1"));
      all.add(responds("rejects, authenticated", false, status, "not-run", "1", "proof", "1"));
    }
    all.add(responds("runs, authenticated", true, 200, "proof", "1"));
    all.add(responds("runs, authenticated", true, 500, "proof", "1"));
    all.add(fails("resets", true, new ConnectionLostException("reset", null)));
    all.add(fails("cannot be reached", false, new NotConnectedException("closed port", null)));
    all.add(new Behavior("is silent", true, clock -> Mono.never()));
    List<Behavior> slow = all.stream().map(Behavior::slow).toList();
    all.addAll(slow);
    return all;
  }

  /** Returns the behaviors of the first target. */
  @DataProvider
  public Object[] firstTargets() {
    return behaviors().toArray();
  }

  @Test(dataProvider = "firstTargets")
  public void noStatusMeansNotRunForWriteThatMayHaveRun(Object near) {
    behaviors().forEach(other -> checkStatus((Behavior) near, other, false));
  }

  @Test(dataProvider = "firstTargets")
  public void noStatusMeansNotRunForReadThatMayHaveRun(Object near) {
    behaviors().forEach(other -> checkStatus((Behavior) near, other, true));
  }

  private static void checkStatus(Behavior near, Behavior other, boolean idempotent) {
    Exchange exchange = new Exchange(near, other);
    int status = exchange.statusOf(idempotent);
    boolean meansNotRun = NOT_RUN_STATUSES.contains(status);
    assertFalse(meansNotRun && exchange.mayHaveRun(), "status " + status + ", then: " + other);
  }

  /** Returns the statuses that mean "not run". */
  @DataProvider
  public Object[] statuses() {
    return NOT_RUN_STATUSES.toArray();
  }

  @Test(dataProvider = "statuses")
  public void outcomeOfWriteThatRanWithSuchStatusIsUnknown(int status) {
    Exchange exchange =
        new Exchange(
            responds("runs", true, status, "proof", "1"),
            responds("runs", true, 200, "proof", "1"));
    assertEquals(exchange.statusOf(false), 502);
    assertEquals(exchange.targets.sent, List.of(NEAR.address().toString()));
  }

  @Test(dataProvider = "statuses")
  public void readThatRanWithSuchStatusIsRetried(int status) {
    Exchange exchange =
        new Exchange(
            responds("runs", true, status, "proof", "1"),
            responds("runs", true, 200, "proof", "1"));
    assertEquals(exchange.statusOf(true), 200);
  }

  @Test(dataProvider = "statuses")
  public void writeThatIsRejectedWithSuchStatusIsRetried(int status) {
    Exchange exchange =
        new Exchange(
            responds("rejects", false, status, "not-run", "1"),
            responds("runs", true, 200, "proof", "1"));
    assertEquals(exchange.statusOf(false), 200);
  }

  /** One call to a router with two targets. */
  private static final class Exchange {
    private final VirtualTimeScheduler clock = VirtualTimeScheduler.create();
    private final FakeTargets targets = new FakeTargets();
    private final Map<String, Boolean> mayRunByTarget = new HashMap<>();
    private final CallHandler router;

    private Exchange(Behavior near, Behavior other) {
      TargetDirectory directory = new TargetDirectory((code, fields) -> {});
      directory.replaceAll(List.of(NEAR, OTHER), 0);
      set(NEAR.address(), near);
      set(OTHER.address(), other);
      router =
          TestRouters.create(
              LOCAL_ZONE,
              Set::of,
              directory,
              targets,
              new ServiceBudget(() -> 0, 1),
              clock,
              Mono.never());
    }

    private void set(Endpoint target, Behavior behavior) {
      targets.setCallResponse(target, behavior.response().apply(clock));
      mayRunByTarget.put(target.toString(), behavior.mayRun());
    }

    private int statusOf(boolean idempotent) {
      List<Response> responses = new ArrayList<>();
      router
          .handle(TestCalls.create(idempotent, Set.of(), Duration.ofMillis(250), TIMEOUT, clock))
          .subscribe(responses::add);
      clock.advanceTimeBy(TIMEOUT.plusMillis(1));
      assertEquals(responses.size(), 1);
      return responses.getFirst().status();
    }

    private boolean mayHaveRun() {
      return targets.sent.stream().anyMatch(mayRunByTarget::get);
    }
  }
}
