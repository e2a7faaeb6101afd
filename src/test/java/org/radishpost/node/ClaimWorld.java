package org.radishpost.node;

import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BiFunction;
import java.util.function.UnaryOperator;
import java.util.random.RandomGenerator;
import org.radishpost.claims.ClaimOutcome;
import org.radishpost.claims.ClaimRequest;
import org.radishpost.claims.ClaimResult;
import org.radishpost.claims.Claims;
import org.radishpost.lib.Digest;
import org.radishpost.lib.RegionName;
import org.radishpost.standin.MemoryLog;
import org.radishpost.store.PlatformLog;
import reactor.test.scheduler.VirtualTimeScheduler;

/** VMs, a faulty log and callers who send their calls again through any VM, in virtual time. */
final class ClaimWorld {
  /** One call as its caller knows it. */
  private record Call(Digest key, long keyMillis, Set<RegionName> homeRegions) {}

  static final int VMS = 5;
  private static final Duration RETENTION = Duration.ofMinutes(3);
  private static final long START_MILLIS = 3_600_000;
  private static final RegionName HOME = new RegionName("kelet");

  final VirtualTimeScheduler time = VirtualTimeScheduler.create();
  final RandomGenerator random;
  final MemoryLog memory = new MemoryLog(time, RETENTION);
  final ScheduledLog log;
  final List<ClaimVm> vms = new ArrayList<>();
  final UnaryOperator<PlatformLog> logMutation;
  final BiFunction<Claims, VirtualTimeScheduler, Claims> claimsMutation;
  private final List<Call> calls = new ArrayList<>();
  private final Map<Digest, Integer> sends = new HashMap<>();
  private final Set<Digest> barred = new HashSet<>();
  private final List<String> timeLine = new ArrayList<>();
  private Optional<String> fault = Optional.empty();
  private boolean healed;
  private int attempts;
  private int granted;

  ClaimWorld(
      RandomGenerator random,
      UnaryOperator<PlatformLog> logMutation,
      BiFunction<Claims, VirtualTimeScheduler, Claims> claimsMutation) {
    this.random = random;
    this.logMutation = logMutation;
    this.claimsMutation = claimsMutation;
    time.advanceTimeBy(Duration.ofMillis(START_MILLIS));
    log = new ScheduledLog(memory, time, random);
    for (int number = 0; number < VMS; number++) {
      vms.add(new ClaimVm(this, number));
    }
    vms.forEach(ClaimVm::start);
  }

  /** Returns the first broken promise, if any, after so many random steps. */
  Optional<String> run(int steps) {
    for (int step = 0; step < steps && fault.isEmpty(); step++) {
      act();
      time.advanceTimeBy(Duration.ofMillis(random.nextLong(150)));
    }
    return fault;
  }

  /** Mends everything and shows that new calls run at once. */
  void checkRecovery(String seed) {
    log.heal();
    healed = true;
    vms.forEach(ClaimVm::heal);
    time.advanceTimeBy(Duration.ofMinutes(2));
    int before = granted;
    for (int number = 0; number < VMS; number++) {
      attempt(newCall(0), vms.get(number), Duration.ofSeconds(2));
    }
    time.advanceTimeBy(Duration.ofSeconds(3));
    note("after recovery " + (granted - before) + " of " + VMS + " new calls were granted");
    assertTrue(granted - before == VMS, seed + "\n" + timeLine());
  }

  /** Tells whether a link fails now, once in so many times. */
  boolean linkFault(int times) {
    return !healed && random.nextInt(times) == 0;
  }

  int granted() {
    return granted;
  }

  String timeLine() {
    return String.join("\n", timeLine);
  }

  void note(String text) {
    timeLine.add(time.now(TimeUnit.MILLISECONDS) + " " + text);
  }

  private void act() {
    switch (random.nextInt(40)) {
      case 0 -> toggle("log down", random.nextInt(3) == 0);
      case 1, 2 -> toggle("log up", false);
      case 3 -> anyVm().pause();
      case 4, 5 -> vms.forEach(vm -> vm.resumeSometimes());
      case 6 -> anyVm().restart();
      case 7 -> restartAllSometimes();
      case 8, 9 -> anyVm().changeView();
      case 10 -> passTimeSometimes();
      case 11, 12, 13 -> newCall(random.nextInt(20) == 0 ? 120_000 : random.nextInt(40_000));
      default -> sendAgain();
    }
  }

  private void toggle(String what, boolean down) {
    note(what + " " + down);
    log.down(down);
  }

  private void restartAllSometimes() {
    if (random.nextInt(6) == 0) {
      vms.forEach(ClaimVm::restart);
    }
  }

  private void passTimeSometimes() {
    if (random.nextInt(4) == 0) {
      note("time passes");
      time.advanceTimeBy(Duration.ofMillis(random.nextLong(2 * RETENTION.toMillis())));
    }
  }

  private Call newCall(long aheadMillis) {
    Digest key = Digest.of("key" + calls.size());
    long keyMillis = time.now(TimeUnit.MILLISECONDS) + aheadMillis;
    Call call = new Call(key, keyMillis, random.nextInt(4) == 0 ? Set.of(HOME) : Set.of());
    calls.add(call);
    return call;
  }

  private void sendAgain() {
    if (!calls.isEmpty()) {
      int back = Math.min(calls.size(), random.nextInt(4) == 0 ? 40 : 3);
      Call call = calls.get(calls.size() - 1 - random.nextInt(back));
      attempt(call, anyVm(), Duration.ofMillis(50 + random.nextInt(3_000)));
    }
  }

  private void attempt(Call call, ClaimVm vm, Duration limit) {
    Digest id = Digest.of("attempt" + attempts++);
    ClaimRequest request =
        new ClaimRequest(call.key(), id, call.keyMillis(), call.homeRegions(), Optional.empty());
    String name = "key" + calls.indexOf(call) + " attempt" + (attempts - 1) + " on " + vm.name();
    note(name + " asks, key time " + call.keyMillis() + ", limit " + limit);
    vm.run(claims -> claims.claim(request, limit).subscribe(a -> take(vm, request, name, a)));
  }

  private void take(ClaimVm vm, ClaimRequest request, String name, ClaimResult answer) {
    note(name + " is answered " + answer.getClass().getSimpleName());
    if (!(answer instanceof ClaimResult.Granted)) {
      barred.add(request.attempt());
      check(
          !(answer instanceof ClaimResult.Completed) || sends.containsKey(request.key()),
          name + " was told an outcome of a key that never ran");
      return;
    }
    granted++;
    if (random.nextInt(5) == 0) {
      barred.add(request.attempt());
      note(name + " withdraws");
      vm.claims().withdraw(request);
      return;
    }
    vm.later(random.nextLong(400), () -> send(vm, request, name));
  }

  private void send(ClaimVm vm, ClaimRequest request, String name) {
    note(name + " sends");
    check(!barred.contains(request.attempt()), name + " sent after a refusal");
    check(sends.merge(request.key(), 1, Integer::sum) == 1, name + " ran a key twice");
    if (random.nextInt(10) < 7) {
      ClaimOutcome outcome = new ClaimOutcome(200, "", new byte[0]);
      vm.later(random.nextLong(300), () -> vm.claims().complete(request, outcome));
    }
  }

  private void check(boolean holds, String text) {
    if (!holds && fault.isEmpty()) {
      note("FAULT " + text);
      fault = Optional.of(text);
    }
  }

  private ClaimVm anyVm() {
    return vms.get(random.nextInt(VMS));
  }
}
