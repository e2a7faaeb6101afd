package org.radishpost.node;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.radishpost.admission.RetryAllowance;
import org.radishpost.config.ConfigChange;
import org.radishpost.config.PublishResult;
import org.radishpost.config.Scope;
import org.radishpost.http.Call;
import org.radishpost.http.CallBody;
import org.radishpost.http.HeaderNames;
import org.radishpost.http.Problems;
import org.radishpost.http.RequestHead;
import org.radishpost.http.Response;
import org.radishpost.lib.CallId;
import org.radishpost.lib.CallInfo;
import org.radishpost.lib.Digest;
import org.radishpost.lib.Distance;
import org.radishpost.lib.Endpoint;
import org.radishpost.lib.Place;
import org.radishpost.lib.VmId;
import org.radishpost.manifest.DuplicateGuard;
import org.radishpost.manifest.TargetSpec;
import org.radishpost.routing.RouteMatch;
import org.radishpost.standin.MemoryLog;
import org.radishpost.standin.MemoryVmList;
import org.radishpost.store.VmEntry;
import reactor.core.publisher.Mono;
import reactor.test.scheduler.VirtualTimeScheduler;

/**
 * Simulates a small deployment in virtual time: three regions of two zones, and a VM and two
 * targets in each zone.
 */
final class ScenarioSimulation {
  static final Duration DEADLINE = Duration.ofMillis(800);
  private static final String LOOPBACK = "127.0.0.1";
  private static final int FIRST_VM_PORT = 10_000;
  private static final int TARGETS_PER_ZONE = 2;
  private static final Duration RETENTION = Duration.ofHours(1);
  private static final long EPOCH_MILLIS = 1_800_000_000_000L;
  private static final List<Place> PLACES =
      List.of(
          Place.of("granite-belt", "gb-1"),
          Place.of("granite-belt", "gb-2"),
          Place.of("darling-downs", "dd-1"),
          Place.of("darling-downs", "dd-2"),
          Place.of("lockyer", "lo-1"),
          Place.of("lockyer", "lo-2"));

  final VirtualTimeScheduler time = VirtualTimeScheduler.create();
  final SplittableRandom random;
  final MemoryLog log = new MemoryLog(time, RETENTION);
  final MemoryVmList list = new MemoryVmList(time);
  final ScenarioNetwork network = new ScenarioNetwork(time);
  final ScenarioTargets targets;
  final Map<String, ScenarioVm> vms = new LinkedHashMap<>();
  final List<ScenarioCall> calls = new ArrayList<>();
  final List<String> recorded = new ArrayList<>();
  private long lastNumber;

  ScenarioSimulation(long seed) {
    time.advanceTimeBy(Duration.ofMillis(EPOCH_MILLIS));
    random = new SplittableRandom(seed);
    targets = new ScenarioTargets(time, new SplittableRandom(seed + 1));
    int port = 1;
    for (Place place : PLACES) {
      for (int i = 0; i < TARGETS_PER_ZONE; i++) {
        targets.add(new Endpoint(LOOPBACK, port++), place);
      }
    }
    PLACES.forEach(place -> startVm("vm-" + place.zone(), place));
    advance(Duration.ofSeconds(2));
    publish("first", new ConfigChange.Publish(ScenarioManifest.of(specs(), 0)));
    advance(Duration.ofSeconds(2));
  }

  static long latencyMicros(Place from, Place to) {
    Distance distance = from.distanceTo(to);
    return switch (distance) {
      case SAME_ZONE -> 100;
      case SAME_REGION -> 500;
      case OTHER_REGION -> 8_000;
    };
  }

  List<TargetSpec> specs() {
    return targets.asList().stream()
        .map(t -> new TargetSpec(t.address, t.place, ScenarioTarget.SLOTS, 220))
        .toList();
  }

  ScenarioVm startVm(String name, Place place) {
    Endpoint own = new Endpoint(LOOPBACK, FIRST_VM_PORT + (int) ++lastNumber);
    VmEntry entry = new VmEntry(new VmId(name), place, own, own, false);
    list.put(entry);
    ScenarioVm vm = new ScenarioVm(entry, time, log, list, network, targets, random.nextLong());
    vms.put(name, vm);
    return vm;
  }

  /** Ends a VM and starts another at the same place; the VM list changes immediately. */
  void replace(String name) {
    ScenarioVm old = vms.remove(name);
    old.kill(network);
    list.remove(old.entry.id());
    startVm(name + "x", old.entry.place());
  }

  void advance(Duration duration) {
    long steps = duration.toMillis();
    for (long i = 0; i < steps; i++) {
      time.advanceTimeBy(Duration.ofMillis(1));
    }
  }

  void record(String text) {
    recorded.add(targets.nowMillis() + " " + text);
  }

  Optional<PublishResult> publish(String operation, ConfigChange change) {
    ScenarioVm vm = vms.values().iterator().next();
    List<PublishResult> results = new ArrayList<>();
    vm.core.config().publish(operation, change, Duration.ofSeconds(5)).subscribe(results::add);
    advance(Duration.ofMillis(500));
    return results.stream().findFirst();
  }

  void setService(Scope.Kind kind, String name, boolean out) {
    record((out ? "out " : "in ") + kind + " " + name);
    publish("service-" + ++lastNumber, new ConfigChange.SetService(new Scope(kind, name), out, -1));
  }

  /** Sends calls at a steady rate through the VMs that are ready. */
  void sendCalls(String path, double perSecond, Duration duration) {
    long end = targets.nowMillis() + duration.toMillis();
    double callsDue = 0;
    while (targets.nowMillis() < end) {
      callsDue += perSecond / 1_000;
      while (callsDue >= 1) {
        callsDue--;
        readyVm().ifPresent(vm -> send(vm, path, Map.of()));
      }
      advance(Duration.ofMillis(1));
    }
  }

  Optional<ScenarioVm> readyVm() {
    List<ScenarioVm> ready =
        vms.values().stream()
            .filter(vm -> !vm.wasKilled() && !vm.paused() && vm.core.readiness().ready())
            .toList();
    return ready.isEmpty()
        ? Optional.empty()
        : Optional.of(ready.get(random.nextInt(ready.size())));
  }

  String newKey() {
    return targets.nowMillis() + "-abcdefghijklmnop" + ++lastNumber;
  }

  ScenarioCall send(ScenarioVm vm, String path, Map<String, String> fields) {
    String request = "r" + ++lastNumber;
    HttpHeaders headers = new DefaultHttpHeaders();
    fields.forEach(headers::set);
    headers.set(ScenarioTargets.REQUEST_FIELD, request);
    ScenarioCall call = new ScenarioCall(request, path, vm, targets.nowMillis());
    calls.add(call);
    Optional<RouteMatch> match = vm.core.directory().routes().find("any", method(path), path);
    if (match.isEmpty()) {
      call.complete(Response.of(Problems.noRoute()), targets.nowMillis());
      return call;
    }
    call.match = match;
    handle(vm, match.get(), new RequestHead(method(path), path, headers), call);
    return call;
  }

  private void handle(ScenarioVm vm, RouteMatch match, RequestHead head, ScenarioCall call) {
    if (!match.route().allowsRegion(vm.entry.place().region())) {
      call.complete(
          Response.of(Problems.outsideHomeRegions(match.route().homeRegions())),
          targets.nowMillis());
      return;
    }
    Mono<Response> result = vm.core.callHandler().handle(call(match, head));
    result.subscribe(response -> call.complete(response, targets.nowMillis()));
  }

  private Call call(RouteMatch match, RequestHead head) {
    CallBody body = CallBody.buffered(new byte[] {1, 2, 3});
    CallInfo info =
        new CallInfo(
            new CallId(++lastNumber),
            match.manifest().manifest().gateway(),
            match.route().name(),
            match.route().service(),
            match.manifest().manifest().tenant(),
            match.route().kind(),
            match.route().weight(),
            match.route().idempotent(),
            time.now(TimeUnit.NANOSECONDS) + match.route().deadline().toNanos(),
            3,
            match.route().homeRegions(),
            Optional.of(
                fingerprint(
                    head.target(),
                    head.headers().get(ScenarioTargets.CRASH_FIELD, "" + lastNumber))),
            0);
    return new Call(
        info,
        match,
        head,
        body,
        Optional.ofNullable(head.headers().get(HeaderNames.IDEMPOTENCY_KEY)),
        RetryAllowance.MAX_RETRIES);
  }

  static Digest fingerprint(String path, String marker) {
    return Digest.of(path + marker);
  }

  private static String method(String path) {
    return ScenarioManifest.guardOf(path) == DuplicateGuard.NONE ? "GET" : "POST";
  }

  /** Returns the last lines of the timeline, to be printed when a check fails. */
  String formatTimeline() {
    List<String> lines = new ArrayList<>(recorded);
    vms.forEach((name, vm) -> vm.events.forEach(event -> lines.add(event + " " + name)));
    lines.sort(null);
    return String.join("\n", lines.subList(Math.max(0, lines.size() - 60), lines.size()));
  }

  Set<String> zones() {
    return Set.copyOf(PLACES.stream().map(place -> place.zone().value()).toList());
  }
}
