package org.radishpost.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Random;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import org.radishpost.errors.StartException;
import org.radishpost.lib.Endpoint;
import org.radishpost.soak.EntryProcess.Signal;

/**
 * One seed: processes start, faults come and go while callers call, all heals, work is planned.
 *
 * <p>Bounds on time hold off a hang only; what is checked does not depend on the machine's speed.
 */
final class Soak {
  private static final int ENTRIES = 4;
  private static final int TARGETS_EACH = 4;
  private static final int CALLERS = 8;
  private static final int STEP_MILLIS = 400;
  private static final int LOOK_MILLIS = 50;
  private static final int HANG_MILLIS = 120_000;
  private static final int CALM_MILLIS = 4_000;
  private static final int SERVED_AFTER = 20;

  private final long seed;
  private final int steps;
  private final Path directory;
  private final Ledger ledger = new Ledger();
  private final AtomicBoolean calling = new AtomicBoolean(true);
  private final List<Violation> violations = new ArrayList<>();

  Soak(long seed, int steps, Path directory) {
    this.seed = seed;
    this.steps = steps;
    this.directory = directory;
  }

  /** Returns the promises that were broken; the logs stay in the directory. */
  List<Violation> call() throws IOException, InterruptedException, StartException {
    Files.createDirectories(directory);
    Random random = new Random(seed);
    try (Fleet fleet = new Fleet(directory, ENTRIES, random, ledger)) {
      fleet.start(TARGETS_EACH);
      Troubles troubles = new Troubles(fleet, random);
      awaitAll(fleet, "START", Fleet::isReady);
      final List<Thread> callers = startCallers(fleet.ways());
      for (int i = 0; i < steps; i++) {
        troubles.step();
        Thread.sleep(STEP_MILLIS);
      }
      troubles.heal();
      awaitAll(fleet, "RECOVER", Fleet::isReady);
      awaitServing(fleet);
      awaitNewestVersion(fleet);
      Thread.sleep(CALM_MILLIS);
      final long calmNanos = System.nanoTime();
      restartInTurn(fleet);
      checkNothingSentToLeaving(fleet, calmNanos);
      calling.set(false);
      for (Thread caller : callers) {
        caller.join();
      }
      writeSummary(troubles.told());
    }
    violations.addAll(ledger.violations(Fleet.MAX_ATTEMPTS));
    return violations;
  }

  private List<Thread> startCallers(Map<String, Endpoint> ways) {
    List<Thread> callers = new ArrayList<>();
    for (int i = 0; i < CALLERS; i++) {
      Caller caller = new Caller("s" + seed + "-c" + i, seed + i, ledger, ways, calling::get);
      callers.add(Thread.ofVirtual().start(caller));
    }
    return callers;
  }

  private void awaitAll(Fleet fleet, String promise, Predicate<EntryProcess> state)
      throws InterruptedException {
    for (EntryProcess entry : fleet.entries()) {
      if (!holdsInTime(() -> state.test(entry))) {
        violations.add(new Violation(promise, entry.name() + " is not ready: " + entry.log()));
      }
    }
  }

  private void awaitServing(Fleet fleet) throws InterruptedException {
    long before = ledger.served();
    long due = before + (long) SERVED_AFTER * fleet.entries().size();
    if (!holdsInTime(() -> ledger.served() >= due)) {
      violations.add(new Violation("RECOVER", "Served " + (ledger.served() - before)));
    }
  }

  private void awaitNewestVersion(Fleet fleet) throws InterruptedException {
    Caller caller = new Caller("s" + seed + "-newest", seed, ledger, fleet.ways(), calling::get);
    String prefix = fleet.newestPrefix();
    for (EntryProcess entry : fleet.entries()) {
      if (!holdsInTime(() -> caller.reads(entry.name(), prefix))) {
        violations.add(new Violation("CONFIG", entry.name() + " does not serve " + prefix));
      }
    }
  }

  private void checkNothingSentToLeaving(Fleet fleet, long calmNanos) {
    for (String target : fleet.leaving()) {
      long late = ledger.runsAt(target, calmNanos);
      if (late > 0) {
        violations.add(new Violation("DRAIN", target + " got " + late + " requests"));
      }
    }
  }

  private static boolean holdsInTime(BooleanSupplier state) throws InterruptedException {
    for (int waited = 0; waited < HANG_MILLIS; waited += LOOK_MILLIS) {
      if (state.getAsBoolean()) {
        return true;
      }
      Thread.sleep(LOOK_MILLIS);
    }
    return false;
  }

  /**
   * Stops and starts a relay and a follower while callers go on: what was passed on is answered.
   */
  private void restartInTurn(Fleet fleet) throws IOException, InterruptedException {
    List<EntryProcess> entries = fleet.entries();
    for (EntryProcess entry : List.of(entries.getFirst(), entries.getLast())) {
      long begun = System.nanoTime();
      entry.signal(Signal.TERM);
      OptionalInt code = entry.awaitEnd(HANG_MILLIS);
      if (code.isEmpty() || code.getAsInt() != 0) {
        violations.add(new Violation("STOP", entry.name() + " ended with " + code));
      }
      checkNothingLost(entry.name(), begun);
      entry.start();
      if (!holdsInTime(() -> Fleet.isReady(entry))) {
        violations.add(new Violation("RECOVER", entry.name() + " is not ready: " + entry.log()));
      }
    }
  }

  private void checkNothingLost(String entry, long begunNanos) throws InterruptedException {
    Thread.sleep(LOOK_MILLIS); // Callers read the last answers.
    for (Ledger.Request request : ledger.sentTo(entry)) {
      boolean cut =
          ledger
              .outcome(request.id())
              .filter(end -> end.status() == 0 && end.atNanos() > begunNanos)
              .isPresent();
      boolean passedOn = !ledger.runs(request.id()).isEmpty();
      if (cut && passedOn) {
        violations.add(new Violation("LOST", request.id() + " was cut by the stop of " + entry));
      }
    }
  }

  private void writeSummary(List<String> troubles) throws IOException {
    List<String> lines = new ArrayList<>(troubles);
    lines.add("requests " + ledger.requests() + ", by status " + ledger.byStatus());
    Files.write(directory.resolve("summary.txt"), lines);
  }
}
