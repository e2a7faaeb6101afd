package org.radishpost.direct;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.netty.buffer.ByteBuf;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import org.radishpost.admission.ServiceBudget;
import org.radishpost.config.Scope;
import org.radishpost.errors.ConnectionLostException;
import org.radishpost.errors.NotConnectedException;
import org.radishpost.http.Call;
import org.radishpost.http.CallHandler;
import org.radishpost.http.Response;
import org.radishpost.lib.Endpoint;
import org.radishpost.lib.GatewayName;
import org.radishpost.lib.Place;
import org.radishpost.lib.RegionName;
import org.radishpost.lib.ServiceName;
import org.radishpost.lib.TenantName;
import org.radishpost.lib.Verdict;
import org.radishpost.placement.Target;
import org.radishpost.placement.TargetDirectory;
import org.radishpost.placement.TestTargets;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;
import reactor.test.scheduler.VirtualTimeScheduler;

/**
 * Tests how calls are routed when targets respond, reject calls, reset connections, hang or are
 * missing.
 */
public class DirectRouterTest {
  private static final ServiceName SERVICE = new ServiceName("s");
  private static final GatewayName GATEWAY = new GatewayName("g");
  private static final TenantName TENANT = new TenantName("t");
  private static final Place LOCAL_ZONE = Place.of("k", "k-a");
  private static final Place NEXT_ZONE = Place.of("k", "k-b");

  private final Target sameZone = TestTargets.at("near", LOCAL_ZONE);
  private final Target nextZone = TestTargets.at("other", NEXT_ZONE);
  private VirtualTimeScheduler clock;
  private FakeTargets targets;
  private TargetDirectory directory;
  private Set<Scope> outOfService;
  private Sinks.Empty<Void> stopSending;
  private CallHandler router;

  /** Creates a router with one target in its own zone and one in another zone of the region. */
  @BeforeMethod
  public void start() {
    clock = VirtualTimeScheduler.create();
    targets = new FakeTargets();
    directory = new TargetDirectory((code, fields) -> {});
    directory.replaceAll(List.of(sameZone, nextZone), 0);
    outOfService = Set.of();
    stopSending = Sinks.empty();
    router = router(new ServiceBudget(() -> 0, 1));
  }

  private CallHandler router(ServiceBudget retryBudget) {
    return TestRouters.create(
        LOCAL_ZONE,
        () -> outOfService,
        directory,
        targets,
        retryBudget,
        clock,
        stopSending.asMono());
  }

  private Call call(boolean idempotent, Set<RegionName> homes) {
    return TestCalls.create(
        idempotent, homes, Duration.ofMillis(250), Duration.ofSeconds(1), clock);
  }

  private Response handle(Call call) {
    List<Response> responses = new ArrayList<>();
    router.handle(call).subscribe(responses::add);
    clock.advanceTimeBy(Duration.ofMillis(30));
    if (responses.isEmpty()) {
      clock.advanceTimeBy(Duration.ofSeconds(1));
    }
    assertEquals(responses.size(), 1);
    return responses.getFirst();
  }

  private Response read() {
    return handle(call(true, Set.of()));
  }

  private Response write() {
    return handle(call(false, Set.of()));
  }

  private static Optional<Verdict> refusalVerdict(Response response) {
    return response.refusalVerdict();
  }

  private static String address(Target target) {
    return target.address().toString();
  }

  private void resetConnectionsOf(Target target) {
    targets.setCallResponse(
        target.address(), Mono.error(() -> new ConnectionLostException("died", null)));
  }

  private void rejectCallsAt(Target target) {
    targets.setCallResponse(
        target.address(), Mono.fromSupplier(() -> FakeTargets.response(503, "not-run", "1")));
  }

  @Test
  public void callGoesToNearestFreeTarget() {
    assertEquals(read().status(), 200);
    assertEquals(targets.sent, List.of(address(sameZone)));
  }

  @Test
  public void targetThatReportsHighLoadIsSkipped() {
    targets.setProbeResponse(
        sameZone.address(), Mono.fromSupplier(() -> FakeTargets.response(200, "load", "2")));
    read();
    assertEquals(targets.sent, List.of(address(nextZone)));
  }

  /** An idle target looked busy after each call, as its load report counts the answered call. */
  @Test
  public void answeredCallDoesNotCountAsRunning() {
    targets.setCallResponse(
        sameZone.address(),
        Mono.fromSupplier(() -> FakeTargets.response(200, "proof", "1", "load", "1")));
    router.handle(call(false, Set.of())).subscribe();
    router.handle(call(false, Set.of())).subscribe();
    assertEquals(targets.sent, List.of(address(sameZone), address(sameZone)));
  }

  @Test
  public void writeWithLostResponseIsNotRetriedAndHasUnknownOutcome() {
    resetConnectionsOf(sameZone);
    Response response = write();
    assertEquals(response.status(), 502);
    assertEquals(refusalVerdict(response), Optional.of(Verdict.UNKNOWN));
    assertEquals(targets.sent, List.of(address(sameZone)));
  }

  @Test
  public void readWithLostResponseIsRetried() {
    resetConnectionsOf(sameZone);
    assertEquals(read().status(), 200);
    assertEquals(targets.sent, List.of(address(sameZone), address(nextZone)));
  }

  @Test
  public void writeThatDidNotRunIsRetried() {
    rejectCallsAt(sameZone);
    assertEquals(write().status(), 200);
    assertEquals(targets.sent, List.of(address(sameZone), address(nextZone)));
  }

  @Test
  public void writeThatNoTargetRanIsRejectedWithRetryAfter() {
    rejectCallsAt(sameZone);
    rejectCallsAt(nextZone);
    Response response = write();
    assertEquals(response.status(), 503);
    assertEquals(refusalVerdict(response), Optional.of(Verdict.NOT_RUN));
    assertTrue(Double.parseDouble(response.headers().get("retry-after")) > 0);
  }

  @Test
  public void rejectedWriteThatIsLostOnRetryHasUnknownOutcome() {
    rejectCallsAt(sameZone);
    resetConnectionsOf(nextZone);
    assertEquals(refusalVerdict(write()), Optional.of(Verdict.UNKNOWN));
  }

  @Test
  public void unavailableResponseWithoutNotRunFieldIsNotForwarded() {
    targets.setCallResponse(sameZone.address(), FakeTargets.authenticated(503));
    assertEquals(write().status(), 502);
    assertEquals(targets.sent.size(), 1);
  }

  /** The connection of a large body that nobody read was never used again. */
  @Test
  public void bodyOfResponseThatIsNotForwardedIsCancelled() {
    AtomicInteger cancelled = new AtomicInteger();
    Response large =
        FakeTargets.response(408, "proof", "1", "content-length", "10000000")
            .withBody(Flux.<ByteBuf>never().doOnCancel(cancelled::incrementAndGet));
    targets.setCallResponse(sameZone.address(), Mono.just(large));
    assertEquals(write().status(), 502);
    assertEquals(cancelled.get(), 1);
  }

  @Test
  public void serverErrorOfWriteIsForwarded() {
    targets.setCallResponse(sameZone.address(), FakeTargets.authenticated(500));
    assertEquals(write().status(), 500);
    assertEquals(targets.sent.size(), 1);
  }

  @Test
  public void unauthenticatedSuccessIsNotForwarded() {
    targets.setCallResponse(sameZone.address(), Mono.fromSupplier(() -> FakeTargets.response(200)));
    assertEquals(write().status(), 502);
  }

  @Test
  public void failedConnectionUsesNoRetryBudget() {
    router = router(new ServiceBudget(() -> 0, 0));
    targets.setCallResponse(
        sameZone.address(), Mono.error(() -> new NotConnectedException("closed port", null)));
    assertEquals(write().status(), 200);
  }

  @Test
  public void noRetryWithoutRetryBudget() {
    router = router(new ServiceBudget(() -> 0, 0));
    resetConnectionsOf(sameZone);
    assertEquals(read().status(), 502);
    assertEquals(targets.sent.size(), 1);
  }

  @Test
  public void callWithoutTargetsIsRefusedImmediately() {
    directory.replaceAll(List.of(), 1);
    Response response = read();
    assertEquals(response.status(), 503);
    assertEquals(refusalVerdict(response), Optional.of(Verdict.NOT_RUN));
  }

  @Test
  public void zoneOutOfServiceGetsNoCalls() {
    outOfService = Set.of(new Scope(Scope.Kind.ZONE, "k-a"));
    read();
    assertEquals(targets.sent, List.of(address(nextZone)));
  }

  @Test
  public void callIsNotSentOutsideItsHomeRegions() {
    Response response = handle(call(true, Set.of(new RegionName("n"))));
    assertEquals(response.status(), 503);
    assertEquals(targets.sent, List.of());
  }

  @Test
  public void callToUnresponsiveTargetIsCancelledAtTheDeadline() {
    targets.setCallResponse(sameZone.address(), Mono.never());
    Response response = write();
    assertEquals(response.status(), 504);
    assertEquals(targets.cancelled, List.of(address(sameZone)));
  }

  @Test
  public void slowReadIsHedged() {
    targets.setCallResponse(sameZone.address(), Mono.never());
    assertEquals(read().status(), 200);
    assertEquals(targets.sent, List.of(address(sameZone), address(nextZone)));
    assertEquals(targets.cancelled, List.of(address(sameZone)));
  }

  @Test
  public void slowReadIsNotHedgedWithoutRetryBudget() {
    router = router(new ServiceBudget(() -> 0, 0));
    targets.setCallResponse(sameZone.address(), Mono.never());
    assertEquals(read().status(), 504);
    assertEquals(targets.sent, List.of(address(sameZone)));
  }

  @Test
  public void completedReadCancelsNoRequest() {
    read();
    assertEquals(targets.cancelled, List.of());
  }

  @Test
  public void failedHedgeLeavesTheFirstAttemptRunning() {
    targets.setCallResponse(
        sameZone.address(),
        FakeTargets.authenticated(200).delayElement(Duration.ofMillis(240), clock));
    resetConnectionsOf(nextZone);
    assertEquals(read().status(), 200);
    assertEquals(targets.sent, List.of(address(sameZone), address(nextZone)));
  }

  /** In a burst, the queues of all targets are full. */
  @Test
  public void callIsHeldWhileAllTargetsAreFullAndThenRefused() {
    targets.setProbeResponse(sameZone.address(), Mono.fromSupplier(() -> loadResponse("4")));
    targets.setProbeResponse(nextZone.address(), Mono.fromSupplier(() -> loadResponse("5")));
    List<Response> responses = new ArrayList<>();
    router.handle(call(false, Set.of())).subscribe(responses::add);
    clock.advanceTimeBy(Duration.ofMillis(400));
    assertEquals(responses.size(), 0);
    clock.advanceTimeBy(Duration.ofMillis(200));
    assertEquals(responses.getFirst().status(), 503);
    assertEquals(refusalVerdict(responses.getFirst()), Optional.of(Verdict.NOT_RUN));
    assertEquals(targets.sent, List.of());
  }

  /** Late calls came back soon and took the slots of calls that could still be in time. */
  @Test
  public void lateCallReturnsLaterThanOthers() {
    targets.setProbeResponse(sameZone.address(), Mono.fromSupplier(() -> loadResponse("4")));
    targets.setProbeResponse(nextZone.address(), Mono.fromSupplier(() -> loadResponse("5")));
    Call call =
        TestCalls.create(false, Set.of(), Duration.ofMillis(250), Duration.ofSeconds(2), clock);
    List<Response> responses = new ArrayList<>();
    router.handle(call).subscribe(responses::add);
    clock.advanceTimeBy(Duration.ofMillis(1_300));
    String retryAfter = responses.getFirst().headers().get("retry-after");
    assertTrue(Double.parseDouble(retryAfter) >= 0.4, "retry after " + retryAfter);
  }

  /** A held call was sent shortly before the process ended, and cut without a response. */
  @Test
  public void heldCallIsRefusedWhenTheVmStops() {
    Mono<Response> full = Mono.fromSupplier(() -> FakeTargets.response(200, "load", "2"));
    targets.setProbeResponse(sameZone.address(), full);
    targets.setProbeResponse(nextZone.address(), full);
    List<Response> responses = new ArrayList<>();
    router.handle(call(false, Set.of())).subscribe(responses::add);
    clock.advanceTimeBy(Duration.ofMillis(100));
    assertEquals(responses, List.of());
    stopSending.tryEmitEmpty();
    assertEquals(refusalVerdict(responses.getFirst()), Optional.of(Verdict.NOT_RUN));
    assertEquals(targets.sent, List.of());
  }

  /** The body of such a call arrived, or its retry was due, after the VM had stopped serving. */
  @Test
  public void callIsNotSentAfterTheVmStopped() {
    stopSending.tryEmitEmpty();
    assertEquals(refusalVerdict(write()), Optional.of(Verdict.NOT_RUN));
    assertEquals(targets.sent, List.of());
  }

  @Test
  public void sentCallIsAnsweredAfterTheVmStopped() {
    targets.setCallResponse(
        sameZone.address(),
        Mono.delay(Duration.ofMillis(200), clock)
            .map(tick -> FakeTargets.response(200, "proof", "1")));
    List<Response> responses = new ArrayList<>();
    router.handle(call(false, Set.of())).subscribe(responses::add);
    stopSending.tryEmitEmpty();
    clock.advanceTimeBy(Duration.ofMillis(300));
    assertEquals(responses.getFirst().status(), 200);
  }

  @Test
  public void heldCallGoesToTheFirstFreeTarget() {
    targets.setProbeResponse(sameZone.address(), Mono.fromSupplier(() -> loadResponse("4")));
    targets.setProbeResponse(nextZone.address(), Mono.fromSupplier(() -> loadResponse("4")));
    List<Response> responses = new ArrayList<>();
    router.handle(call(false, Set.of())).subscribe(responses::add);
    clock.advanceTimeBy(Duration.ofMillis(100));
    targets.setProbeResponse(nextZone.address(), Mono.fromSupplier(() -> loadResponse("0")));
    clock.advanceTimeBy(Duration.ofMillis(40));
    assertEquals(responses.getFirst().status(), 200);
    assertEquals(targets.sent, List.of(address(nextZone)));
  }

  /** Targets of other regions are probed only when all targets of the local region are busy. */
  @Test
  public void otherRegionIsProbedWhenTheLocalRegionIsBusy() {
    Target far = TestTargets.at("far", Place.of("n", "n-a"));
    directory.register(far, 0);
    targets.setProbeResponse(sameZone.address(), Mono.fromSupplier(() -> loadResponse("3")));
    targets.setProbeResponse(nextZone.address(), Mono.fromSupplier(() -> loadResponse("3")));
    assertEquals(read().status(), 200);
    assertEquals(targets.sent, List.of(address(far)));
  }

  private static Response loadResponse(String running) {
    return FakeTargets.response(200, "load", running);
  }

  @Test
  public void requestIsCancelledWhenTheCallerDisconnects() {
    targets.setCallResponse(sameZone.address(), Mono.never());
    Disposable running = router.handle(call(false, Set.of())).subscribe();
    clock.advanceTimeBy(Duration.ofMillis(30));
    assertFalse(running.isDisposed());
    running.dispose();
    assertEquals(targets.cancelled, List.of(address(sameZone)));
  }

  /** The pending probe never ended, so that its target was not probed again. */
  @Test
  public void probeWithEndlessBodyIsAbandoned() {
    Response endless = loadResponse("0").withBody(Flux.never());
    AtomicInteger probes = new AtomicInteger();
    targets.setProbeResponse(
        sameZone.address(),
        Mono.fromSupplier(
            () -> {
              probes.incrementAndGet();
              return endless;
            }));
    assertEquals(read().status(), 200);
    clock.advanceTimeBy(Duration.ofSeconds(2));
    assertEquals(read().status(), 200);
    assertEquals(probes.get(), 2);
  }

  @Test
  public void targetWithUnexpectedIdGetsNoCalls() {
    targets.setProbeResponse(
        sameZone.address(),
        Mono.fromSupplier(() -> FakeTargets.response(200, "load", "0", "by", "stranger")));
    read();
    assertEquals(targets.sent, List.of(address(nextZone)));
  }

  /** All calls to the service waited for half of their time, and some were refused then. */
  @Test
  public void serviceThatAnswersNoProbeIsServedAfterShortHold() {
    targets.setProbeResponse(sameZone.address(), Mono.never());
    targets.setProbeResponse(nextZone.address(), Mono.never());
    for (int i = 0; i < 5; i++) {
      List<Response> responses = new ArrayList<>();
      router.handle(call(false, Set.of())).subscribe(responses::add);
      clock.advanceTimeBy(Duration.ofMillis(200));
      assertEquals(responses.size(), 1, "call " + i);
      assertEquals(responses.getFirst().status(), 200);
    }
  }

  @Test
  public void serviceThatReportsItselfUnhealthyIsServedAtOnce() {
    Mono<Response> unhealthy = Mono.fromSupplier(() -> FakeTargets.response(503));
    targets.setProbeResponse(sameZone.address(), unhealthy);
    targets.setProbeResponse(nextZone.address(), unhealthy);
    List<Response> responses = new ArrayList<>();
    router.handle(call(false, Set.of())).subscribe(responses::add);
    clock.advanceTimeBy(Duration.ofMillis(50));
    assertEquals(responses.getFirst().status(), 200);
  }

  @Test
  public void targetsThatDoNotRespondToProbesStillGetCalls() {
    targets.setProbeResponse(sameZone.address(), Mono.never());
    targets.setProbeResponse(nextZone.address(), Mono.never());
    assertEquals(read().status(), 200);
  }

  @Test
  public void concurrentCallsShareProbes() {
    List<Endpoint> probes = new ArrayList<>();
    targets.setProbeResponse(
        sameZone.address(),
        Mono.<Response>never().doOnSubscribe(s -> probes.add(sameZone.address())));
    router.handle(call(true, Set.of())).subscribe();
    router.handle(call(true, Set.of())).subscribe();
    assertEquals(probes.size(), 1);
  }
}
