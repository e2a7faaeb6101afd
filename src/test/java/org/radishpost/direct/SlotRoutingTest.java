package org.radishpost.direct;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.radishpost.admission.ServiceBudget;
import org.radishpost.config.Configuration;
import org.radishpost.errors.ConnectionLostException;
import org.radishpost.errors.NotConnectedException;
import org.radishpost.http.ByteBudget;
import org.radishpost.http.Call;
import org.radishpost.http.CallHandler;
import org.radishpost.http.Response;
import org.radishpost.http.ResponseBuffering;
import org.radishpost.lib.Place;
import org.radishpost.lib.Verdict;
import org.radishpost.lib.VmId;
import org.radishpost.placement.Target;
import org.radishpost.placement.TargetDirectory;
import org.radishpost.placement.TestTargets;
import org.radishpost.suspects.CrashHistory;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import reactor.core.Disposable;
import reactor.core.publisher.Mono;
import reactor.test.scheduler.VirtualTimeScheduler;

/** Tests that calls use the slots that a broker offers, and return each of them. */
public class SlotRoutingTest {
  private static final Place PLACE = Place.of("k", "k-a");
  private static final Place OTHER_REGION = Place.of("l", "l-a");
  private static final Duration PROCESSING_TIME = Duration.ofMillis(50);

  private final Target target = TestTargets.at("a", PLACE);
  private VirtualTimeScheduler clock;
  private FakeTargets targets;
  private CallHandler router;
  private List<Response> responses;

  /** Creates a router, a relay with a broker, and one target with two slots. */
  @BeforeMethod
  public void start() {
    start(List.of(PLACE), List.of(target));
  }

  private void start(List<Place> relayPlaces, List<Target> registered) {
    clock = VirtualTimeScheduler.create();
    targets = new FakeTargets();
    responses = new ArrayList<>();
    TargetDirectory directory = new TargetDirectory((code, fields) -> {});
    directory.replaceAll(registered, 0);
    SplittableRandom random = new SplittableRandom(1);
    SimulatedRelays relays = new SimulatedRelays(relayPlaces, registered, clock, random);
    CrashHistory crashes = new CrashHistory(() -> clock.now(TimeUnit.NANOSECONDS));
    SlotClient brokers =
        new SlotClient(
            PLACE.zone(), relays.dialer(PLACE), clock, random, (code, fields) -> {}, crashes);
    brokers.setRelays(relays.addresses());
    router =
        DirectRouterFactory.create(
            new VmId("e-1"),
            PLACE,
            () -> new Configuration(1, Map.of(), Set.of()),
            directory,
            brokers,
            targets,
            targets,
            new ResponseBuffering(new ByteBudget(1_000_000)),
            new ServiceBudget(() -> 0, 1),
            crashes,
            "id",
            clock,
            random,
            Mono.never(),
            (code, fields) -> {});
    clock.advanceTimeBy(Duration.ofMillis(100));
  }

  private Disposable call() {
    Call call =
        TestCalls.create(false, Set.of(), Duration.ofMillis(300), Duration.ofSeconds(1), clock);
    return router.handle(call).subscribe(responses::add);
  }

  private void respondAfter(Duration time) {
    respondAfter(target, time);
  }

  private void respondAfter(Target responder, Duration time) {
    targets.setCallResponse(
        responder.address(),
        Mono.delay(time, clock).map(tick -> FakeTargets.response(200, "proof", "1", "load", "1")));
  }

  private void failWith(Mono<Response> failure) {
    targets.setCallResponse(target.address(), failure);
  }

  @Test
  public void eachSlotIsReturnedWithTheResponse() {
    respondAfter(PROCESSING_TIME);
    for (int i = 1; i <= 10; i++) {
      call();
      clock.advanceTimeBy(Duration.ofMillis(100));
      assertEquals(responses.size(), i);
    }
    assertTrue(responses.stream().allMatch(response -> response.status() == 200));
  }

  /** More calls than slots were sent to a target, which then was late for all of them. */
  @Test
  public void targetGetsNoMoreCallsThanItHasSlots() {
    respondAfter(PROCESSING_TIME);
    for (int i = 0; i < 5; i++) {
      call();
    }
    clock.advanceTimeBy(Duration.ofMillis(30));
    assertEquals(targets.sent.size(), 2);
    clock.advanceTimeBy(Duration.ofMillis(500));
    assertEquals(responses.size(), 5);
    assertEquals(targets.sent.size(), 5);
  }

  @Test
  public void slotIsReturnedWhenTheCallerDisconnects() {
    respondAfter(Duration.ofSeconds(10));
    call();
    call();
    Disposable waiting = call();
    clock.advanceTimeBy(Duration.ofMillis(30));
    assertEquals(targets.sent.size(), 2);
    waiting.dispose();
    Disposable last = call();
    clock.advanceTimeBy(Duration.ofMillis(30));
    last.dispose();
    clock.advanceTimeBy(Duration.ofSeconds(2));
    respondAfter(PROCESSING_TIME);
    responses.clear();
    call();
    clock.advanceTimeBy(Duration.ofMillis(900));
    assertEquals(responses.getFirst().status(), 200);
  }

  @Test
  public void callIsRefusedWhenNoSlotBecomesFree() {
    respondAfter(Duration.ofMillis(990));
    call();
    call();
    clock.advanceTimeBy(Duration.ofMillis(30));
    call();
    clock.advanceTimeBy(Duration.ofMillis(600));
    assertEquals(responses.size(), 1);
    assertEquals(responses.getFirst().refusalVerdict(), Optional.of(Verdict.NOT_RUN));
  }

  @Test
  public void slotIsReturnedWhenTheConnectionFails() {
    failWith(Mono.error(() -> new NotConnectedException("closed", null)));
    call();
    call();
    call();
    clock.advanceTimeBy(Duration.ofSeconds(2));
    assertEquals(responses.size(), 3);
    respondAfter(PROCESSING_TIME);
    clock.advanceTimeBy(Duration.ofSeconds(5));
    call();
    clock.advanceTimeBy(Duration.ofMillis(500));
    assertEquals(responses.getLast().status(), 200);
  }

  /** When all regions were full, calls waited in other regions too, and only crossed them. */
  @Test
  public void callWaitsInItsOwnRegionOnly() {
    Target second = TestTargets.at("b", OTHER_REGION);
    Target third = TestTargets.at("c", OTHER_REGION);
    start(List.of(PLACE, OTHER_REGION), List.of(target, second, third));
    respondAfter(target, Duration.ofMillis(700));
    respondAfter(second, Duration.ofMillis(450));
    respondAfter(third, Duration.ofMillis(450));
    for (int i = 0; i < 7; i++) {
      call();
      clock.advanceTimeBy(Duration.ofMillis(50));
    }
    assertEquals(targets.sent.size(), 6);
    clock.advanceTimeBy(Duration.ofMillis(450));
    assertEquals(targets.sent.size(), 7);
    assertEquals(targets.sent.getLast(), target.address().toString());
  }

  @Test
  public void lostCallIsNotRepeated() {
    failWith(Mono.error(() -> new ConnectionLostException("died", null)));
    call();
    clock.advanceTimeBy(Duration.ofSeconds(2));
    assertEquals(targets.sent.size(), 1);
    assertEquals(responses.getFirst().refusalVerdict(), Optional.of(Verdict.UNKNOWN));
  }
}
