package org.radishpost.direct;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
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
import org.radishpost.events.EventCode;
import org.radishpost.http.ByteBudget;
import org.radishpost.http.Call;
import org.radishpost.http.CallBody;
import org.radishpost.http.CallHandler;
import org.radishpost.http.CallSender;
import org.radishpost.http.RequestHead;
import org.radishpost.http.Response;
import org.radishpost.http.ResponseBuffering;
import org.radishpost.lib.CallInfo;
import org.radishpost.lib.Digest;
import org.radishpost.lib.Endpoint;
import org.radishpost.lib.Place;
import org.radishpost.lib.Verdict;
import org.radishpost.lib.VmId;
import org.radishpost.placement.Target;
import org.radishpost.placement.TargetDirectory;
import org.radishpost.placement.TestTargets;
import org.radishpost.suspects.CrashHistory;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;
import reactor.test.scheduler.VirtualTimeScheduler;

/**
 * Tests that a request that crashes each target that runs it is stopped after three crashes over
 * all VMs, and that no other request is.
 */
public class CrashingRequestTest {
  private static final List<Place> RELAY_PLACES =
      List.of(Place.of("k", "k-a"), Place.of("l", "l-a"), Place.of("m", "m-a"));
  private static final int VMS = 16;
  private static final int TARGETS = 30;
  private static final String CRASHING_PATH = "/crash";

  private final Map<String, CrashHistory> histories = new HashMap<>();
  private final List<EventCode> events = new ArrayList<>();
  private VirtualTimeScheduler clock;
  private SimulatedRelays relays;
  private List<Target> registered;
  private CrashableTargets targets;
  private List<CallHandler> vms;

  /** Creates VMs in three regions, which are connected to three relays. */
  @BeforeMethod
  public void start() {
    clock = VirtualTimeScheduler.create();
    histories.clear();
    events.clear();
    registered = new ArrayList<>();
    for (int i = 0; i < TARGETS; i++) {
      registered.add(TestTargets.at("t-" + i, RELAY_PLACES.get(i % RELAY_PLACES.size())));
    }
    targets = new CrashableTargets();
    SplittableRandom random = new SplittableRandom(1);
    relays = new SimulatedRelays(RELAY_PLACES, registered, clock, random.split());
    vms = new ArrayList<>();
    for (int i = 0; i < VMS; i++) {
      vms.add(vm("e-" + i, RELAY_PLACES.get(i % RELAY_PLACES.size()), random));
    }
    clock.advanceTimeBy(Duration.ofMillis(500));
  }

  private CallHandler vm(String name, Place place, SplittableRandom random) {
    TargetDirectory directory = new TargetDirectory((code, fields) -> {});
    directory.replaceAll(registered, clock.now(TimeUnit.NANOSECONDS));
    CrashHistory crashes = new CrashHistory(() -> clock.now(TimeUnit.NANOSECONDS));
    histories.put(name, crashes);
    SlotClient brokers =
        new SlotClient(
            place.zone(),
            relays.dialer(place),
            clock,
            random.split(),
            (code, fields) -> {},
            crashes);
    brokers.setRelays(relays.addresses());
    clock.schedulePeriodically(brokers::tick, 0, 250, TimeUnit.MILLISECONDS);
    return DirectRouterFactory.create(
        new VmId(name),
        place,
        () -> new Configuration(1, Map.of(), Set.of()),
        directory,
        brokers,
        new FakeTargets(),
        targets,
        new ResponseBuffering(new ByteBudget(1_000_000)),
        new ServiceBudget(() -> 1, 10),
        crashes,
        "id",
        clock,
        random.split(),
        Mono.never(),
        (code, fields) -> events.add(code));
  }

  private Call call(String path, boolean idempotent, CallBody body) {
    Call template =
        TestCalls.create(
            idempotent, Set.of(), Duration.ofMillis(250), Duration.ofSeconds(2), clock);
    return new Call(
        template.info(),
        template.match(),
        RequestHead.get(path).withField("id", "attempt-" + events.size()),
        body,
        Optional.empty(),
        0);
  }

  private List<Response> startAt(int vm, String path, boolean idempotent) {
    List<Response> responses = new ArrayList<>();
    vms.get(vm % VMS)
        .handle(call(path, idempotent, CallBody.buffered(new byte[0])))
        .subscribe(responses::add);
    return responses;
  }

  private Response sendTo(int vm, String path, boolean idempotent) {
    List<Response> responses = startAt(vm, path, idempotent);
    clock.advanceTimeBy(Duration.ofSeconds(3));
    assertEquals(responses.size(), 1);
    return responses.getFirst();
  }

  private int crashed() {
    return targets.crashed.size();
  }

  /** The request was passed on without end, because no VM remembered whom it had crashed. */
  @Test
  public void writeThatCrashesItsTargetsIsRefusedAfterThreeCrashesWhicheverVmItComesTo() {
    for (int i = 0; i < 3; i++) {
      assertEquals(sendTo(i, CRASHING_PATH, false).status(), 502);
    }
    for (int i = 3; i < 25; i++) {
      Response refusal = sendTo(i, CRASHING_PATH, false);
      assertEquals(refusal.status(), 503);
      assertEquals(refusal.refusalVerdict(), Optional.of(Verdict.NOT_RUN));
      assertTrue(Double.parseDouble(refusal.headers().get("retry-after")) > 500);
    }
    assertEquals(crashed(), 3);
    assertTrue(events.contains(EventCode.TARGET_CRASHED));
    assertTrue(events.contains(EventCode.SUSPECT_REFUSED));
  }

  @Test
  public void readThatCrashesItsTargetsIsNotRetriedOnceItIsSuspected() {
    assertEquals(sendTo(0, CRASHING_PATH, true).status(), 502);
    int crashedByFirst = crashed();
    assertEquals(crashedByFirst, 2);
    sendTo(1, CRASHING_PATH, true);
    assertEquals(crashed(), crashedByFirst + 1);
    for (int i = 2; i < 10; i++) {
      assertEquals(sendTo(i, CRASHING_PATH, true).status(), 503);
    }
    assertEquals(crashed(), crashedByFirst + 1);
  }

  @Test
  public void countSurvivesTheLossOfAllRelays() {
    for (int i = 0; i < 2; i++) {
      sendTo(i, CRASHING_PATH, false);
    }
    relays.silence(2);
    sendTo(2, CRASHING_PATH, false);
    assertEquals(sendTo(3, CRASHING_PATH, false).status(), 503);
    relays.silence(3);
    for (int i = 0; i < VMS; i++) {
      assertEquals(sendTo(i, CRASHING_PATH, false).status(), 503);
    }
  }

  /** The relay was unreachable when the VM saw the crashes. */
  @Test
  public void crashesThatCouldNotBeSentAreSentOnTheNextConnection() {
    relays.silence(3);
    clock.advanceTimeBy(Duration.ofSeconds(3));
    for (int i = 0; i < 3; i++) {
      sendTo(0, CRASHING_PATH, false);
    }
    assertEquals(histories.get("e-1").size(), 0);
    relays.restoreAll();
    clock.advanceTimeBy(Duration.ofSeconds(10));
    for (int i = 1; i < VMS; i++) {
      assertEquals(sendTo(i, CRASHING_PATH, false).status(), 503);
    }
    assertEquals(crashed(), 3);
  }

  @Test
  public void requestsThatRunBesideTheCrashingOneAreServedLater() {
    targets.serviceTime = Duration.ofMillis(100);
    List<List<Response>> beside = new ArrayList<>();
    for (int i = 0; i < 6; i++) {
      for (int vm = 0; vm < 3 * VMS; vm++) {
        beside.add(startAt(vm, "/beside-" + vm, false));
      }
      clock.advanceTimeBy(Duration.ofMillis(30));
      sendTo(i, CRASHING_PATH, false);
    }
    assertTrue(beside.stream().anyMatch(responses -> responses.getFirst().status() == 502));
    for (int vm = 0; vm < 3 * VMS; vm++) {
      assertEquals(sendTo(vm, "/beside-" + vm, false).status(), 200);
    }
    assertEquals(sendTo(0, CRASHING_PATH, false).status(), 503);
  }

  /** A connection is reset on the way, or a target drops its connections, again and again. */
  @Test
  public void requestWhoseTargetsStayAliveIsNeverBlocked() {
    targets.resetsOnly = true;
    for (int i = 0; i < 10; i++) {
      assertEquals(sendTo(i, CRASHING_PATH, false).status(), 502);
    }
    targets.resetsOnly = false;
    assertEquals(histories.get("e-0").size(), 0);
    assertFalse(events.contains(EventCode.SUSPECT_REFUSED));
  }

  /** Targets are lost one after the other for another reason, while a popular read runs on each. */
  @Test
  public void popularReadWhoseTargetsDieOfAnotherCauseIsServed() {
    targets.serviceTime = Duration.ofMillis(100);
    for (int i = 0; i < 8; i++) {
      List<List<Response>> reads = new ArrayList<>();
      for (int vm = 0; vm < VMS; vm++) {
        reads.add(startAt(vm, "/popular", true));
      }
      clock.advanceTimeBy(Duration.ofMillis(60));
      targets.crash(targets.running.getFirst());
      clock.advanceTimeBy(Duration.ofSeconds(2));
      for (List<Response> responses : reads) {
        assertEquals(responses.getFirst().status(), 200);
      }
    }
    assertEquals(crashed(), 8);
  }

  /** The body of a large upload is not kept: its first part and its length identify it. */
  @Test
  public void largeUploadsAreToldApartByFirstPartAndLength() {
    byte[] first = new byte[200_000];
    byte[] differsLate = first.clone();
    differsLate[150_000] = 1;
    byte[] differsEarly = first.clone();
    differsEarly[1_000] = 1;
    Digest fingerprint = uploadFingerprint(first, 200_000);
    assertEquals(uploadFingerprint(differsLate, 200_000), fingerprint);
    assertNotEquals(uploadFingerprint(differsEarly, 200_000), fingerprint);
    assertNotEquals(uploadFingerprint(first, 200_001), fingerprint);
  }

  private Digest uploadFingerprint(byte[] body, long declaredBytes) {
    Call call = call("/upload", false, CallBody.buffered(body));
    CallInfo info = call.info();
    CallInfo withLength =
        new CallInfo(
            info.id(),
            info.gateway(),
            info.route(),
            info.service(),
            info.tenant(),
            info.kind(),
            info.weight(),
            info.idempotent(),
            info.deadlineNanos(),
            declaredBytes,
            info.homeRegions(),
            Optional.empty(),
            info.depth());
    return RequestFingerprint.of(
        new Call(withLength, call.match(), call.head(), call.body(), Optional.empty(), 0));
  }

  /** Targets that end when they run a request with the crashing path. */
  private final class CrashableTargets implements CallSender {
    private static final String PROBE_PATH = "/status";

    private final List<String> crashed = new ArrayList<>();
    private final List<String> running = new ArrayList<>();
    private final Map<String, Sinks.Empty<Response>> ends = new HashMap<>();
    private Duration serviceTime = Duration.ofMillis(5);
    private boolean resetsOnly;

    @Override
    public Mono<Response> send(Endpoint address, RequestHead head, CallBody body, Duration limit) {
      String target = address.toString();
      if (crashed.contains(target)) {
        return Mono.error(new NotConnectedException("refused", null));
      }
      if (head.target().equals(PROBE_PATH)) {
        return Mono.just(FakeTargets.response(200, "load", "0"));
      }
      if (!head.target().equals(CRASHING_PATH)) {
        return respond(target);
      }
      return Mono.delay(Duration.ofMillis(1), clock)
          .then(Mono.defer(() -> resetsOnly ? lost() : crash(target)));
    }

    private Mono<Response> respond(String target) {
      running.add(target);
      return Mono.firstWithSignal(
              ends.computeIfAbsent(target, t -> Sinks.empty()).asMono(),
              Mono.delay(serviceTime, clock)
                  .map(tick -> FakeTargets.response(200, "proof", "1", "load", "1")))
          .doFinally(signal -> running.remove(target));
    }

    private Mono<Response> crash(String target) {
      if (!crashed.contains(target)) {
        crashed.add(target);
        Optional.ofNullable(ends.get(target))
            .ifPresent(end -> end.tryEmitError(new ConnectionLostException("reset", null)));
      }
      return lost();
    }

    private static Mono<Response> lost() {
      return Mono.error(new ConnectionLostException("reset", null));
    }

    @Override
    public void closeIdle(Endpoint address) {}

    @Override
    public Flux<Endpoint> closedAddresses() {
      return Flux.never();
    }
  }
}
