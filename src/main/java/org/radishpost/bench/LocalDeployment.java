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
 * A complete deployment in this process: log, targets and VMs, on free ports of the loopback
 * interface.
 *
 * <p>Call {@link #start} once and {@link #close} once. Not thread-safe.
 */
public final class LocalDeployment implements AutoCloseable {
  private static final String LOOPBACK = "127.0.0.1";
  private static final Endpoint ANY_PORT = new Endpoint(LOOPBACK, 0);
  private static final Duration RETENTION = Duration.ofDays(1);
  private static final Duration TIMEOUT = Duration.ofSeconds(20);
  private static final int KEY_BYTES = 32;

  private final RuntimeClock clock;
  private final RandomGenerator random;
  private final MemoryVmList vmList;
  private final LogServer platformServer;
  private final TargetServer targets;
  private final List<Node> nodes = new ArrayList<>();
  private final List<Entry> entries = new ArrayList<>();

  /**
   * Creates a deployment to be started by {@link #start}.
   *
   * @param clock the clock and the scheduler of timers
   * @param random the source of keys, seeds and random choices
   */
  public LocalDeployment(RuntimeClock clock, RandomGenerator random) {
    this.clock = clock;
    this.random = random;
    this.vmList = new MemoryVmList(clock);
    this.platformServer = new LogServer(ANY_PORT, new MemoryLog(clock, RETENTION), vmList);
    this.targets = new TargetServer(clock);
  }

  /**
   * Starts the log, the targets and the VMs, publishes the manifest and waits until all VMs have
   * received it.
   *
   * @param template the manifest to publish, except for the target addresses, which are replaced
   * @param vmTemplates the settings of the VMs, except for the addresses, which are replaced
   * @param balancing the balancing policy of the VMs
   * @param meanServiceTime the mean service time of all targets
   * @param sigma the standard deviation of the logarithm of the service time; 0 for a constant
   *     service time
   * @return the published manifest, with the actual target addresses
   * @throws RadishpostException if a component cannot be started or the manifest is not accepted
   */
  public Manifest start(
      Manifest template,
      List<NodeSettings> vmTemplates,
      Balancing balancing,
      Duration meanServiceTime,
      double sigma)
      throws RadishpostException {
    final Manifest manifest = startTargets(template, meanServiceTime, sigma);
    Endpoint logAddress = platformServer.start();
    byte[] linkKey = new byte[KEY_BYTES];
    byte[] homeKey = new byte[KEY_BYTES];
    random.nextBytes(linkKey);
    random.nextBytes(homeKey);
    for (NodeSettings vmTemplate : vmTemplates) {
      Node node =
          new Node(
              localSettings(vmTemplate, logAddress, balancing),
              new NodeSecrets(linkKey, homeKey),
              clock,
              random);
      vmList.put(node.start());
      nodes.add(node);
      entries.add(new Entry(node.edgeAddress(), vmTemplate.place()));
    }
    publish("manifest", new ConfigChange.Publish(manifest));
    nodes.forEach(
        node ->
            node.config()
                .changes()
                .filter(configuration -> !configuration.manifests().isEmpty())
                .blockFirst(TIMEOUT));
    return manifest;
  }

  /** Returns the entry VMs. */
  public List<Entry> entries() {
    return List.copyOf(entries);
  }

  /** Returns the server that runs all targets. */
  public TargetServer targets() {
    return targets;
  }

  /**
   * Publishes a configuration change through the first VM.
   *
   * @param operationId the ID of the operation
   * @param change the change
   * @throws StartException if the change is not accepted
   */
  public void publish(String operationId, ConfigChange change) throws StartException {
    PublishResult result = nodes.getFirst().config().publish(operationId, change, TIMEOUT).block();
    if (!(result instanceof PublishResult.Accepted)) {
      throw new StartException("The configuration change was not accepted: " + result + ".");
    }
  }

  @Override
  public void close() {
    Flux.fromIterable(nodes).flatMap(Node::stop).then().block(TIMEOUT);
    targets.stop();
    platformServer.stop();
  }

  private Manifest startTargets(Manifest template, Duration meanServiceTime, double sigma)
      throws StartException {
    List<ServiceSpec> services = new ArrayList<>();
    for (ServiceSpec serviceTemplate : template.services()) {
      List<TargetSpec> startedTargets = new ArrayList<>();
      for (TargetSpec targetTemplate : serviceTemplate.targets()) {
        Endpoint address =
            targets.add(ANY_PORT, targetOptions(targetTemplate, meanServiceTime, sigma));
        startedTargets.add(
            new TargetSpec(
                address,
                targetTemplate.place(),
                targetTemplate.slots(),
                targetTemplate.connections()));
      }
      services.add(
          new ServiceSpec(
              serviceTemplate.name(),
              startedTargets,
              serviceTemplate.coldStart(),
              serviceTemplate.probe(),
              serviceTemplate.ejectPercent()));
    }
    return new Manifest(template.gateway(), template.tenant(), 0, services, template.routes());
  }

  private TargetOptions targetOptions(TargetSpec target, Duration meanServiceTime, double sigma) {
    TargetOptions defaults =
        TargetOptions.warm(
            target.slots(), target.connections(), meanServiceTime, random.nextLong());
    return new TargetOptions(
        defaults.slots(),
        defaults.maxQueued(),
        defaults.maxConnections(),
        defaults.meanServiceTime(),
        sigma,
        defaults.startWarm(),
        defaults.coldCapacity(),
        defaults.coldSlowdown(),
        defaults.warmUpTime(),
        defaults.warmUpCalls(),
        defaults.restartDelay(),
        defaults.seed());
  }

  private static NodeSettings localSettings(
      NodeSettings template, Endpoint logAddress, Balancing balancing) {
    return new NodeSettings(
        template.vm(),
        template.place(),
        ANY_PORT,
        ANY_PORT,
        ANY_PORT,
        ANY_PORT,
        new PlatformSettings(logAddress, logAddress),
        template.linkKeyEnv(),
        template.homeKeyEnv(),
        template.tokens(),
        template.limits(),
        new NodeSettings.ShutdownSettings(Duration.ZERO, Duration.ofSeconds(2)),
        balancing,
        template.logFormat());
  }
}
