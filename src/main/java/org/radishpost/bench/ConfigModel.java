package org.radishpost.bench;

import java.lang.management.ManagementFactory;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import org.radishpost.config.ConfigChange;
import org.radishpost.config.ConfigChangeRules;
import org.radishpost.config.ConfigEvent;
import org.radishpost.config.ConfigRecord;
import org.radishpost.config.ConfigRecordCodec;
import org.radishpost.config.ConfigReplica;
import org.radishpost.config.ConfigReplicaOptions;
import org.radishpost.config.ConfigState;
import org.radishpost.config.PublishResult;
import org.radishpost.config.SnapshotCodec;
import org.radishpost.errors.ManifestException;
import org.radishpost.errors.StartException;
import org.radishpost.lib.Endpoint;
import org.radishpost.manifest.Manifest;
import org.radishpost.manifest.ManifestCodec;
import org.radishpost.manifest.ManifestValidator;
import org.radishpost.node.ConfigReplicaService;
import org.radishpost.standin.LogServer;
import org.radishpost.standin.MemoryLog;
import org.radishpost.standin.MemoryVmList;
import org.radishpost.store.LogPage;
import org.radishpost.store.LogRecord;
import org.radishpost.store.http.HttpPlatformLog;
import reactor.core.scheduler.Scheduler;
import reactor.core.scheduler.Schedulers;
import reactor.netty.resources.ConnectionProvider;

/**
 * Measures configuration replication.
 *
 * <p>The first part publishes changes through the log over HTTP on loopback. It measures the time
 * until a change is active on all replicas, the bytes read and the processor time. The second part
 * measures the processor time, snapshot size and heap of a single replica without a log.
 *
 * <p>Run {@link #main} with the number of replicas and the number of changes.
 */
public final class ConfigModel {
  private static final Duration RETENTION = Duration.ofHours(24);
  private static final Duration TIMEOUT = Duration.ofSeconds(20);
  private static final int WARM_UP_CHANGES = 100;
  private static final int SERVICES_PER_GATEWAY = 4;
  private static final long MAX_PROPAGATION_MICROS = TimeUnit.MINUTES.toMicros(1);
  private static final double BYTES_PER_KB = 1000;

  private final Scheduler clock = Schedulers.newParallel("config-model");
  private final ManifestCodec manifestCodec = new ManifestCodec();
  private final ConfigRecordCodec recordCodec = new ConfigRecordCodec(manifestCodec);
  private final SnapshotCodec snapshotCodec = new SnapshotCodec(manifestCodec);
  private final ConfigReplicaOptions options = ConfigReplicaOptions.forRetention(RETENTION);

  private ConfigModel() {}

  /**
   * Prints the measurements.
   *
   * @param args the number of replicas, 16 by default, and the number of changes, 500 by default
   */
  public static void main(String[] args) throws StartException, ManifestException {
    int replicaCount = args.length > 0 ? Integer.parseInt(args[0]) : 16;
    int changeCount = args.length > 1 ? Integer.parseInt(args[1]) : 500;
    ConfigModel configModel = new ConfigModel();
    configModel.measurePropagation(replicaCount, changeCount);
    print("| gateways | targets | µs per change | snapshot KB | write ms | read ms | state MB |");
    print("|---|---|---|---|---|---|---|");
    configModel.measureReplica(1, 13, 2000);
    configModel.measureReplica(118, 25, 2000);
    configModel.clock.dispose();
  }

  private void measurePropagation(int replicaCount, int changeCount) throws StartException {
    MemoryLog platformLog = new MemoryLog(clock, RETENTION);
    LogServer server =
        new LogServer(new Endpoint("127.0.0.1", 0), platformLog, new MemoryVmList(clock));
    Endpoint address = server.start();
    List<Replica> allReplicas = new ArrayList<>();
    for (int i = 0; i < replicaCount; i++) {
      allReplicas.add(new Replica(i, address));
    }
    allReplicas.forEach(replica -> replica.service.start());
    long version = 0;
    Histogram propagationMicros = new Histogram(MAX_PROPAGATION_MICROS, 3);
    long cpuNanos = 0;
    for (int i = 0; i < WARM_UP_CHANGES + changeCount; i++) {
      if (i == WARM_UP_CHANGES) {
        propagationMicros.reset();
        cpuNanos = processCpuNanos();
        allReplicas.forEach(replica -> replica.log.reset());
      }
      version = publish(allReplicas, i, version, propagationMicros);
    }
    printPropagation(propagationMicros, processCpuNanos() - cpuNanos, allReplicas, changeCount);
    allReplicas.forEach(Replica::stop);
    server.stop();
  }

  /** Publishes one change and waits until it is active on every replica. */
  private long publish(
      List<Replica> allReplicas, int changeNumber, long baseVersion, Histogram propagationMicros) {
    Manifest manifest =
        ConfigModelManifests.createManifest("gateway", baseVersion, SERVICES_PER_GATEWAY, 13);
    long startNanos = clock.now(TimeUnit.NANOSECONDS);
    PublishResult result =
        allReplicas
            .get(changeNumber % allReplicas.size())
            .service
            .publish("op-" + changeNumber, new ConfigChange.Publish(manifest), TIMEOUT)
            .block();
    if (!(result instanceof PublishResult.Accepted(long version))) {
      throw new IllegalStateException("the configuration change was not accepted: " + result);
    }
    for (Replica replica : allReplicas) {
      replica
          .service
          .changes()
          .filter(configuration -> configuration.version() >= version)
          .blockFirst(TIMEOUT);
    }
    propagationMicros.recordValue(
        TimeUnit.NANOSECONDS.toMicros(clock.now(TimeUnit.NANOSECONDS) - startNanos));
    return version;
  }

  private static void printPropagation(
      Histogram propagationMicros, long cpuNanos, List<Replica> allReplicas, int changeCount) {
    double readBytes = allReplicas.stream().mapToLong(replica -> replica.log.readBytes()).sum();
    double readCount = allReplicas.stream().mapToLong(replica -> replica.log.readCount()).sum();
    print(
        "active on %d replicas after: p50 %.1f ms, p99 %.1f ms, max %.1f ms (%d changes)",
        allReplicas.size(),
        propagationMicros.getValueAtPercentile(50) / 1000.0,
        propagationMicros.getValueAtPercentile(99) / 1000.0,
        propagationMicros.getMaxValue() / 1000.0,
        changeCount);
    print(
        "body bytes per change and replica: %.0f in %.2f reads",
        readBytes / changeCount / allReplicas.size(), readCount / changeCount / allReplicas.size());
    print(
        "processor time per change, all replicas and the log: %.2f ms",
        cpuNanos / 1e6 / changeCount);
  }

  /**
   * Measures one replica without a log and prints a table row.
   *
   * @param gatewayCount the number of gateways, with {@link #SERVICES_PER_GATEWAY} services each
   * @param targetsPerService the number of targets of each service
   * @param changeCount the number of changes to apply
   */
  private void measureReplica(int gatewayCount, int targetsPerService, int changeCount)
      throws ManifestException {
    List<byte[]> payloads = createPayloads(gatewayCount, targetsPerService, changeCount);
    warmUp(payloads);
    ConfigReplica replica = createReplica("timed");
    long applyNanos = cpuNanosOf(() -> applyRecords(replica, payloads));
    ConfigState state = replica.state();
    byte[] snapshot = snapshotCodec.encode(state);
    long writeNanos = cpuNanosOf(() -> snapshotCodec.encode(state));
    long readNanos = cpuNanosOf(() -> decode(snapshot));
    long stateBytes = stateHeapBytes(snapshot);
    print(
        "| %d | %d | %.1f | %.1f | %.1f | %.1f | %.1f |",
        gatewayCount,
        gatewayCount * SERVICES_PER_GATEWAY * targetsPerService,
        applyNanos / 1e3 / payloads.size(),
        snapshot.length / BYTES_PER_KB,
        writeNanos / 1e6,
        readNanos / 1e6,
        stateBytes / 1e6);
  }

  private void warmUp(List<byte[]> payloads) {
    ConfigReplica replica = createReplica("warm-up");
    applyRecords(replica, payloads);
    byte[] snapshot = snapshotCodec.encode(replica.state());
    decode(snapshot);
  }

  private List<byte[]> createPayloads(int gatewayCount, int targetsPerService, int changeCount)
      throws ManifestException {
    long[] versions = new long[gatewayCount];
    List<byte[]> payloads = new ArrayList<>();
    for (int i = 0; i < changeCount; i++) {
      int gateway = i % gatewayCount;
      Manifest manifest =
          ConfigModelManifests.createManifest(
              "gateway-" + gateway, versions[gateway], SERVICES_PER_GATEWAY, targetsPerService);
      ConfigChange change = new ConfigChange.Publish(manifest);
      payloads.add(recordCodec.encode(new ConfigRecord("op-" + i, "model", change)));
      versions[gateway] = i + 1;
    }
    return payloads;
  }

  private static void applyRecords(ConfigReplica replica, List<byte[]> payloads) {
    long offset = 0;
    for (byte[] payload : payloads) {
      offset++;
      LogRecord record = new LogRecord(offset, offset, payload);
      LogPage page = new LogPage(List.of(record), 1, offset + 1, offset, 0);
      replica.handle(new ConfigEvent.LogRead(page), offset);
    }
  }

  private ConfigState decode(byte[] snapshot) {
    try {
      return snapshotCodec.decode(snapshot);
    } catch (ManifestException e) {
      throw new IllegalStateException("cannot decode a snapshot written by this process", e);
    }
  }

  private long stateHeapBytes(byte[] snapshot) {
    final long bytesBefore = usedHeapBytes();
    ConfigState state = decode(snapshot);
    long bytesAfter = usedHeapBytes();
    return state.version() > 0 ? bytesAfter - bytesBefore : 0;
  }

  private static long usedHeapBytes() {
    System.gc();
    return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
  }

  private static long cpuNanosOf(Runnable work) {
    long startNanos = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
    work.run();
    return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime() - startNanos;
  }

  private static long processCpuNanos() {
    return ProcessHandle.current().info().totalCpuDuration().map(Duration::toNanos).orElse(0L);
  }

  private ConfigReplica createReplica(String replicaName) {
    return new ConfigReplica(
        replicaName,
        options,
        recordCodec,
        snapshotCodec,
        new ConfigChangeRules(new ManifestValidator()),
        new SplittableRandom(1),
        0);
  }

  private static void print(String format, Object... values) {
    System.out.println(String.format(Locale.ROOT, format, values));
  }

  /** A replica with its own connection pool to the log. */
  private final class Replica {
    private final ConnectionProvider connections;
    private final CountingLog log;
    private final ConfigReplicaService service;

    private Replica(int index, Endpoint address) {
      connections = ConnectionProvider.create("replica-" + index, 4);
      log = new CountingLog(new HttpPlatformLog(connections, address, TIMEOUT));
      service =
          new ConfigReplicaService(
              createReplica("replica-" + index),
              options,
              log,
              new DisconnectedLinks(),
              (code, fields) -> {},
              clock);
    }

    private void stop() {
      service.stop();
      connections.dispose();
    }
  }
}
