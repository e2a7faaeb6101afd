package org.radishpost.direct;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.radishpost.admission.ServiceRetryBudget;
import org.radishpost.config.Configuration;
import org.radishpost.config.Scope;
import org.radishpost.config.VersionedManifest;
import org.radishpost.errors.ConnectionDiedException;
import org.radishpost.errors.NotConnectedException;
import org.radishpost.http.Call;
import org.radishpost.http.CallBody;
import org.radishpost.http.CallHandler;
import org.radishpost.http.RequestHead;
import org.radishpost.http.Response;
import org.radishpost.lib.CallFacts;
import org.radishpost.lib.CallId;
import org.radishpost.lib.Endpoint;
import org.radishpost.lib.GatewayName;
import org.radishpost.lib.Place;
import org.radishpost.lib.RegionName;
import org.radishpost.lib.RequestKind;
import org.radishpost.lib.ServiceName;
import org.radishpost.lib.TenantName;
import org.radishpost.lib.Verdict;
import org.radishpost.lib.VmId;
import org.radishpost.manifest.DuplicateGuard;
import org.radishpost.manifest.Manifest;
import org.radishpost.manifest.RouteSpec;
import org.radishpost.manifest.RouteTerms;
import org.radishpost.placement.Target;
import org.radishpost.placement.TargetDirectory;
import org.radishpost.placement.Targets;
import org.radishpost.routing.RouteMatch;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import reactor.core.Disposable;
import reactor.core.publisher.Mono;
import reactor.test.scheduler.VirtualTimeScheduler;

/** What a call does when targets answer, refuse, die, hang or are gone. */
public class DirectRouterTest {
  private static final ServiceName SERVICE = new ServiceName("s");
  private static final GatewayName GATEWAY = new GatewayName("g");
  private static final TenantName TENANT = new TenantName("t");
  private static final Place HERE = Place.of("k", "k-a");
  private static final Place NEXT_ZONE = Place.of("k", "k-b");

  private final Target near = Targets.at("near", HERE);
  private final Target other = Targets.at("other", NEXT_ZONE);
  private VirtualTimeScheduler clock;
  private FakeTargets targets;
  private TargetDirectory directory;
  private Set<Scope> out;
  private CallHandler router;

  /** Starts with two targets, the one in this zone first. */
  @BeforeMethod
  public void start() {
    clock = VirtualTimeScheduler.create();
    targets = new FakeTargets();
    directory = new TargetDirectory((code, fields) -> {});
    directory.replaced(List.of(near, other), 0);
    out = Set.of();
    router = router(new ServiceRetryBudget(() -> 0, 1));
  }

  private CallHandler router(ServiceRetryBudget retries) {
    return DirectParts.router(
        new VmId("e-1"),
        HERE,
        () -> new Configuration(1, Map.of(), out),
        directory,
        targets,
        targets,
        retries,
        "id",
        clock,
        new SplittableRandom(1),
        (code, fields) -> {});
  }

  private Call call(boolean idempotent, Set<RegionName> homes) {
    RouteSpec route =
        new RouteSpec(
            "r",
            "h",
            Set.of("GET"),
            "/",
            SERVICE,
            idempotent ? RequestKind.READ : RequestKind.COMMIT,
            1,
            idempotent,
            Duration.ofSeconds(1),
            1_000,
            homes,
            DuplicateGuard.NONE,
            new RouteTerms(Optional.of(Duration.ofMillis(250)), 2, 1, List.of()));
    Manifest manifest = new Manifest(GATEWAY, TENANT, 0, List.of(), List.of(route));
    CallFacts facts =
        new CallFacts(
            new CallId(1),
            GATEWAY,
            "r",
            SERVICE,
            TENANT,
            route.kind(),
            1,
            idempotent,
            clock.now(TimeUnit.NANOSECONDS) + Duration.ofSeconds(1).toNanos(),
            0,
            homes,
            Optional.empty(),
            0);
    return new Call(
        facts,
        new RouteMatch(new VersionedManifest(1, manifest), route, null),
        RequestHead.get("/x"),
        CallBody.buffered(new byte[0]),
        Optional.empty(),
        0);
  }

  private Response answer(Call call) {
    List<Response> replies = new ArrayList<>();
    router.handle(call).subscribe(replies::add);
    clock.advanceTimeBy(Duration.ofMillis(30));
    if (replies.isEmpty()) {
      clock.advanceTimeBy(Duration.ofSeconds(1));
    }
    assertEquals(replies.size(), 1);
    return replies.getFirst();
  }

  private Response read() {
    return answer(call(true, Set.of()));
  }

  private Response write() {
    return answer(call(false, Set.of()));
  }

  private static Optional<Verdict> refusal(Response reply) {
    return reply.refusalVerdict();
  }

  private static String address(Target target) {
    return target.address().toString();
  }

  private void dies(Target target) {
    targets.calls(target.address(), Mono.error(() -> new ConnectionDiedException("died", null)));
  }

  private void refuses(Target target) {
    targets.calls(
        target.address(), Mono.fromSupplier(() -> FakeTargets.reply(503, "not-run", "1")));
  }

  @Test
  public void nearestFreeTargetAnswers() {
    assertEquals(read().status(), 200);
    assertEquals(targets.sent, List.of(address(near)));
  }

  @Test
  public void busyTargetIsPassedOverOnFreshLoad() {
    targets.statusAnswers(
        near.address(), Mono.fromSupplier(() -> FakeTargets.reply(200, "load", "2")));
    read();
    assertEquals(targets.sent, List.of(address(other)));
  }

  @Test
  public void lostWriteIsNotSentAgainAndIsNoRefusal() {
    dies(near);
    Response reply = write();
    assertEquals(reply.status(), 502);
    assertEquals(refusal(reply), Optional.of(Verdict.UNKNOWN));
    assertEquals(targets.sent, List.of(address(near)));
  }

  @Test
  public void lostReadIsSentAgain() {
    dies(near);
    assertEquals(read().status(), 200);
    assertEquals(targets.sent, List.of(address(near), address(other)));
  }

  @Test
  public void writeThatDidNotRunIsSentAgain() {
    refuses(near);
    assertEquals(write().status(), 200);
    assertEquals(targets.sent, List.of(address(near), address(other)));
  }

  @Test
  public void writeThatNobodyRanIsRefusedWithTimeToComeBack() {
    refuses(near);
    refuses(other);
    Response reply = write();
    assertEquals(reply.status(), 503);
    assertEquals(refusal(reply), Optional.of(Verdict.NOT_RUN));
    assertTrue(Double.parseDouble(reply.headers().get("retry-after")) > 0);
  }

  @Test
  public void refusedWriteThatThenDiesMayHaveRun() {
    refuses(near);
    dies(other);
    assertEquals(refusal(write()), Optional.of(Verdict.UNKNOWN));
  }

  @Test
  public void targetsOwnRefusalWithoutProofOfNotRunningIsNoPromise() {
    targets.calls(near.address(), FakeTargets.genuine(503));
    assertEquals(write().status(), 502);
    assertEquals(targets.sent.size(), 1);
  }

  @Test
  public void targetsOwnFailureOfWriteIsPassedOn() {
    targets.calls(near.address(), FakeTargets.genuine(500));
    assertEquals(write().status(), 500);
    assertEquals(targets.sent.size(), 1);
  }

  @Test
  public void successWithoutProofIsNotPassedOn() {
    targets.calls(near.address(), Mono.fromSupplier(() -> FakeTargets.reply(200)));
    assertEquals(write().status(), 502);
  }

  @Test
  public void unreachableTargetCostsNoRetry() {
    router = router(new ServiceRetryBudget(() -> 0, 0));
    targets.calls(near.address(), Mono.error(() -> new NotConnectedException("closed port", null)));
    assertEquals(write().status(), 200);
  }

  @Test
  public void retriesEndWithTheShare() {
    router = router(new ServiceRetryBudget(() -> 0, 0));
    dies(near);
    assertEquals(read().status(), 502);
    assertEquals(targets.sent.size(), 1);
  }

  @Test
  public void noTargetIsRefusedAtOnce() {
    directory.replaced(List.of(), 1);
    Response reply = read();
    assertEquals(reply.status(), 503);
    assertEquals(refusal(reply), Optional.of(Verdict.NOT_RUN));
  }

  @Test
  public void zoneOutOfServiceGetsNothing() {
    out = Set.of(new Scope(Scope.Kind.ZONE, "k-a"));
    read();
    assertEquals(targets.sent, List.of(address(other)));
  }

  @Test
  public void homeBoundCallStaysHome() {
    Response reply = answer(call(true, Set.of(new RegionName("n"))));
    assertEquals(reply.status(), 503);
    assertEquals(targets.sent, List.of());
  }

  @Test
  public void silentTargetEndsAtTheDeadlineAndIsCancelled() {
    targets.calls(near.address(), Mono.never());
    Response reply = write();
    assertEquals(reply.status(), 504);
    assertEquals(targets.cancelled, List.of(address(near)));
  }

  @Test
  public void slowReadIsAlsoSentToAnotherTarget() {
    targets.calls(near.address(), Mono.never());
    assertEquals(read().status(), 200);
    assertEquals(targets.sent, List.of(address(near), address(other)));
    assertEquals(targets.cancelled, List.of(address(near)));
  }

  @Test
  public void slowReadIsSentOnceWithoutShareOfRetries() {
    router = router(new ServiceRetryBudget(() -> 0, 0));
    targets.calls(near.address(), Mono.never());
    assertEquals(read().status(), 504);
    assertEquals(targets.sent, List.of(address(near)));
  }

  @Test
  public void readThatIsAnsweredCancelsNothing() {
    read();
    assertEquals(targets.cancelled, List.of());
  }

  @Test
  public void secondSendThatFailsLeavesTheFirstRunning() {
    targets.calls(
        near.address(), FakeTargets.genuine(200).delayElement(Duration.ofMillis(240), clock));
    dies(other);
    assertEquals(read().status(), 200);
    assertEquals(targets.sent, List.of(address(near), address(other)));
  }

  /** A burst fills every queue. */
  @Test
  public void callIsKeptBackWhileAllTargetsAreFullAndThenRefusedUnsent() {
    targets.statusAnswers(near.address(), Mono.fromSupplier(() -> load("4")));
    targets.statusAnswers(other.address(), Mono.fromSupplier(() -> load("5")));
    List<Response> replies = new ArrayList<>();
    router.handle(call(false, Set.of())).subscribe(replies::add);
    clock.advanceTimeBy(Duration.ofMillis(400));
    assertEquals(replies.size(), 0);
    clock.advanceTimeBy(Duration.ofMillis(200));
    assertEquals(replies.getFirst().status(), 503);
    assertEquals(refusal(replies.getFirst()), Optional.of(Verdict.NOT_RUN));
    assertEquals(targets.sent, List.of());
  }

  @Test
  public void callThatIsKeptBackGoesToTheFirstFreeTarget() {
    targets.statusAnswers(near.address(), Mono.fromSupplier(() -> load("4")));
    targets.statusAnswers(other.address(), Mono.fromSupplier(() -> load("4")));
    List<Response> replies = new ArrayList<>();
    router.handle(call(false, Set.of())).subscribe(replies::add);
    clock.advanceTimeBy(Duration.ofMillis(100));
    targets.statusAnswers(other.address(), Mono.fromSupplier(() -> load("0")));
    clock.advanceTimeBy(Duration.ofMillis(40));
    assertEquals(replies.getFirst().status(), 200);
    assertEquals(targets.sent, List.of(address(other)));
  }

  /** All targets of the region are busy, those of another region are not asked before. */
  @Test
  public void otherRegionIsAskedWhenNoTargetNearIsGoodEnough() {
    Target far = Targets.at("far", Place.of("n", "n-a"));
    directory.registered(far, 0);
    targets.statusAnswers(near.address(), Mono.fromSupplier(() -> load("3")));
    targets.statusAnswers(other.address(), Mono.fromSupplier(() -> load("3")));
    assertEquals(read().status(), 200);
    assertEquals(targets.sent, List.of(address(far)));
  }

  private static Response load(String running) {
    return FakeTargets.reply(200, "load", running);
  }

  @Test
  public void callerThatLeavesEndsTheWorkAtTheTarget() {
    targets.calls(near.address(), Mono.never());
    Disposable running = router.handle(call(false, Set.of())).subscribe();
    clock.advanceTimeBy(Duration.ofMillis(30));
    assertFalse(running.isDisposed());
    running.dispose();
    assertEquals(targets.cancelled, List.of(address(near)));
  }

  @Test
  public void anotherTargetAtTheAddressGetsNothing() {
    targets.statusAnswers(
        near.address(),
        Mono.fromSupplier(() -> FakeTargets.reply(200, "load", "0", "by", "stranger")));
    read();
    assertEquals(targets.sent, List.of(address(other)));
  }

  @Test
  public void targetsThatSayNothingStillServe() {
    targets.statusAnswers(near.address(), Mono.never());
    targets.statusAnswers(other.address(), Mono.never());
    assertEquals(read().status(), 200);
  }

  @Test
  public void statusQuestionsOfCallsAtTheSameTimeAreShared() {
    List<Endpoint> questions = new ArrayList<>();
    targets.statusAnswers(
        near.address(), Mono.<Response>never().doOnSubscribe(s -> questions.add(near.address())));
    router.handle(call(true, Set.of())).subscribe();
    router.handle(call(true, Set.of())).subscribe();
    assertEquals(questions.size(), 1);
  }
}
