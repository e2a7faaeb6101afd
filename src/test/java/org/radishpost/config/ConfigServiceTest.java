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

/** Single faults of the log and the links, and what a VM may then serve. */
public class ConfigServiceTest {
  private static final GatewayName GATEWAY = new GatewayName("gateway");
  private static final Duration LIMIT = Duration.ofSeconds(3);
  private static final Duration SECONDS = Duration.ofSeconds(3);

  private ConfigWorld world;

  /** Starts an empty log without VMs. */
  @BeforeMethod
  public void start() {
    world = new ConfigWorld(1, new LogOrderRules());
    world.late = false;
  }

  @Test
  public void oneOfTwoRacingOperatorsWinsAndTheOtherHearsIt() {
    final ConfigWorld.Vm one = world.startVm();
    final ConfigWorld.Vm other = world.startVm();
    world.pass(SECONDS);

    AtomicReference<PublishResult> first = publish(one, "op-1", 0);
    AtomicReference<PublishResult> second = publish(other, "op-2", 0);
    world.pass(SECONDS);

    assertEquals(first.get(), new PublishResult.Accepted(1));
    assertTrue(second.get() instanceof PublishResult.Refused, "" + second.get());
    assertEquals(other.service.current().manifests().get(GATEWAY).version(), 1);
  }

  @Test
  public void operationThatLandedTwiceHasEffectOnce() throws Exception {
    Scope zone = new Scope(Scope.Kind.ZONE, "kozep-1");
    land("op-1", new ConfigChange.SetService(zone, true, -1));
    land("op-2", new ConfigChange.SetService(zone, false, -1));
    land("op-1", new ConfigChange.SetService(zone, true, -1));
    ConfigWorld.Vm vm = world.startVm();
    world.pass(SECONDS);

    assertEquals(vm.service.current().version(), 3);
    assertFalse(vm.service.current().out().contains(zone));
  }

  @Test
  public void recordThatCannotBeReadChangesNothing() {
    append(ConfigStreams.CONFIG, "{\"form\":1,\"operation\":\"op\",\"publish\":{}}");
    append(ConfigStreams.CONFIG, "\u0000");
    append(ConfigStreams.SNAPSHOT, "no snapshot");
    ConfigWorld.Vm vm = world.startVm();
    world.pass(SECONDS);

    assertTrue(vm.service.caughtUp());
    assertEquals(vm.service.current().version(), 2);
    assertEquals(vm.service.current().manifests().size(), 0);
  }

  @Test
  public void gatewayOfAnotherTenantIsNotReplaced() {
    ConfigWorld.Vm vm = world.startVm();
    publish(vm, "op-1", 0);
    world.pass(SECONDS);
    Manifest own = ConfigWorld.manifest(GATEWAY.value(), 1);
    Manifest foreign =
        new Manifest(GATEWAY, new TenantName("other"), 1, own.services(), own.routes());
    AtomicReference<PublishResult> result = publish(vm, "op-2", new ConfigChange.Publish(foreign));
    world.pass(SECONDS);

    assertTrue(result.get() instanceof PublishResult.Refused, "" + result.get());
    assertEquals(vm.service.current().manifests().get(GATEWAY).manifest().tenant(), own.tenant());
  }

  @Test
  public void answerIsUnknownWhileTheLogIsDownAndTheSameOperationResolvesIt() {
    ConfigWorld.Vm vm = world.startVm();
    world.pass(SECONDS);
    world.down = true;
    AtomicReference<PublishResult> result = publish(vm, "op-1", 0);
    world.pass(LIMIT.plus(SECONDS));
    assertEquals(result.get(), new PublishResult.Unknown("op-1"));

    world.mend();
    AtomicReference<PublishResult> again = publish(vm, "op-1", 0);
    world.pass(SECONDS);
    assertTrue(again.get() instanceof PublishResult.Accepted, "" + again.get());
  }

  @Test
  public void newVmServesOnceItKnowsWhatItsPeersKnow() {
    final ConfigWorld.Vm old = world.startVm();
    publish(old, "op-1", 0);
    world.pass(SECONDS);
    world.down = true;
    ConfigWorld.Vm alone = world.startVm();
    world.cut(old.id, alone.id);
    world.pass(SECONDS);
    assertFalse(alone.service.caughtUp());
    assertEquals(alone.service.announcedVersion(), 0);

    final ConfigWorld.Vm linked = world.startVm();
    world.cut(alone.id, linked.id);
    world.pass(SECONDS);
    assertTrue(linked.service.caughtUp());
    assertEquals(linked.service.current(), old.service.current());
  }

  @Test
  public void vmCutOffFromTheLogLearnsFromPeersWithinSeconds() {
    final ConfigWorld.Vm cut = world.startVm();
    ConfigWorld.Vm other = world.startVm();
    world.pass(SECONDS);
    cut.log.cut = true;
    publish(other, "op-1", 0);
    world.pass(SECONDS);

    assertEquals(cut.service.current(), other.service.current());
    assertEquals(cut.service.current().version(), 1);
  }

  @Test
  public void silenceOfLogAndPeersIsTold() {
    world.down = true;
    ConfigWorld.Vm vm = world.startVm();
    final ConfigWorld.Vm peer = world.startVm();
    world.pass(SECONDS);
    assertEquals(vm.service.freshness().state(), ConfigFreshness.State.STARTING);

    world.mend();
    world.pass(SECONDS);
    assertEquals(vm.service.freshness().state(), ConfigFreshness.State.FRESH);

    vm.log.cut = true;
    world.pass(Duration.ofSeconds(20));
    assertEquals(vm.service.freshness().state(), ConfigFreshness.State.PEERS_ONLY);

    world.cut(vm.id, peer.id);
    world.pass(SECONDS);
    assertEquals(vm.service.freshness().state(), ConfigFreshness.State.ISOLATED);
    assertTrue(vm.service.freshness().mayServe());
  }

  @Test
  public void stateOutlivesItsRecordsWithItsVersionsAndFewSnapshots() {
    for (int i = 0; i < 16; i++) {
      world.startVm();
    }
    publish(world.vms.values().iterator().next(), "op-1", 0);
    world.pass(ConfigWorld.RETENTION.multipliedBy(10));
    List.copyOf(world.vms.keySet()).forEach(world::stopVm);
    ConfigWorld.Vm vm = world.startVm();
    world.pass(SECONDS);

    assertTrue(vm.service.caughtUp());
    assertEquals(vm.service.current().manifests().get(GATEWAY).version(), 1);
    long snapshots = world.log.appends() - 1;
    assertTrue(snapshots <= 2 * 40, snapshots + " snapshots in 40 quarters of the retention");
  }

  @Test
  public void lostStateIsNotTakenForAnEmptyOne() {
    ConfigWorld.Vm vm = world.startVm();
    publish(vm, "op-1", 0);
    world.pass(Duration.ofMillis(200));
    world.stopVm(vm.id);
    world.pass(ConfigWorld.RETENTION.multipliedBy(2));
    ConfigWorld.Vm late = world.startVm();
    world.pass(SECONDS);

    assertFalse(late.service.caughtUp());
    assertEquals(late.service.freshness().state(), ConfigFreshness.State.STARTING);
  }

  private AtomicReference<PublishResult> publish(ConfigWorld.Vm vm, String operation, long base) {
    return publish(
        vm, operation, new ConfigChange.Publish(ConfigWorld.manifest(GATEWAY.value(), base)));
  }

  private AtomicReference<PublishResult> publish(
      ConfigWorld.Vm vm, String operation, ConfigChange change) {
    AtomicReference<PublishResult> result = new AtomicReference<>();
    vm.service.publish(operation, change, LIMIT).subscribe(result::set);
    return result;
  }

  private void land(String operation, ConfigChange change) throws Exception {
    byte[] payload = ConfigWorld.RECORDS.encode(new ConfigRecord(operation, "test", change));
    world.log.append(ConfigStreams.CONFIG, payload).block();
  }

  private void append(String stream, String text) {
    world.log.append(stream, text.getBytes(StandardCharsets.UTF_8)).block();
  }
}
