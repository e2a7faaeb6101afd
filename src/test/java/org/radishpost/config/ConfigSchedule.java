package org.radishpost.config;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.radishpost.lib.GatewayName;
import org.radishpost.lib.VmId;
import org.radishpost.standin.LogFaults;
import org.radishpost.store.LogRecord;
import org.testng.Assert;

/** One random schedule of writers and faults, with the invariants checked after every step. */
final class ConfigSchedule {
  private static final int STEPS = 120;
  private static final int VMS = 4;
  private static final Duration LIMIT = Duration.ofSeconds(3);
  private static final Duration OUTAGE = Duration.ofSeconds(10);

  private final long seed;
  private final SplittableRandom random;
  private final ConfigWorld world;
  private final SequentialConfig truth = new SequentialConfig();
  private final Map<VmId, Configuration> lastSeen = new HashMap<>();
  private final Map<String, ConfigChange> changes = new HashMap<>();
  private final Map<String, PublishResult> results = new HashMap<>();
  private final List<String> steps = new ArrayList<>();
  private String contradicted;
  private Duration outage = Duration.ZERO;

  ConfigSchedule(long seed, ReplicaRules rules) {
    this.seed = seed;
    this.random = new SplittableRandom(seed);
    this.world = new ConfigWorld(seed, rules);
  }

  /** Runs the whole schedule; an assertion error tells the seed and the steps. */
  void run() {
    for (int i = 0; i < VMS; i++) {
      world.startVm();
    }
    pass(Duration.ofSeconds(1));
    for (int i = 0; i < STEPS; i++) {
      step();
      check();
    }
    settle();
  }

  /** Returns how many changes were accepted. */
  long acceptedCount() {
    return results.values().stream().filter(PublishResult.Accepted.class::isInstance).count();
  }

  private void step() {
    switch (random.nextInt(20)) {
      case 0, 1, 2, 3, 4, 5 -> race();
      case 6 -> lostAnswers();
      case 7 -> lostAppends();
      case 8 -> outage();
      case 9, 10 -> cutLog();
      case 11 -> cutLink();
      case 12 -> replace(1);
      case 13 -> replaceAll();
      case 14, 15 -> mend();
      case 16 -> pass(Duration.ofSeconds(random.nextInt(1, 20)));
      case 17 -> askAgain();
      default -> pass(Duration.ofMillis(random.nextInt(1, 900)));
    }
    pass(Duration.ofMillis(random.nextInt(1, 400)));
  }

  private void race() {
    int writers = random.nextInt(1, 4);
    GatewayName gateway = new GatewayName("gateway-" + random.nextInt(3));
    for (int i = 0; i < writers; i++) {
      ConfigWorld.Vm vm = anyVm();
      String operation = "op-" + changes.size();
      changes.put(operation, change(vm, gateway));
      publish(vm, operation);
    }
  }

  private ConfigChange change(ConfigWorld.Vm vm, GatewayName gateway) {
    if (random.nextInt(4) == 0) {
      Scope zone = new Scope(Scope.Kind.ZONE, "zone-" + random.nextInt(2));
      return new ConfigChange.SetService(zone, random.nextBoolean(), -1);
    }
    VersionedManifest known = vm.service.current().manifests().get(gateway);
    long base = known == null ? 0 : known.version();
    return new ConfigChange.Publish(ConfigWorld.manifest(gateway.value(), base));
  }

  private void publish(ConfigWorld.Vm vm, String operation) {
    note("publish " + operation + " through " + vm.id);
    vm.service
        .publish(operation, changes.get(operation), LIMIT)
        .subscribe(result -> answered(operation, result));
  }

  private void answered(String operation, PublishResult result) {
    note(operation + " got " + result);
    PublishResult before = results.put(operation, result);
    boolean definite = before != null && !(before instanceof PublishResult.Unknown);
    if (definite && result instanceof PublishResult.Unknown) {
      results.put(operation, before);
    } else if (definite && result.getClass() != before.getClass()) {
      contradicted = operation;
    }
  }

  private void askAgain() {
    changes.keySet().stream()
        .filter(operation -> random.nextInt(5) == 0)
        .forEach(operation -> publish(anyVm(), operation));
  }

  private void lostAnswers() {
    note("the answers to the next appends are lost");
    world.log.faults(new LogFaults(false, Duration.ZERO, random.nextInt(1, 4), 0));
  }

  private void lostAppends() {
    note("the next appends are lost");
    world.log.faults(new LogFaults(false, Duration.ZERO, 0, random.nextInt(1, 4)));
  }

  private void outage() {
    note("the log goes down");
    world.down = true;
  }

  private void cutLog() {
    ConfigWorld.Vm vm = anyVm();
    note(vm.id + " is cut off from the log");
    vm.log.cut = true;
  }

  private void cutLink() {
    VmId one = anyVm().id;
    VmId other = anyVm().id;
    if (!one.equals(other)) {
      note("the link between " + one + " and " + other + " is cut");
      world.cut(one, other);
    }
  }

  private void replace(int count) {
    for (int i = 0; i < count; i++) {
      ConfigWorld.Vm old = anyVm();
      note(old.id + " is replaced by " + world.startVm().id);
      world.stopVm(old.id);
    }
  }

  private void replaceAll() {
    mend();
    note("all VMs are replaced");
    List.copyOf(world.vms.keySet()).forEach(world::stopVm);
    for (int i = 0; i < VMS; i++) {
      world.startVm();
    }
  }

  private void mend() {
    note("all faults end");
    world.mend();
    outage = Duration.ZERO;
  }

  private void pass(Duration span) {
    if (world.down) {
      outage = outage.plus(span);
    }
    world.pass(span);
    if (outage.compareTo(OUTAGE) > 0) {
      mend();
    }
  }

  private void settle() {
    mend();
    world.late = false;
    pass(Duration.ofSeconds(20));
    changes.keySet().forEach(operation -> publish(anyVm(), operation));
    pass(Duration.ofSeconds(20));
    check();
    for (ConfigWorld.Vm vm : world.vms.values()) {
      Assert.assertTrue(vm.service.caughtUp(), explain(vm.id + " has not caught up"));
      Assert.assertEquals(vm.service.current(), truth.at(truth.version()), explain("" + vm.id));
    }
    changes.keySet().forEach(this::checkResult);
  }

  private void checkResult(String operation) {
    switch (results.get(operation)) {
      case PublishResult.Accepted accepted ->
          Assert.assertEquals(
              (Long) accepted.version(), truth.accepted(operation), explain(operation));
      case PublishResult.Refused refused ->
          Assert.assertNull(truth.accepted(operation), explain(operation));
      case PublishResult.Unknown unknown -> Assert.fail(explain(operation + " is still unknown"));
      case null -> Assert.fail(explain(operation + " got no answer"));
    }
  }

  private void check() {
    List<LogRecord> landed =
        world
            .log
            .read(ConfigStreams.CONFIG, truth.version() + 1, 10_000, Duration.ZERO)
            .block()
            .records();
    landed.forEach(truth::append);
    Assert.assertNull(contradicted, explain("two answers for " + contradicted));
    for (ConfigWorld.Vm vm : world.vms.values()) {
      Configuration now = vm.service.current();
      Configuration before = lastSeen.getOrDefault(vm.id, Configuration.EMPTY);
      checkForward(before, now, vm.id);
      Assert.assertEquals(now, truth.at(now.version()), explain("" + vm.id));
      lastSeen.put(vm.id, now);
    }
  }

  private void checkForward(Configuration before, Configuration now, VmId vm) {
    Assert.assertTrue(now.version() >= before.version(), explain(vm + " fell back"));
    before
        .manifests()
        .forEach(
            (gateway, item) ->
                Assert.assertTrue(
                    now.manifests().containsKey(gateway)
                        && now.manifests().get(gateway).version() >= item.version(),
                    explain(gateway + " fell back on " + vm)));
  }

  private ConfigWorld.Vm anyVm() {
    List<ConfigWorld.Vm> all = List.copyOf(world.vms.values());
    return all.get(random.nextInt(all.size()));
  }

  private void note(String step) {
    steps.add(step);
  }

  private String explain(String what) {
    return what + "; seed " + seed + ":\n" + String.join("\n", steps) + "\n";
  }
}
