package org.radishpost.bench;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import org.radishpost.bench.DeploymentLoad.Entry;
import org.radishpost.config.ConfigChange;
import org.radishpost.config.PublishResult;
import org.radishpost.errors.RadishpostException;
import org.radishpost.errors.StartException;
import org.radishpost.lib.Endpoint;
import org.radishpost.manifest.Manifest;
import org.radishpost.manifest.ServiceSpec;
import org.radishpost.manifest.TargetSpec;
import org.radishpost.node.Node;
import org.radishpost.node.NodeSecrets;
import org.radishpost.node.RuntimeClock;
import org.radishpost.settings.NodeSettings;
import org.radishpost.settings.NodeSettings.Balancing;
import org.radishpost.settings.NodeSettings.PlatformSettings;
import org.radishpost.standin.LogServer;
import org.radishpost.standin.MemoryLog;
import org.radishpost.standin.MemoryVmList;
import org.radishpost.standin.TargetOptions;
import org.radishpost.standin.TargetServer;
import reactor.core.publisher.Flux;

/**
 * A whole deployment in this process, over real sockets on free ports: log, targets and VMs.
 *
 * <p>{@link #start} it once and {@link #close} it once. One thread at a time.
 */
public final class LocalSystem implements AutoCloseable {
  private static final String LOOPBACK = "127.0.0.1";
  private static final Endpoint ANY_PORT = new Endpoint(LOOPBACK, 0);
  private static final Duration RETENTION = Duration.ofDays(1);
  private static final Duration LIMIT = Duration.ofSeconds(20);
  private static final int KEY_BYTES = 32;

  private final RuntimeClock clock;
  private final RandomGenerator random;
  private final MemoryVmList vms;
  private final LogServer platform;
  private final TargetServer targets;
  private final List<Node> nodes = new ArrayList<>();
  private final List<Entry> entries = new ArrayList<>();

  /**
   * Creates a system that does not run yet.
   *
   * @param clock the clock and timers
   * @param random the source of keys and choices
   */
  public LocalSystem(RuntimeClock clock, RandomGenerator random) {
    this.clock = clock;
    this.random = random;
    this.vms = new MemoryVmList(clock);
    this.platform = new LogServer(ANY_PORT, new MemoryLog(clock, RETENTION), vms);
    this.targets = new TargetServer(clock);
  }

  /**
   * Starts everything, publishes the manifest and waits until all VMs are under way.
   *
   * @param wanted the gateway; its targets get other addresses
   * @param settings the VMs; they get other addresses
   * @param balancing how calls are spread over targets
   * @param meanService the mean service time of all targets
   * @param sigma the spread of the service time's logarithm; 0 for a constant time
   * @return the manifest with the addresses in use
   * @throws RadishpostException if something does not start
   */
  public Manifest start(
      Manifest wanted,
      List<NodeSettings> settings,
      Balancing balancing,
      Duration meanService,
      double sigma)
      throws RadishpostException {
    final Manifest manifest = startTargets(wanted, meanService, sigma);
    Endpoint log = platform.start();
    byte[] link = new byte[KEY_BYTES];
    byte[] home = new byte[KEY_BYTES];
    random.nextBytes(link);
    random.nextBytes(home);
    for (NodeSettings one : settings) {
      Node node = new Node(local(one, log, balancing), new NodeSecrets(link, home), clock, random);
      vms.put(node.start());
      nodes.add(node);
      entries.add(new Entry(node.edgeAddress(), one.place()));
    }
    change("manifest", new ConfigChange.Publish(manifest));
    nodes.forEach(
        node ->
            node.config()
                .changes()
                .filter(configuration -> !configuration.manifests().isEmpty())
                .blockFirst(LIMIT));
    return manifest;
  }

  /** Returns the VMs that take calls. */
  public List<Entry> entries() {
    return List.copyOf(entries);
  }

  /** Returns the targets. */
  public TargetServer targets() {
    return targets;
  }

  /**
   * Changes the configuration through the first VM.
   *
   * @throws StartException if the change is not accepted
   */
  public void change(String operation, ConfigChange change) throws StartException {
    PublishResult result = nodes.getFirst().config().publish(operation, change, LIMIT).block();
    if (!(result instanceof PublishResult.Accepted)) {
      throw new StartException("The change was not accepted: " + result + ".");
    }
  }

  @Override
  public void close() {
    Flux.fromIterable(nodes).flatMap(Node::stop).then().block(LIMIT);
    targets.stop();
    platform.stop();
  }

  private Manifest startTargets(Manifest wanted, Duration meanService, double sigma)
      throws StartException {
    List<ServiceSpec> services = new ArrayList<>();
    for (ServiceSpec service : wanted.services()) {
      List<TargetSpec> started = new ArrayList<>();
      for (TargetSpec target : service.targets()) {
        Endpoint address = targets.add(ANY_PORT, options(target, meanService, sigma));
        started.add(new TargetSpec(address, target.place(), target.slots(), target.connections()));
      }
      services.add(
          new ServiceSpec(
              service.name(),
              started,
              service.coldStart(),
              service.probe(),
              service.ejectPercent()));
    }
    return new Manifest(wanted.gateway(), wanted.tenant(), 0, services, wanted.routes());
  }

  private TargetOptions options(TargetSpec target, Duration meanService, double sigma) {
    TargetOptions warm =
        TargetOptions.warm(target.slots(), target.connections(), meanService, random.nextLong());
    return new TargetOptions(
        warm.slots(),
        warm.maxQueued(),
        warm.maxConnections(),
        warm.meanServiceTime(),
        sigma,
        warm.startWarm(),
        warm.coldCapacity(),
        warm.coldSlowdown(),
        warm.warmUpTime(),
        warm.warmUpCalls(),
        warm.restartDelay(),
        warm.seed());
  }

  private static NodeSettings local(NodeSettings wanted, Endpoint log, Balancing balancing) {
    return new NodeSettings(
        wanted.vm(),
        wanted.place(),
        ANY_PORT,
        ANY_PORT,
        ANY_PORT,
        ANY_PORT,
        new PlatformSettings(log, log),
        wanted.linkKeyEnv(),
        wanted.homeKeyEnv(),
        wanted.tokens(),
        wanted.limits(),
        new NodeSettings.ShutdownSettings(Duration.ZERO, Duration.ofSeconds(2)),
        balancing,
        wanted.logFormat());
  }
}
