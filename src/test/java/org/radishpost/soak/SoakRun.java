package org.radishpost.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;
import java.util.Random;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import org.radishpost.errors.StartException;
import org.radishpost.soak.EntryProcess.Signal;

/**
 * Runs the soak for one seed: starts the system, injects faults while callers send requests, clears
 * all faults, checks that the system recovers, and restarts two entries.
 *
 * <p>The timeouts only detect hangs. The checks do not depend on the speed of the machine.
 */
final class SoakRun {
  private static final int ENTRY_COUNT = 4;
  private static final int TARGETS_PER_SERVICE = 4;
  private static final int CALLER_COUNT = 8;
  private static final int STEP_MILLIS = 400;
  private static final int POLL_INTERVAL_MILLIS = 50;
  private static final int SAMPLE_INTERVAL_MILLIS = 250;
  private static final int WAIT_TIMEOUT_MILLIS = 120_000;
  private static final int SETTLE_MILLIS = 4_000;
  private static final int MIN_SUCCESSES_PER_ENTRY = 20;

  private final long seed;
  private final int steps;
  private final Path directory;
  private final RequestTracker tracker = new RequestTracker();
  private final MetricsSampler metrics = new MetricsSampler();
  private final AtomicBoolean callersRunning = new AtomicBoolean(true);
  private final List<Violation> violations = new ArrayList<>();

  SoakRun(long seed, int steps, Path directory) {
    this.seed = seed;
    this.steps = steps;
    this.directory = directory;
  }

  /** Runs the soak and returns the violations. The logs remain in the directory. */
  List<Violation> run() throws IOException, InterruptedException, StartException {
    Files.createDirectories(directory);
    Random random = new Random(seed);
    try (SoakSystem system = new SoakSystem(directory, ENTRY_COUNT, random, tracker)) {
      system.start(TARGETS_PER_SERVICE);
      FaultInjector faultInjector = new FaultInjector(system, random, new Random(~seed));
      awaitEntries(system, "START", SoakSystem::isReady);
      final List<Thread> callers = startCallers(system);
      callers.addAll(startSamplers(system));
      for (int i = 0; i < steps; i++) {
        faultInjector.step();
        Thread.sleep(STEP_MILLIS);
      }
      faultInjector.clearAllFaults();
      awaitEntries(system, "RECOVER", SoakSystem::isReady);
      awaitSuccesses(system);
      awaitLatestConfiguration(system);
      Thread.sleep(SETTLE_MILLIS);
      final long settledNanos = System.nanoTime();
      restartEntries(system);
      checkDrainingTargetsIdle(system, settledNanos);
      callersRunning.set(false);
      for (Thread caller : callers) {
        caller.join();
      }
      system.entries().forEach(metrics::sample);
      writeSummary(faultInjector.events());
    }
    violations.addAll(tracker.violations(SoakSystem.MAX_ATTEMPTS));
    Files.write(
        directory.resolve("violations.txt"), violations.stream().map(Violation::toString).toList());
    return violations;
  }

  private List<Thread> startCallers(SoakSystem system) {
    List<Thread> callers = new ArrayList<>();
    for (int i = 0; i < CALLER_COUNT; i++) {
      Caller caller =
          new Caller("s" + seed + "-c" + i, seed + i, tracker, system, callersRunning::get);
      callers.add(Thread.ofVirtual().start(caller));
    }
    return callers;
  }

  private List<Thread> startSamplers(SoakSystem system) {
    return system.entries().stream()
        .map(entry -> Thread.ofVirtual().start(() -> sampleWhileCallersRun(entry)))
        .toList();
  }

  private void sampleWhileCallersRun(EntryProcess entry) {
    try {
      while (callersRunning.get()) {
        metrics.sample(entry);
        Thread.sleep(SAMPLE_INTERVAL_MILLIS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void awaitEntries(SoakSystem system, String promise, Predicate<EntryProcess> condition)
      throws InterruptedException {
    for (EntryProcess entry : system.entries()) {
      if (!awaitCondition(() -> condition.test(entry))) {
        violations.add(new Violation(promise, entry.name() + " is not ready: " + entry.logFile()));
      }
    }
  }

  private void awaitSuccesses(SoakSystem system) throws InterruptedException {
    long initialCount = tracker.successCount();
    long requiredCount = initialCount + (long) MIN_SUCCESSES_PER_ENTRY * system.entries().size();
    if (!awaitCondition(() -> tracker.successCount() >= requiredCount)) {
      violations.add(new Violation("RECOVER", "Served " + (tracker.successCount() - initialCount)));
    }
  }

  private void awaitLatestConfiguration(SoakSystem system) throws InterruptedException {
    Caller caller = new Caller("s" + seed + "-newest", seed, tracker, system, callersRunning::get);
    String pathPrefix = system.latestRoutePrefix();
    for (EntryProcess entry : system.entries()) {
      if (!awaitCondition(() -> caller.sendRead(entry.name(), pathPrefix))) {
        violations.add(new Violation("CONFIG", entry.name() + " does not serve " + pathPrefix));
      }
    }
  }

  private void checkDrainingTargetsIdle(SoakSystem system, long settledNanos) {
    for (String target : system.drainingTargetIds()) {
      long lateRuns = tracker.runCount(target, settledNanos);
      if (lateRuns > 0) {
        violations.add(new Violation("DRAIN", target + " got " + lateRuns + " requests"));
      }
    }
  }

  private static boolean awaitCondition(BooleanSupplier condition) throws InterruptedException {
    for (int waitedMillis = 0;
        waitedMillis < WAIT_TIMEOUT_MILLIS;
        waitedMillis += POLL_INTERVAL_MILLIS) {
      if (condition.getAsBoolean()) {
        return true;
      }
      Thread.sleep(POLL_INTERVAL_MILLIS);
    }
    return false;
  }

  /**
   * Restarts a relay and a follower one after the other while callers send requests. Requests that
   * were already forwarded to a target must receive a response.
   */
  private void restartEntries(SoakSystem system) throws IOException, InterruptedException {
    List<EntryProcess> entries = system.entries();
    for (EntryProcess entry : List.of(entries.getFirst(), entries.getLast())) {
      long stopNanos = System.nanoTime();
      entry.signal(Signal.TERM);
      OptionalInt exitCode = entry.awaitExit(WAIT_TIMEOUT_MILLIS);
      if (exitCode.isEmpty() || exitCode.getAsInt() != 0) {
        violations.add(new Violation("STOP", entry.name() + " exited with " + exitCode));
      }
      checkNoResponseLost(entry.name(), stopNanos);
      entry.start();
      if (!awaitCondition(() -> SoakSystem.isReady(entry))) {
        violations.add(
            new Violation("RECOVER", entry.name() + " is not ready: " + entry.logFile()));
      }
    }
  }

  private void checkNoResponseLost(String entry, long stopNanos) throws InterruptedException {
    Thread.sleep(POLL_INTERVAL_MILLIS); // Callers read their last responses.
    for (RequestTracker.Request request : tracker.requestsTo(entry)) {
      boolean connectionLost =
          tracker
              .outcome(request.attempt())
              .filter(
                  outcome ->
                      outcome.status() == RequestTracker.LOST && outcome.endNanos() > stopNanos)
              .isPresent();
      boolean executed = !tracker.runs(request.attempt()).isEmpty();
      if (connectionLost && executed) {
        violations.add(
            new Violation("LOST", request.attempt() + " lost its response when stopping " + entry));
      }
    }
  }

  private void writeSummary(List<String> injectedFaults) throws IOException {
    List<String> lines = new ArrayList<>(injectedFaults);
    lines.add("requests " + tracker.requestCount() + ", by status " + tracker.countsByStatus());
    lines.add("lost " + tracker.countsByLossCause());
    metrics.totals().forEach((name, count) -> lines.add(name + " " + count));
    Files.write(directory.resolve("summary.txt"), lines);
  }
}
