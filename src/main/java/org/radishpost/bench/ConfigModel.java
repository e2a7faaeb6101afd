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
 * Measures the configuration: how long a change takes to be in force on many replicas over the
 * log's HTTP binding on loopback, its bytes, and the processor time of one replica.
 *
 * <p>Run its {@link #main}; the arguments are the replicas and the changes.
 */
public final class ConfigModel {
  private static final Duration RETENTION = Duration.ofHours(24);
  private static final Duration LIMIT = Duration.ofSeconds(20);
  private static final int WARM_UP = 100;
  private static final int SERVICES = 4;
  private static final long MAX_MICROS = TimeUnit.MINUTES.toMicros(1);
  private static final double BYTES_PER_KB = 1000;

  private final Scheduler clock = Schedulers.newParallel("config-model");
  private final ManifestCodec manifests = new ManifestCodec();
  private final ConfigRecordCodec records = new ConfigRecordCodec(manifests);
  private final SnapshotCodec snapshots = new SnapshotCodec(manifests);
  private final ConfigReplicaOptions options = ConfigReplicaOptions.forRetention(RETENTION);

  private ConfigModel() {}

  /**
   * Prints the measurements.
   *
   * @param args the replicas and the changes, 16 and 500 unless given
   */
  public static void main(String[] args) throws StartException, ManifestException {
    int replicas = args.length > 0 ? Integer.parseInt(args[0]) : 16;
    int changes = args.length > 1 ? Integer.parseInt(args[1]) : 500;
    ConfigModel model = new ConfigModel();
    model.inForce(replicas, changes);
    print("| gateways | targets | µs a change | snapshot KB | write ms | read ms | state MB |");
    print("|---|---|---|---|---|---|---|");
    model.oneReplica(1, 13, 2000);
    model.oneReplica(118, 25, 2000);
    model.clock.dispose();
  }

  private void inForce(int replicas, int changes) throws StartException {
    MemoryLog memory = new MemoryLog(clock, RETENTION);
    LogServer server = new LogServer(new Endpoint("127.0.0.1", 0), memory, new MemoryVmList(clock));
    Endpoint address = server.start();
    List<Replica> all = new ArrayList<>();
    for (int i = 0; i < replicas; i++) {
      all.add(new Replica(i, address));
    }
    all.forEach(replica -> replica.service.start());
    long version = 0;
    Histogram micros = new Histogram(MAX_MICROS, 3);
    long cpuNanos = 0;
    for (int i = 0; i < WARM_UP + changes; i++) {
      if (i == WARM_UP) {
        micros.reset();
        cpuNanos = processCpuNanos();
        all.forEach(replica -> replica.log.reset());
      }
      version = publish(all, i, version, micros);
    }
    report(micros, processCpuNanos() - cpuNanos, all, changes);
    all.forEach(Replica::stop);
    server.stop();
  }

  /** Publishes one change and waits until it is in force on every replica. */
  private long publish(List<Replica> all, int number, long base, Histogram micros) {
    Manifest manifest = ConfigModelManifests.manifest("gateway", base, SERVICES, 13);
    long started = clock.now(TimeUnit.NANOSECONDS);
    PublishResult result =
        all.get(number % all.size())
            .service
            .publish("op-" + number, new ConfigChange.Publish(manifest), LIMIT)
            .block();
    if (!(result instanceof PublishResult.Accepted(long version))) {
      throw new IllegalStateException("the change was not accepted: " + result);
    }
    for (Replica replica : all) {
      replica.service.changes().filter(now -> now.version() >= version).blockFirst(LIMIT);
    }
    micros.recordValue(TimeUnit.NANOSECONDS.toMicros(clock.now(TimeUnit.NANOSECONDS) - started));
    return version;
  }

  private static void report(Histogram micros, long cpuNanos, List<Replica> all, int changes) {
    double read = all.stream().mapToLong(replica -> replica.log.readBytes()).sum();
    double reads = all.stream().mapToLong(replica -> replica.log.reads()).sum();
    print(
        "in force on %d replicas after: p50 %.1f ms, p99 %.1f ms, max %.1f ms (%d changes)",
        all.size(),
        micros.getValueAtPercentile(50) / 1000.0,
        micros.getValueAtPercentile(99) / 1000.0,
        micros.getMaxValue() / 1000.0,
        changes);
    print(
        "body bytes a change and replica: %.0f in %.2f reads",
        read / changes / all.size(), reads / changes / all.size());
    print("processor time a change, all replicas and the log: %.2f ms", cpuNanos / 1e6 / changes);
  }

  /** Drives the decisions of one replica alone, with so many gateways of four services each. */
  private void oneReplica(int gateways, int targets, int changes) throws ManifestException {
    List<byte[]> payloads = payloads(gateways, targets, changes);
    timeOne(payloads);
    ConfigReplica replica = replica("timed");
    long applyNanos = timed(() -> feed(replica, payloads));
    ConfigState state = replica.state();
    byte[] snapshot = snapshots.encode(state);
    long writeNanos = timed(() -> snapshots.encode(state));
    long readNanos = timed(() -> decode(snapshot));
    long stateBytes = heapBytes(snapshot);
    print(
        "| %d | %d | %.1f | %.1f | %.1f | %.1f | %.1f |",
        gateways,
        gateways * SERVICES * targets,
        applyNanos / 1e3 / payloads.size(),
        snapshot.length / BYTES_PER_KB,
        writeNanos / 1e6,
        readNanos / 1e6,
        stateBytes / 1e6);
  }

  private void timeOne(List<byte[]> payloads) {
    ConfigReplica warmUp = replica("warm-up");
    feed(warmUp, payloads);
    byte[] snapshot = snapshots.encode(warmUp.state());
    decode(snapshot);
  }

  private List<byte[]> payloads(int gateways, int targets, int changes) throws ManifestException {
    long[] versions = new long[gateways];
    List<byte[]> payloads = new ArrayList<>();
    for (int i = 0; i < changes; i++) {
      int gateway = i % gateways;
      Manifest manifest =
          ConfigModelManifests.manifest("gateway-" + gateway, versions[gateway], SERVICES, targets);
      ConfigChange change = new ConfigChange.Publish(manifest);
      payloads.add(records.encode(new ConfigRecord("op-" + i, "model", change)));
      versions[gateway] = i + 1;
    }
    return payloads;
  }

  private static void feed(ConfigReplica replica, List<byte[]> payloads) {
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
      return snapshots.decode(snapshot);
    } catch (ManifestException e) {
      throw new IllegalStateException("a snapshot of this process is readable", e);
    }
  }

  private long heapBytes(byte[] snapshot) {
    final long before = usedBytes();
    ConfigState kept = decode(snapshot);
    long after = usedBytes();
    return kept.version() > 0 ? after - before : 0;
  }

  private static long usedBytes() {
    System.gc();
    return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
  }

  private static long timed(Runnable work) {
    long before = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
    work.run();
    return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime() - before;
  }

  private static long processCpuNanos() {
    return ProcessHandle.current().info().totalCpuDuration().map(Duration::toNanos).orElse(0L);
  }

  private ConfigReplica replica(String author) {
    return new ConfigReplica(
        author,
        options,
        records,
        snapshots,
        new ConfigChangeRules(new ManifestValidator()),
        new SplittableRandom(1),
        0);
  }

  private static void print(String format, Object... values) {
    System.out.println(String.format(Locale.ROOT, format, values));
  }

  /** One replica with connections of its own. */
  private final class Replica {
    private final ConnectionProvider connections;
    private final CountingLog log;
    private final ConfigReplicaService service;

    private Replica(int number, Endpoint address) {
      connections = ConnectionProvider.create("replica-" + number, 4);
      log = new CountingLog(new HttpPlatformLog(connections, address, LIMIT));
      service =
          new ConfigReplicaService(
              replica("replica-" + number),
              options,
              log,
              new NoLinks(),
              (code, fields) -> {},
              clock);
    }

    private void stop() {
      service.stop();
      connections.dispose();
    }
  }
}
