package org.radishpost.soak;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.radishpost.platform.WireNames;
import org.radishpost.soak.EntryProcess.Signal;
import org.radishpost.standin.StoreFault;

/**
 * What goes wrong, drawn from a seed: faults that overlap, and planned work between them.
 *
 * <p>A fault starts at a step and ends some steps later; others start meanwhile. {@link #heal} ends
 * all that still lasts.
 */
final class Troubles {
  private static final int MAX_STEPS = 8;
  private static final Duration LEAST_GRACE = Duration.ofSeconds(6);
  private static final int MORE_GRACE_SECONDS = 3;
  private static final List<FaultyLink.Fault> LINK_FAULTS = List.of(FaultyLink.Fault.values());
  private static final List<SoakTarget.Fault> TARGET_FAULTS = List.of(SoakTarget.Fault.values());
  private static final List<StoreFault> STORE_FAULTS =
      List.of(
          new StoreFault.Silent(),
          new StoreFault.Refusing(503),
          new StoreFault.Refusing(429),
          new StoreFault.Closing(),
          new StoreFault.Slow(Duration.ofMillis(300)));

  private final Fleet fleet;
  private final Random random;
  private final List<Lasting> lasting = new ArrayList<>();
  private final List<String> told = new ArrayList<>();
  private int step;

  Troubles(Fleet fleet, Random random) {
    this.fleet = fleet;
    this.random = random;
  }

  /** Something that is to be ended. */
  private interface Ending {
    void run() throws IOException, InterruptedException;
  }

  private record Lasting(int lastStep, Ending ending) {}

  /** Returns what was done so far, a line each. */
  List<String> told() {
    return told;
  }

  /** Ends what is over, and lets something new begin. */
  void step() throws IOException, InterruptedException {
    step++;
    for (Lasting each : List.copyOf(lasting)) {
      if (each.lastStep() <= step) {
        lasting.remove(each);
        each.ending().run();
      }
    }
    switch (random.nextInt(10)) {
      case 0 -> kill();
      case 1 -> pause();
      case 2 -> terminate();
      case 3 -> reload();
      case 4, 5 -> harmLink();
      case 6 -> harmTarget();
      case 7 -> replaceTarget();
      case 8 -> harmStore();
      default -> change();
    }
  }

  /** Ends everything that still lasts; each entry runs afterwards. */
  void heal() throws IOException, InterruptedException {
    for (Lasting each : lasting) {
      each.ending().run();
    }
    lasting.clear();
    for (EntryProcess entry : fleet.entries()) {
      if (!entry.isAlive()) {
        entry.start();
      }
    }
  }

  private void last(String what, Ending ending) {
    told.add(step + " " + what);
    lasting.add(new Lasting(step + 1 + random.nextInt(MAX_STEPS), ending));
  }

  private EntryProcess anyEntry() {
    return fleet.entries().get(random.nextInt(fleet.entries().size()));
  }

  private SoakTarget anyTarget() {
    List<SoakTarget> targets = fleet.targets();
    return targets.get(random.nextInt(targets.size()));
  }

  private void kill() throws IOException, InterruptedException {
    EntryProcess entry = anyEntry();
    entry.destroy();
    last("kill " + entry.name(), () -> startAgain(entry));
  }

  private static void startAgain(EntryProcess entry) throws IOException {
    if (!entry.isAlive()) {
      entry.start();
    }
  }

  private void pause() throws IOException, InterruptedException {
    EntryProcess entry = anyEntry();
    entry.signal(Signal.STOP);
    last("pause " + entry.name(), () -> entry.signal(Signal.CONT));
  }

  private void terminate() throws IOException, InterruptedException {
    EntryProcess entry = anyEntry();
    entry.signal(Signal.TERM);
    last(
        "terminate " + entry.name(),
        () -> {
          entry.destroy();
          startAgain(entry);
        });
  }

  private void reload() throws IOException, InterruptedException {
    EntryProcess entry = anyEntry();
    fleet.writeSettings(entry, LEAST_GRACE.plusSeconds(random.nextInt(MORE_GRACE_SECONDS)));
    if (random.nextBoolean()) {
      entry.signal(Signal.HUP);
    }
    told.add(step + " reload " + entry.name());
  }

  private void harmLink() {
    EntryProcess entry = anyEntry();
    List<FaultyLink> links = new ArrayList<>(fleet.linksOf(entry));
    links.add(fleet.linkTo(anyTarget()));
    FaultyLink link = links.get(random.nextInt(links.size()));
    FaultyLink.Fault fault = LINK_FAULTS.get(random.nextInt(LINK_FAULTS.size()));
    link.fault(fault, random.nextBoolean());
    last(
        "link " + links.indexOf(link) + " of " + entry.name() + " " + fault,
        () -> link.fault(FaultyLink.Fault.NONE, true));
  }

  private void harmTarget() {
    SoakTarget target = anyTarget();
    SoakTarget.Fault fault = TARGET_FAULTS.get(random.nextInt(TARGET_FAULTS.size()));
    target.fault(fault);
    last("target " + target.id() + " " + fault, () -> target.fault(SoakTarget.Fault.NONE));
  }

  private void replaceTarget() throws IOException {
    SoakTarget target = anyTarget();
    fleet.addTarget(target.service());
    if (random.nextBoolean()) {
      fleet.crash(target);
      told.add(step + " crash " + target.id());
    } else {
      fleet.drain(target);
      told.add(step + " drain " + target.id());
    }
  }

  private void harmStore() {
    StoreFault fault = STORE_FAULTS.get(random.nextInt(STORE_FAULTS.size()));
    fleet.storeServer().fault(fault);
    last("store " + fault, () -> fleet.storeServer().fault(new StoreFault.None()));
  }

  private void change() {
    if (random.nextInt(3) == 0) {
      fleet.store().forget(WireNames.TARGET_TOPIC);
      fleet.store().forget(WireNames.OPERATOR_TOPIC);
      told.add(step + " history dropped");
    }
    fleet.publish();
    told.add(step + " publish");
  }
}
