package org.radishpost.config;

import java.io.IOException;
import java.io.InputStream;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.radishpost.errors.LogUnavailableException;
import org.radishpost.errors.ManifestException;
import org.radishpost.lib.Endpoint;
import org.radishpost.lib.GatewayName;
import org.radishpost.lib.VmId;
import org.radishpost.manifest.Manifest;
import org.radishpost.manifest.ManifestCodec;
import org.radishpost.manifest.ManifestTest;
import org.radishpost.manifest.ManifestValidator;
import org.radishpost.manifest.ServiceSpec;
import org.radishpost.manifest.TargetSpec;
import org.radishpost.node.ConfigReplicaService;
import org.radishpost.standin.LogFaults;
import org.radishpost.standin.MemoryLog;
import org.radishpost.store.LogPage;
import org.radishpost.store.LogRecord;
import org.radishpost.store.PlatformLog;
import reactor.core.publisher.Mono;
import reactor.test.scheduler.VirtualTimeScheduler;

/**
 * Simulates a log, links and VMs in virtual time. The VMs use the production service and replica.
 */
final class ConfigSimulation {
  static final Duration RETENTION = Duration.ofSeconds(60);
  private static final Duration HEARTBEAT_INTERVAL = Duration.ofMillis(500);
  private static final ManifestCodec MANIFEST_CODEC = new ManifestCodec();
  static final ConfigRecordCodec RECORD_CODEC = new ConfigRecordCodec(MANIFEST_CODEC);
  private static final Manifest VALID_MANIFEST = readValidManifest();

  final VirtualTimeScheduler time = VirtualTimeScheduler.create();
  final MemoryLog log = new MemoryLog(time, RETENTION);
  final Map<VmId, Vm> vms = new LinkedHashMap<>();
  private final FakeLinkNetwork network = new FakeLinkNetwork(time);
  private final SplittableRandom random;
  private final ReplicationRules replicationRules;
  boolean logDown;
  boolean appendDelays = true;
  private int startedVms;

  ConfigSimulation(long seed, ReplicationRules replicationRules) {
    this.random = new SplittableRandom(seed);
    this.replicationRules = replicationRules;
  }

  Vm startVm() {
    Vm vm = new Vm(new VmId("vm-" + ++startedVms));
    vms.put(vm.id, vm);
    vm.service.start();
    network.connect(vm.id);
    return vm;
  }

  void stopVm(VmId id) {
    vms.remove(id).service.stop();
    network.remove(id);
  }

  void breakLink(VmId one, VmId other) {
    network.breakLink(one, other);
  }

  /** Ends all faults of the log and the links. */
  void endFaults() {
    logDown = false;
    log.setFaults(LogFaults.NONE);
    vms.values().forEach(vm -> vm.log.disconnected = false);
    network.restoreLinks();
  }

  /** Advances the virtual time and sends the heartbeats that are due. */
  void advanceTime(Duration duration) {
    long leftMillis = duration.toMillis();
    while (leftMillis > 0) {
      long stepMillis = Math.min(leftMillis, HEARTBEAT_INTERVAL.toMillis());
      time.advanceTimeBy(Duration.ofMillis(stepMillis));
      vms.forEach((id, vm) -> network.sendHeartbeat(id, vm.service.announcedVersion()));
      leftMillis -= stepMillis;
    }
  }

  static Manifest manifest(String gateway, long baseVersion) {
    List<ServiceSpec> services =
        VALID_MANIFEST.services().stream()
            .map(service -> withDistinctTargets(service, gateway))
            .toList();
    return new Manifest(
        new GatewayName(gateway),
        VALID_MANIFEST.tenant(),
        baseVersion,
        services,
        VALID_MANIFEST.routes());
  }

  /** Returns the service with ports unique to the gateway, as gateways must not share targets. */
  private static ServiceSpec withDistinctTargets(ServiceSpec service, String gateway) {
    int portOffset = 100 * (gateway.charAt(gateway.length() - 1) - '0');
    List<TargetSpec> targets =
        service.targets().stream()
            .map(
                target ->
                    new TargetSpec(
                        new Endpoint(target.address().ip(), target.address().port() + portOffset),
                        target.place(),
                        target.slots(),
                        target.connections()))
            .toList();
    return new ServiceSpec(
        service.name(), targets, service.coldStart(), service.probe(), service.ejectPercent());
  }

  private static Manifest readValidManifest() {
    try (InputStream in = ManifestTest.class.getResourceAsStream("valid.json")) {
      return MANIFEST_CODEC.decode(in.readAllBytes());
    } catch (IOException | ManifestException e) {
      throw new IllegalStateException(e);
    }
  }

  /** A simulated VM with its connection to the log. */
  final class Vm {
    final VmId id;
    final UnreliableLog log = new UnreliableLog();
    final ConfigReplicaService service;

    private Vm(VmId id) {
      this.id = id;
      ConfigReplicaOptions options = ConfigReplicaOptions.forRetention(RETENTION);
      ConfigReplica replica =
          new ConfigReplica(
              id.value(),
              options,
              RECORD_CODEC,
              new SnapshotCodec(MANIFEST_CODEC),
              new ConfigChangeRules(new ManifestValidator()),
              random.split(),
              time.now(TimeUnit.NANOSECONDS),
              replicationRules);
      service =
          new ConfigReplicaService(
              replica, options, log, network.add(id), (code, fields) -> {}, time);
    }
  }

  /** A VM's connection to the log, with random delays and disconnections. */
  final class UnreliableLog implements PlatformLog {
    boolean disconnected;

    @Override
    public Mono<LogRecord> append(String stream, byte[] payload) {
      Mono<LogRecord> append =
          Mono.create(
              sink ->
                  time.schedule(
                      () -> log.append(stream, payload).subscribe(sink::success, sink::error),
                      appendDelayMillis(),
                      TimeUnit.MILLISECONDS));
      return withFaults(append);
    }

    @Override
    public Mono<LogPage> read(String stream, long from, int max, Duration wait) {
      return withFaults(log.read(stream, from, max, wait));
    }

    private long appendDelayMillis() {
      return switch (appendDelays ? random.nextInt(10) : 9) {
        case 0 -> random.nextInt(900);
        case 1 -> random.nextInt(12_000);
        default -> 2;
      };
    }

    private <T> Mono<T> withFaults(Mono<T> request) {
      Mono<T> failure = Mono.error(new LogUnavailableException("the log is unreachable"));
      return Mono.defer(() -> disconnected || logDown ? failure : request)
          .delayElement(Duration.ofMillis(random.nextInt(1, 40)), time)
          .flatMap(response -> disconnected || logDown ? failure : Mono.just(response));
    }
  }
}
