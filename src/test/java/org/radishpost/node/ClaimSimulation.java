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

/** Simulates VMs, a faulty log and callers that resend calls through any VM, in virtual time. */
final class ClaimSimulation {
  /** A call from the point of view of its caller. */
  private record Call(Digest key, long keyMillis, Set<RegionName> homeRegions) {}

  static final int VM_COUNT = 5;
  private static final Duration RETENTION = Duration.ofMinutes(3);
  private static final long START_MILLIS = 3_600_000;
  private static final RegionName HOME_REGION = new RegionName("kelet");

  final VirtualTimeScheduler time = VirtualTimeScheduler.create();
  final RandomGenerator random;
  final MemoryLog memory = new MemoryLog(time, RETENTION);
  final FaultyLog log;
  final List<SimulatedClaimVm> vms = new ArrayList<>();
  final UnaryOperator<PlatformLog> logMutation;
  final BiFunction<Claims, VirtualTimeScheduler, Claims> claimsMutation;
  private final List<Call> calls = new ArrayList<>();
  private final Map<Digest, Integer> sendsByKey = new HashMap<>();
  private final Set<Digest> mayNotSend = new HashSet<>();
  private final List<String> timeline = new ArrayList<>();
  private Optional<String> fault = Optional.empty();
  private boolean faultsCleared;
  private int attemptCount;
  private int grantedCount;

  ClaimSimulation(
      RandomGenerator random,
      UnaryOperator<PlatformLog> logMutation,
      BiFunction<Claims, VirtualTimeScheduler, Claims> claimsMutation) {
    this.random = random;
    this.logMutation = logMutation;
    this.claimsMutation = claimsMutation;
    time.advanceTimeBy(Duration.ofMillis(START_MILLIS));
    log = new FaultyLog(memory, time, random);
    for (int number = 0; number < VM_COUNT; number++) {
      vms.add(new SimulatedClaimVm(this, number));
    }
    vms.forEach(SimulatedClaimVm::start);
  }

  /** Runs random steps until one breaks the protocol; returns the first fault, if any. */
  Optional<String> run(int steps) {
    for (int step = 0; step < steps && fault.isEmpty(); step++) {
      runRandomStep();
      time.advanceTimeBy(Duration.ofMillis(random.nextLong(150)));
    }
    return fault;
  }

  /** Clears all faults and checks that new calls are granted within seconds. */
  void checkRecovery(String seed) {
    log.clearFaults();
    faultsCleared = true;
    vms.forEach(SimulatedClaimVm::recover);
    time.advanceTimeBy(Duration.ofMinutes(2));
    int before = grantedCount;
    for (int number = 0; number < VM_COUNT; number++) {
      startAttempt(newCall(0), vms.get(number), Duration.ofSeconds(2));
    }
    time.advanceTimeBy(Duration.ofSeconds(3));
    record(
        "after recovery "
            + (grantedCount - before)
            + " of "
            + VM_COUNT
            + " new calls were granted");
    assertTrue(grantedCount - before == VM_COUNT, seed + "\n" + formatTimeline());
  }

  /**
   * Returns true with a probability of 1 in {@code oneIn}; always false once faults are cleared.
   */
  boolean linkFault(int oneIn) {
    return !faultsCleared && random.nextInt(oneIn) == 0;
  }

  int granted() {
    return grantedCount;
  }

  String formatTimeline() {
    return String.join("\n", timeline);
  }

  void record(String text) {
    timeline.add(time.now(TimeUnit.MILLISECONDS) + " " + text);
  }

  private void runRandomStep() {
    switch (random.nextInt(40)) {
      case 0 -> setLogDown("log down", random.nextInt(3) == 0);
      case 1, 2 -> setLogDown("log up", false);
      case 3 -> randomVm().pause();
      case 4, 5 -> vms.forEach(vm -> vm.resumeSometimes());
      case 6 -> randomVm().restart();
      case 7 -> restartAllSometimes();
      case 8, 9 -> randomVm().changeVisibleVms();
      case 10 -> advanceTimeSometimes();
      case 11, 12, 13 -> newCall(random.nextInt(20) == 0 ? 120_000 : random.nextInt(40_000));
      default -> resendRandomCall();
    }
  }

  private void setLogDown(String label, boolean down) {
    record(label + " " + down);
    log.setDown(down);
  }

  private void restartAllSometimes() {
    if (random.nextInt(6) == 0) {
      vms.forEach(SimulatedClaimVm::restart);
    }
  }

  private void advanceTimeSometimes() {
    if (random.nextInt(4) == 0) {
      record("time passes");
      time.advanceTimeBy(Duration.ofMillis(random.nextLong(2 * RETENTION.toMillis())));
    }
  }

  private Call newCall(long keyAheadMillis) {
    Digest key = Digest.of("key" + calls.size());
    long keyMillis = time.now(TimeUnit.MILLISECONDS) + keyAheadMillis;
    Call call = new Call(key, keyMillis, random.nextInt(4) == 0 ? Set.of(HOME_REGION) : Set.of());
    calls.add(call);
    return call;
  }

  private void resendRandomCall() {
    if (!calls.isEmpty()) {
      int recentCalls = Math.min(calls.size(), random.nextInt(4) == 0 ? 40 : 3);
      Call call = calls.get(calls.size() - 1 - random.nextInt(recentCalls));
      startAttempt(call, randomVm(), Duration.ofMillis(50 + random.nextInt(3_000)));
    }
  }

  private void startAttempt(Call call, SimulatedClaimVm vm, Duration timeout) {
    Digest id = Digest.of("attempt" + attemptCount++);
    ClaimRequest request =
        new ClaimRequest(call.key(), id, call.keyMillis(), call.homeRegions(), Optional.empty());
    String name =
        "key" + calls.indexOf(call) + " attempt" + (attemptCount - 1) + " on " + vm.name();
    record(name + " requests the claim, key time " + call.keyMillis() + ", timeout " + timeout);
    vm.run(
        claims ->
            claims.claim(request, timeout).subscribe(a -> handleResult(vm, request, name, a)));
  }

  private void handleResult(
      SimulatedClaimVm vm, ClaimRequest request, String name, ClaimResult result) {
    record(name + " gets the result " + result.getClass().getSimpleName());
    if (!(result instanceof ClaimResult.Granted)) {
      mayNotSend.add(request.attempt());
      check(
          !(result instanceof ClaimResult.Completed) || sendsByKey.containsKey(request.key()),
          name + " got an outcome for a key that never ran");
      return;
    }
    grantedCount++;
    if (random.nextInt(5) == 0) {
      mayNotSend.add(request.attempt());
      record(name + " withdraws");
      vm.claims().withdraw(request);
      return;
    }
    vm.runAfter(random.nextLong(400), () -> send(vm, request, name));
  }

  private void send(SimulatedClaimVm vm, ClaimRequest request, String name) {
    record(name + " sends");
    check(!mayNotSend.contains(request.attempt()), name + " sent without a valid grant");
    check(sendsByKey.merge(request.key(), 1, Integer::sum) == 1, name + " ran a key twice");
    if (random.nextInt(10) < 7) {
      ClaimOutcome outcome = new ClaimOutcome(200, "", new byte[0]);
      vm.runAfter(random.nextLong(300), () -> vm.claims().complete(request, outcome));
    }
  }

  private void check(boolean holds, String text) {
    if (!holds && fault.isEmpty()) {
      record("FAULT " + text);
      fault = Optional.of(text);
    }
  }

  private SimulatedClaimVm randomVm() {
    return vms.get(random.nextInt(VM_COUNT));
  }
}
