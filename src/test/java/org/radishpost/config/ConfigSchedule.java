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

/** A random sequence of publishes and faults that checks the invariants after every step. */
final class ConfigSchedule {
  private static final int STEPS = 120;
  private static final int VMS = 4;
  private static final Duration PUBLISH_TIMEOUT = Duration.ofSeconds(3);
  private static final Duration MAX_OUTAGE = Duration.ofSeconds(10);

  private final long seed;
  private final SplittableRandom random;
  private final ConfigSimulation simulation;
  private final SequentialConfig model = new SequentialConfig();
  private final Map<VmId, Configuration> lastSeen = new HashMap<>();
  private final Map<String, ConfigChange> changes = new HashMap<>();
  private final Map<String, PublishResult> results = new HashMap<>();
  private final List<String> steps = new ArrayList<>();
  private String contradictedOperation;
  private Duration outageDuration = Duration.ZERO;

  ConfigSchedule(long seed, ReplicationRules rules) {
    this.seed = seed;
    this.random = new SplittableRandom(seed);
    this.simulation = new ConfigSimulation(seed, rules);
  }

  /**
   * Runs the schedule.
   *
   * @throws AssertionError if an invariant is violated; the message contains the seed and the steps
   */
  void run() {
    for (int i = 0; i < VMS; i++) {
      simulation.startVm();
    }
    advanceTime(Duration.ofSeconds(1));
    for (int i = 0; i < STEPS; i++) {
      step();
      checkInvariants();
    }
    checkConvergence();
  }

  /** Returns the number of accepted changes. */
  long acceptedCount() {
    return results.values().stream().filter(PublishResult.Accepted.class::isInstance).count();
  }

  private void step() {
    switch (random.nextInt(20)) {
      case 0, 1, 2, 3, 4, 5 -> publishConcurrently();
      case 6 -> loseAppendResponses();
      case 7 -> loseAppends();
      case 8 -> startLogOutage();
      case 9, 10 -> disconnectFromLog();
      case 11 -> breakLink();
      case 12 -> replaceVms(1);
      case 13 -> replaceAllVms();
      case 14, 15 -> endFaults();
      case 16 -> advanceTime(Duration.ofSeconds(random.nextInt(1, 20)));
      case 17 -> retryPublishes();
      default -> advanceTime(Duration.ofMillis(random.nextInt(1, 900)));
    }
    advanceTime(Duration.ofMillis(random.nextInt(1, 400)));
  }

  private void publishConcurrently() {
    int writers = random.nextInt(1, 4);
    GatewayName gateway = new GatewayName("gateway-" + random.nextInt(3));
    for (int i = 0; i < writers; i++) {
      ConfigSimulation.Vm vm = randomVm();
      String operationId = "op-" + changes.size();
      changes.put(operationId, randomChange(vm, gateway));
      publish(vm, operationId);
    }
  }

  private ConfigChange randomChange(ConfigSimulation.Vm vm, GatewayName gateway) {
    if (random.nextInt(4) == 0) {
      Scope zone = new Scope(Scope.Kind.ZONE, "zone-" + random.nextInt(2));
      return new ConfigChange.SetService(zone, random.nextBoolean(), -1);
    }
    VersionedManifest current = vm.service.current().manifests().get(gateway);
    long baseVersion = current == null ? 0 : current.version();
    return new ConfigChange.Publish(ConfigSimulation.manifest(gateway.value(), baseVersion));
  }

  private void publish(ConfigSimulation.Vm vm, String operationId) {
    recordStep("publish " + operationId + " through " + vm.id);
    vm.service
        .publish(operationId, changes.get(operationId), PUBLISH_TIMEOUT)
        .subscribe(result -> resultReceived(operationId, result));
  }

  private void resultReceived(String operationId, PublishResult result) {
    recordStep(operationId + " returned " + result);
    PublishResult before = results.put(operationId, result);
    boolean definite = before != null && !(before instanceof PublishResult.Unknown);
    if (definite && result instanceof PublishResult.Unknown) {
      results.put(operationId, before);
    } else if (definite && result.getClass() != before.getClass()) {
      contradictedOperation = operationId;
    }
  }

  private void retryPublishes() {
    changes.keySet().stream()
        .filter(operationId -> random.nextInt(5) == 0)
        .forEach(operationId -> publish(randomVm(), operationId));
  }

  private void loseAppendResponses() {
    recordStep("the responses to the next appends are lost");
    simulation.log.setFaults(new LogFaults(false, Duration.ZERO, random.nextInt(1, 4), 0));
  }

  private void loseAppends() {
    recordStep("the next appends are lost");
    simulation.log.setFaults(new LogFaults(false, Duration.ZERO, 0, random.nextInt(1, 4)));
  }

  private void startLogOutage() {
    recordStep("the log becomes unavailable");
    simulation.logDown = true;
  }

  private void disconnectFromLog() {
    ConfigSimulation.Vm vm = randomVm();
    recordStep(vm.id + " is disconnected from the log");
    vm.log.disconnected = true;
  }

  private void breakLink() {
    VmId one = randomVm().id;
    VmId other = randomVm().id;
    if (!one.equals(other)) {
      recordStep("the link between " + one + " and " + other + " is broken");
      simulation.breakLink(one, other);
    }
  }

  private void replaceVms(int count) {
    for (int i = 0; i < count; i++) {
      ConfigSimulation.Vm old = randomVm();
      recordStep(old.id + " is replaced by " + simulation.startVm().id);
      simulation.stopVm(old.id);
    }
  }

  private void replaceAllVms() {
    endFaults();
    recordStep("all VMs are replaced");
    List.copyOf(simulation.vms.keySet()).forEach(simulation::stopVm);
    for (int i = 0; i < VMS; i++) {
      simulation.startVm();
    }
  }

  private void endFaults() {
    recordStep("all faults end");
    simulation.endFaults();
    outageDuration = Duration.ZERO;
  }

  private void advanceTime(Duration duration) {
    if (simulation.logDown) {
      outageDuration = outageDuration.plus(duration);
    }
    simulation.advanceTime(duration);
    if (outageDuration.compareTo(MAX_OUTAGE) > 0) {
      endFaults();
    }
  }

  private void checkConvergence() {
    endFaults();
    simulation.appendDelays = false;
    advanceTime(Duration.ofSeconds(20));
    changes.keySet().forEach(operationId -> publish(randomVm(), operationId));
    advanceTime(Duration.ofSeconds(20));
    checkInvariants();
    for (ConfigSimulation.Vm vm : simulation.vms.values()) {
      Assert.assertTrue(vm.service.caughtUp(), failureMessage(vm.id + " has not caught up"));
      Assert.assertEquals(
          vm.service.current(), model.at(model.version()), failureMessage("" + vm.id));
    }
    changes.keySet().forEach(this::checkResult);
  }

  private void checkResult(String operationId) {
    switch (results.get(operationId)) {
      case PublishResult.Accepted accepted ->
          Assert.assertEquals(
              (Long) accepted.version(),
              model.acceptedVersion(operationId),
              failureMessage(operationId));
      case PublishResult.Refused refused ->
          Assert.assertNull(model.acceptedVersion(operationId), failureMessage(operationId));
      case PublishResult.Unknown unknown ->
          Assert.fail(failureMessage(operationId + " is still unknown"));
      case null -> Assert.fail(failureMessage(operationId + " got no result"));
    }
  }

  private void checkInvariants() {
    List<LogRecord> appended =
        simulation
            .log
            .read(ConfigStreams.CONFIG, model.version() + 1, 10_000, Duration.ZERO)
            .block()
            .records();
    appended.forEach(model::append);
    Assert.assertNull(
        contradictedOperation,
        failureMessage("two contradictory results for " + contradictedOperation));
    for (ConfigSimulation.Vm vm : simulation.vms.values()) {
      Configuration now = vm.service.current();
      Configuration before = lastSeen.getOrDefault(vm.id, Configuration.EMPTY);
      checkNotOlder(before, now, vm.id);
      Assert.assertEquals(now, model.at(now.version()), failureMessage("" + vm.id));
      lastSeen.put(vm.id, now);
    }
  }

  private void checkNotOlder(Configuration before, Configuration now, VmId vm) {
    Assert.assertTrue(
        now.version() >= before.version(),
        failureMessage(vm + " has an older version than before"));
    before
        .manifests()
        .forEach(
            (gateway, item) ->
                Assert.assertTrue(
                    now.manifests().containsKey(gateway)
                        && now.manifests().get(gateway).version() >= item.version(),
                    failureMessage(gateway + " has an older version than before on " + vm)));
  }

  private ConfigSimulation.Vm randomVm() {
    List<ConfigSimulation.Vm> all = List.copyOf(simulation.vms.values());
    return all.get(random.nextInt(all.size()));
  }

  private void recordStep(String step) {
    steps.add(step);
  }

  private String failureMessage(String failure) {
    return failure + "; seed " + seed + ":\n" + String.join("\n", steps) + "\n";
  }
}
