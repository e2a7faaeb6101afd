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

/** A log, links and VMs in virtual time; the VMs run the real service and replica. */
final class ConfigWorld {
  static final Duration RETENTION = Duration.ofSeconds(60);
  private static final Duration BEAT = Duration.ofMillis(500);
  private static final ManifestCodec MANIFESTS = new ManifestCodec();
  static final ConfigRecordCodec RECORDS = new ConfigRecordCodec(MANIFESTS);
  private static final Manifest VALID = valid();

  final VirtualTimeScheduler time = VirtualTimeScheduler.create();
  final MemoryLog log = new MemoryLog(time, RETENTION);
  final Map<VmId, Vm> vms = new LinkedHashMap<>();
  private final FakeNet net = new FakeNet(time);
  private final SplittableRandom random;
  private final ReplicaRules rules;
  boolean down;
  boolean late = true;
  private int started;

  ConfigWorld(long seed, ReplicaRules rules) {
    this.random = new SplittableRandom(seed);
    this.rules = rules;
  }

  Vm startVm() {
    Vm vm = new Vm(new VmId("vm-" + ++started));
    vms.put(vm.id, vm);
    vm.service.start();
    net.up(vm.id);
    return vm;
  }

  void stopVm(VmId id) {
    vms.remove(id).service.stop();
    net.remove(id);
  }

  void cut(VmId one, VmId other) {
    net.cut(one, other);
  }

  /** Ends every fault. */
  void mend() {
    down = false;
    log.faults(LogFaults.NONE);
    vms.values().forEach(vm -> vm.log.cut = false);
    net.mend();
  }

  /** Lets time pass, with heartbeats. */
  void pass(Duration span) {
    long left = span.toMillis();
    while (left > 0) {
      long step = Math.min(left, BEAT.toMillis());
      time.advanceTimeBy(Duration.ofMillis(step));
      vms.forEach((id, vm) -> net.beat(id, vm.service.announcedVersion()));
      left -= step;
    }
  }

  static Manifest manifest(String gateway, long baseVersion) {
    List<ServiceSpec> services =
        VALID.services().stream().map(service -> ownTargets(service, gateway)).toList();
    return new Manifest(
        new GatewayName(gateway), VALID.tenant(), baseVersion, services, VALID.routes());
  }

  /** Gives each gateway targets of its own, as no two may share one. */
  private static ServiceSpec ownTargets(ServiceSpec service, String gateway) {
    int shift = 100 * (gateway.charAt(gateway.length() - 1) - '0');
    List<TargetSpec> targets =
        service.targets().stream()
            .map(
                target ->
                    new TargetSpec(
                        new Endpoint(target.address().ip(), target.address().port() + shift),
                        target.place(),
                        target.slots(),
                        target.connections()))
            .toList();
    return new ServiceSpec(
        service.name(), targets, service.coldStart(), service.probe(), service.ejectPercent());
  }

  private static Manifest valid() {
    try (InputStream in = ManifestTest.class.getResourceAsStream("valid.json")) {
      return MANIFESTS.decode(in.readAllBytes());
    } catch (IOException | ManifestException e) {
      throw new IllegalStateException(e);
    }
  }

  /** One VM and its own way to the log. */
  final class Vm {
    final VmId id;
    final CutLog log = new CutLog();
    final ConfigReplicaService service;

    private Vm(VmId id) {
      this.id = id;
      ConfigReplicaOptions options = ConfigReplicaOptions.forRetention(RETENTION);
      ConfigReplica replica =
          new ConfigReplica(
              id.value(),
              options,
              RECORDS,
              new SnapshotCodec(MANIFESTS),
              new ConfigVerdicts(new ManifestValidator()),
              random.split(),
              time.now(TimeUnit.NANOSECONDS),
              rules);
      service =
          new ConfigReplicaService(replica, options, log, net.add(id), (code, fields) -> {}, time);
    }
  }

  /** The log as one VM reaches it: late at times, or not at all. */
  final class CutLog implements PlatformLog {
    boolean cut;

    @Override
    public Mono<LogRecord> append(String stream, byte[] payload) {
      Mono<LogRecord> landing =
          Mono.create(
              sink ->
                  time.schedule(
                      () -> log.append(stream, payload).subscribe(sink::success, sink::error),
                      lateMillis(),
                      TimeUnit.MILLISECONDS));
      return through(landing);
    }

    @Override
    public Mono<LogPage> read(String stream, long from, int max, Duration wait) {
      return through(log.read(stream, from, max, wait));
    }

    private long lateMillis() {
      return switch (late ? random.nextInt(10) : 9) {
        case 0 -> random.nextInt(900);
        case 1 -> random.nextInt(12_000);
        default -> 2;
      };
    }

    private <T> Mono<T> through(Mono<T> request) {
      Mono<T> failure = Mono.error(new LogUnavailableException("cut off"));
      return Mono.defer(() -> cut || down ? failure : request)
          .delayElement(Duration.ofMillis(random.nextInt(1, 40)), time)
          .flatMap(answer -> cut || down ? failure : Mono.just(answer));
    }
  }
}
