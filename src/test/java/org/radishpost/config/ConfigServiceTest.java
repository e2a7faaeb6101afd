package org.radishpost.config;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;
import org.radishpost.lib.GatewayName;
import org.radishpost.lib.TenantName;
import org.radishpost.manifest.Manifest;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the configuration service under single faults of the log and the links. */
public class ConfigServiceTest {
  private static final GatewayName GATEWAY = new GatewayName("gateway");
  private static final Duration PUBLISH_TIMEOUT = Duration.ofSeconds(3);
  private static final Duration PROPAGATION_TIME = Duration.ofSeconds(3);

  private ConfigSimulation simulation;

  /** Creates a simulation with an empty log and no VMs. */
  @BeforeMethod
  public void createSimulation() {
    simulation = new ConfigSimulation(1, new LogOrderRules());
    simulation.appendDelays = false;
  }

  @Test
  public void oneOfTwoConcurrentPublishesIsAcceptedAndTheOtherRefused() {
    final ConfigSimulation.Vm one = simulation.startVm();
    final ConfigSimulation.Vm other = simulation.startVm();
    simulation.advanceTime(PROPAGATION_TIME);

    AtomicReference<PublishResult> first = publish(one, "op-1", 0);
    AtomicReference<PublishResult> second = publish(other, "op-2", 0);
    simulation.advanceTime(PROPAGATION_TIME);

    assertEquals(first.get(), new PublishResult.Accepted(1));
    assertTrue(second.get() instanceof PublishResult.Refused, "" + second.get());
    assertEquals(other.service.current().manifests().get(GATEWAY).version(), 1);
  }

  @Test
  public void operationAppendedTwiceTakesEffectOnce() throws Exception {
    Scope zone = new Scope(Scope.Kind.ZONE, "kozep-1");
    append("op-1", new ConfigChange.SetService(zone, true, -1));
    append("op-2", new ConfigChange.SetService(zone, false, -1));
    append("op-1", new ConfigChange.SetService(zone, true, -1));
    ConfigSimulation.Vm vm = simulation.startVm();
    simulation.advanceTime(PROPAGATION_TIME);

    assertEquals(vm.service.current().version(), 3);
    assertFalse(vm.service.current().outOfService().contains(zone));
  }

  @Test
  public void malformedRecordChangesNothing() {
    append(ConfigStreams.CONFIG, "{\"form\":1,\"operation\":\"op\",\"publish\":{}}");
    append(ConfigStreams.CONFIG, "\u0000");
    append(ConfigStreams.SNAPSHOT, "no snapshot");
    ConfigSimulation.Vm vm = simulation.startVm();
    simulation.advanceTime(PROPAGATION_TIME);

    assertTrue(vm.service.caughtUp());
    assertEquals(vm.service.current().version(), 2);
    assertEquals(vm.service.current().manifests().size(), 0);
  }

  @Test
  public void gatewayOfAnotherTenantIsNotReplaced() {
    ConfigSimulation.Vm vm = simulation.startVm();
    publish(vm, "op-1", 0);
    simulation.advanceTime(PROPAGATION_TIME);
    Manifest own = ConfigSimulation.manifest(GATEWAY.value(), 1);
    Manifest foreign =
        new Manifest(GATEWAY, new TenantName("other"), 1, own.services(), own.routes());
    AtomicReference<PublishResult> result = publish(vm, "op-2", new ConfigChange.Publish(foreign));
    simulation.advanceTime(PROPAGATION_TIME);

    assertTrue(result.get() instanceof PublishResult.Refused, "" + result.get());
    assertEquals(vm.service.current().manifests().get(GATEWAY).manifest().tenant(), own.tenant());
  }

  @Test
  public void resultIsUnknownDuringLogOutageAndRetryResolvesIt() {
    ConfigSimulation.Vm vm = simulation.startVm();
    simulation.advanceTime(PROPAGATION_TIME);
    simulation.logDown = true;
    AtomicReference<PublishResult> result = publish(vm, "op-1", 0);
    simulation.advanceTime(PUBLISH_TIMEOUT.plus(PROPAGATION_TIME));
    assertEquals(result.get(), new PublishResult.Unknown("op-1"));

    simulation.endFaults();
    AtomicReference<PublishResult> again = publish(vm, "op-1", 0);
    simulation.advanceTime(PROPAGATION_TIME);
    assertTrue(again.get() instanceof PublishResult.Accepted, "" + again.get());
  }

  @Test
  public void newVmCatchesUpFromItsPeersWithoutTheLog() {
    final ConfigSimulation.Vm old = simulation.startVm();
    publish(old, "op-1", 0);
    simulation.advanceTime(PROPAGATION_TIME);
    simulation.logDown = true;
    ConfigSimulation.Vm alone = simulation.startVm();
    simulation.breakLink(old.id, alone.id);
    simulation.advanceTime(PROPAGATION_TIME);
    assertFalse(alone.service.caughtUp());
    assertEquals(alone.service.announcedVersion(), 0);

    final ConfigSimulation.Vm linked = simulation.startVm();
    simulation.breakLink(alone.id, linked.id);
    simulation.advanceTime(PROPAGATION_TIME);
    assertTrue(linked.service.caughtUp());
    assertEquals(linked.service.current(), old.service.current());
  }

  @Test
  public void vmDisconnectedFromLogGetsChangesFromPeersWithinSeconds() {
    final ConfigSimulation.Vm disconnected = simulation.startVm();
    ConfigSimulation.Vm other = simulation.startVm();
    simulation.advanceTime(PROPAGATION_TIME);
    disconnected.log.disconnected = true;
    publish(other, "op-1", 0);
    simulation.advanceTime(PROPAGATION_TIME);

    assertEquals(disconnected.service.current(), other.service.current());
    assertEquals(disconnected.service.current().version(), 1);
  }

  @Test
  public void freshnessReportsLossOfLogAndPeers() {
    simulation.logDown = true;
    ConfigSimulation.Vm vm = simulation.startVm();
    final ConfigSimulation.Vm peer = simulation.startVm();
    simulation.advanceTime(PROPAGATION_TIME);
    assertEquals(vm.service.freshness().state(), ConfigFreshness.State.STARTING);

    simulation.endFaults();
    simulation.advanceTime(PROPAGATION_TIME);
    assertEquals(vm.service.freshness().state(), ConfigFreshness.State.FRESH);

    vm.log.disconnected = true;
    simulation.advanceTime(Duration.ofSeconds(20));
    assertEquals(vm.service.freshness().state(), ConfigFreshness.State.PEERS_ONLY);

    simulation.breakLink(vm.id, peer.id);
    simulation.advanceTime(PROPAGATION_TIME);
    assertEquals(vm.service.freshness().state(), ConfigFreshness.State.ISOLATED);
    assertTrue(vm.service.freshness().mayServe());
  }

  @Test
  public void stateOutlivesItsRecordsWithFewSnapshots() {
    for (int i = 0; i < 16; i++) {
      simulation.startVm();
    }
    publish(simulation.vms.values().iterator().next(), "op-1", 0);
    simulation.advanceTime(ConfigSimulation.RETENTION.multipliedBy(10));
    List.copyOf(simulation.vms.keySet()).forEach(simulation::stopVm);
    ConfigSimulation.Vm vm = simulation.startVm();
    simulation.advanceTime(PROPAGATION_TIME);

    assertTrue(vm.service.caughtUp());
    assertEquals(vm.service.current().manifests().get(GATEWAY).version(), 1);
    long snapshots = simulation.log.appendCount() - 1;
    assertTrue(snapshots <= 2 * 40, snapshots + " snapshots in 40 quarters of the retention");
  }

  @Test
  public void newVmDoesNotTreatLostStateAsEmpty() {
    ConfigSimulation.Vm vm = simulation.startVm();
    publish(vm, "op-1", 0);
    simulation.advanceTime(Duration.ofMillis(200));
    simulation.stopVm(vm.id);
    simulation.advanceTime(ConfigSimulation.RETENTION.multipliedBy(2));
    ConfigSimulation.Vm late = simulation.startVm();
    simulation.advanceTime(PROPAGATION_TIME);

    assertFalse(late.service.caughtUp());
    assertEquals(late.service.freshness().state(), ConfigFreshness.State.STARTING);
  }

  private AtomicReference<PublishResult> publish(
      ConfigSimulation.Vm vm, String operation, long base) {
    return publish(
        vm, operation, new ConfigChange.Publish(ConfigSimulation.manifest(GATEWAY.value(), base)));
  }

  private AtomicReference<PublishResult> publish(
      ConfigSimulation.Vm vm, String operation, ConfigChange change) {
    AtomicReference<PublishResult> result = new AtomicReference<>();
    vm.service.publish(operation, change, PUBLISH_TIMEOUT).subscribe(result::set);
    return result;
  }

  private void append(String operation, ConfigChange change) throws Exception {
    byte[] payload =
        ConfigSimulation.RECORD_CODEC.encode(new ConfigRecord(operation, "test", change));
    simulation.log.append(ConfigStreams.CONFIG, payload).block();
  }

  private void append(String stream, String text) {
    simulation.log.append(stream, text.getBytes(StandardCharsets.UTF_8)).block();
  }
}
