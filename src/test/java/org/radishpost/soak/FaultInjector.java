package org.radishpost.soak;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.radishpost.platform.WireNames;
import org.radishpost.soak.EntryProcess.Signal;
import org.radishpost.standin.KeyedStore;
import org.radishpost.standin.StoreFault;

/**
 * Injects overlapping faults and planned operations, which are drawn from a seeded random number
 * generator.
 *
 * <p>Each fault starts at one step and ends a random number of steps later. {@link #clearAllFaults}
 * ends all active faults.
 */
final class FaultInjector {
  private static final int MAX_FAULT_STEPS = 8;
  private static final Duration MIN_GRACE = Duration.ofSeconds(6);
  private static final int GRACE_RANGE_SECONDS = 3;
  private static final List<FaultyLink.Fault> LINK_FAULTS = List.of(FaultyLink.Fault.values());
  private static final List<SoakTarget.Fault> TARGET_FAULTS = List.of(SoakTarget.Fault.values());

  /**
   * The faults that can mix or cut responses; one of them starts with each step. The one with the
   * most kinds is drawn most often.
   */
  private static final List<SoakTarget.Fault> RESPONSE_FAULTS =
      List.of(
          SoakTarget.Fault.EXTRA_RESPONSE,
          SoakTarget.Fault.LATE_COPY,
          SoakTarget.Fault.NO_LENGTH,
          SoakTarget.Fault.CUT_NO_LENGTH,
          SoakTarget.Fault.CUT_CHUNKED,
          SoakTarget.Fault.STUTTER,
          SoakTarget.Fault.STUTTER);

  private static final List<StoreFault> STORE_FAULTS =
      List.of(
          new StoreFault.NoResponse(),
          new StoreFault.ErrorResponse(503),
          new StoreFault.ErrorResponse(429),
          new StoreFault.ClosedConnection(),
          new StoreFault.DelayedResponse(Duration.ofMillis(300)));

  /** The faults of the store until it returns from a backup. */
  private static final List<StoreFault> OUTAGES =
      List.of(
          new StoreFault.NoResponse(),
          new StoreFault.ErrorResponse(503),
          new StoreFault.ClosedConnection());

  private static final int STEPS_PER_BACKUP = 4;
  private static final int STEPS_PER_RESTORE = 8;
  private static final int MAX_OUTAGE_STEPS = 4;

  private final SoakSystem system;
  private final Random random;
  private final Random restoreRandom;
  private final List<ActiveFault> activeFaults = new ArrayList<>();
  private final List<String> events = new ArrayList<>();
  private KeyedStore.Backup backup;
  private int step;

  /**
   * Creates an injector.
   *
   * @param random draws all faults but the restores
   * @param restoreRandom draws the restores of the store, so that a seed has the same other faults
   *     as before there were any
   */
  FaultInjector(SoakSystem system, Random random, Random restoreRandom) {
    this.system = system;
    this.random = random;
    this.restoreRandom = restoreRandom;
    this.backup = system.store().backup();
  }

  /** The action that ends a fault. */
  private interface Recovery {
    void run() throws IOException, InterruptedException;
  }

  private record ActiveFault(int endStep, Recovery recovery) {}

  /** Returns one line for each fault or operation so far. */
  List<String> events() {
    return events;
  }

  /** Ends the faults that are due and starts a new fault or operation. */
  void step() throws IOException, InterruptedException {
    step++;
    for (ActiveFault activeFault : List.copyOf(activeFaults)) {
      if (activeFault.endStep() <= step) {
        activeFaults.remove(activeFault);
        activeFault.recovery().run();
      }
    }
    switch (random.nextInt(10)) {
      case 0 -> killEntry();
      case 1 -> pauseEntry();
      case 2 -> terminateEntry();
      case 3 -> reloadEntry();
      case 4, 5 -> injectLinkFault();
      case 6 -> injectTargetFault(TARGET_FAULTS);
      case 7 -> replaceTarget();
      case 8 -> injectStoreFault();
      default -> publishConfiguration();
    }
    injectTargetFault(RESPONSE_FAULTS);
    if (restoreRandom.nextInt(STEPS_PER_BACKUP) == 0) {
      backup = system.store().backup();
    }
    if (restoreRandom.nextInt(STEPS_PER_RESTORE) == 0) {
      restoreStore();
    }
  }

  /** Ends all active faults and starts every entry that is not running. */
  void clearAllFaults() throws IOException, InterruptedException {
    for (ActiveFault activeFault : activeFaults) {
      activeFault.recovery().run();
    }
    activeFaults.clear();
    for (EntryProcess entry : system.entries()) {
      if (!entry.isAlive()) {
        entry.start();
      }
    }
  }

  private void addFault(String description, Recovery recovery) {
    addFault(description, 1 + random.nextInt(MAX_FAULT_STEPS), recovery);
  }

  private void addFault(String description, int steps, Recovery recovery) {
    events.add(step + " " + description);
    activeFaults.add(new ActiveFault(step + steps, recovery));
  }

  private EntryProcess anyEntry() {
    return system.entries().get(random.nextInt(system.entries().size()));
  }

  private SoakTarget anyTarget() {
    List<SoakTarget> targets = system.activeTargets();
    return targets.get(random.nextInt(targets.size()));
  }

  private void killEntry() throws IOException, InterruptedException {
    EntryProcess entry = anyEntry();
    entry.kill();
    addFault("kill " + entry.name(), () -> startIfStopped(entry));
  }

  private static void startIfStopped(EntryProcess entry) throws IOException {
    if (!entry.isAlive()) {
      entry.start();
    }
  }

  private void pauseEntry() throws IOException, InterruptedException {
    EntryProcess entry = anyEntry();
    entry.signal(Signal.STOP);
    addFault("pause " + entry.name(), () -> entry.signal(Signal.CONT));
  }

  private void terminateEntry() throws IOException, InterruptedException {
    EntryProcess entry = anyEntry();
    entry.signal(Signal.TERM);
    addFault(
        "terminate " + entry.name(),
        () -> {
          entry.kill();
          startIfStopped(entry);
        });
  }

  private void reloadEntry() throws IOException, InterruptedException {
    EntryProcess entry = anyEntry();
    system.writeSettings(entry, MIN_GRACE.plusSeconds(random.nextInt(GRACE_RANGE_SECONDS)));
    if (random.nextBoolean()) {
      entry.signal(Signal.HUP);
    }
    events.add(step + " reload " + entry.name());
  }

  private void injectLinkFault() {
    EntryProcess entry = anyEntry();
    List<FaultyLink> links = new ArrayList<>(system.linksOf(entry));
    links.add(system.linkTo(anyTarget()));
    FaultyLink link = links.get(random.nextInt(links.size()));
    FaultyLink.Fault fault = LINK_FAULTS.get(random.nextInt(LINK_FAULTS.size()));
    link.setFault(fault, random.nextBoolean());
    addFault(
        "link " + links.indexOf(link) + " of " + entry.name() + " " + fault,
        () -> link.setFault(FaultyLink.Fault.NONE, true));
  }

  private void injectTargetFault(List<SoakTarget.Fault> faults) {
    SoakTarget target = anyTarget();
    boolean all = random.nextBoolean();
    SoakTarget.Fault fault = faults.get(random.nextInt(faults.size()));
    List<SoakTarget> targets =
        system.activeTargets().stream()
            .filter(each -> each == target || each.service().equals(target.service()) && all)
            .toList();
    targets.forEach(each -> each.setFault(fault));
    String description = all ? "targets of " + target.service() : "target " + target.id();
    addFault(
        description + " " + fault,
        () -> targets.forEach(each -> each.setFault(SoakTarget.Fault.NONE)));
  }

  private void replaceTarget() throws IOException {
    SoakTarget target = anyTarget();
    system.addTarget(target.service());
    if (random.nextBoolean()) {
      system.crashTarget(target);
      events.add(step + " crash " + target.id());
    } else {
      system.drainTarget(target);
      events.add(step + " drain " + target.id());
    }
  }

  private void injectStoreFault() {
    StoreFault fault = STORE_FAULTS.get(random.nextInt(STORE_FAULTS.size()));
    system.storeServer().setFault(fault);
    addFault("store " + fault, () -> system.storeServer().setFault(new StoreFault.None()));
  }

  /** Takes the store away for some steps and brings it back from the latest backup. */
  private void restoreStore() {
    StoreFault outage = OUTAGES.get(restoreRandom.nextInt(OUTAGES.size()));
    KeyedStore.Backup restored = backup;
    system.storeServer().setFault(outage);
    addFault(
        "store restored after " + outage,
        1 + restoreRandom.nextInt(MAX_OUTAGE_STEPS),
        () -> {
          system.restoreStore(restored);
          system.storeServer().setFault(new StoreFault.None());
        });
  }

  private void publishConfiguration() {
    if (random.nextInt(3) == 0) {
      system.store().compact(WireNames.TARGET_TOPIC);
      system.store().compact(WireNames.OPERATOR_TOPIC);
      events.add(step + " history dropped");
    }
    system.publishConfiguration();
    events.add(step + " publish");
  }
}
