package org.radishpost.pgm;

import io.netty.handler.codec.http.HttpResponseStatus;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.radishpost.config.ConfigChange;
import org.radishpost.config.PublishResult;
import org.radishpost.errors.RadishpostException;
import org.radishpost.errors.StartException;
import org.radishpost.lib.Digest;
import org.radishpost.lib.Endpoint;
import org.radishpost.lib.Place;
import org.radishpost.lib.VmId;
import org.radishpost.node.Node;
import org.radishpost.node.NodeSecrets;
import org.radishpost.node.RuntimeClock;
import org.radishpost.settings.NodeSettings;
import org.radishpost.standin.LogServer;
import org.radishpost.standin.MemoryLog;
import org.radishpost.standin.MemoryVmList;
import org.radishpost.standin.TargetOptions;
import org.radishpost.standin.TargetServer;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;

/** The demo system: stand-ins for the platform and the targets, three VMs, and one manifest. */
final class DemoSystem {
  private static final String LOOPBACK = "127.0.0.1";
  private static final Endpoint ANY_PORT = new Endpoint(LOOPBACK, 0);
  private static final Duration RETENTION = Duration.ofDays(1);
  private static final Duration SERVICE_TIME = Duration.ofMillis(5);
  private static final Duration START_TIMEOUT = Duration.ofSeconds(10);
  private static final Duration FIRST_CALL_RETRY_DELAY = Duration.ofMillis(5);
  private static final String EXAMPLE_PATH = "/archive/2026";
  private static final int TARGETS_PER_ZONE = 2;
  private static final int KEY_BYTES = 32;
  private static final List<Place> TARGET_PLACES =
      List.of(Place.of("kozep", "kozep-1"), Place.of("kozep", "kozep-2"));
  private static final List<Place> VM_PLACES = List.of(TARGET_PLACES.get(0), TARGET_PLACES.get(1), TARGET_PLACES.get(0));

  /** A token with all permissions. It is no secret, as the demo listens only on loopback. */
  static final String DEMO_TOKEN = "demo";

  private static final List<NodeSettings.TokenSettings> TOKENS =
      List.of(
          new NodeSettings.TokenSettings(
              Digest.of(DEMO_TOKEN), List.of("read", "operate", "publish:" + DemoManifest.TENANT)));

  private final RuntimeClock clock;
  private final RandomGenerator random;
  private final MemoryVmList vmList;
  private final LogServer logServer;
  private final TargetServer targets;
  private final List<Node> nodes = new ArrayList<>();

  DemoSystem(RuntimeClock clock, RandomGenerator random) {
    this.clock = clock;
    this.random = random;
    this.vmList = new MemoryVmList(clock);
    this.logServer = new LogServer(ANY_PORT, new MemoryLog(clock, RETENTION), vmList);
    this.targets = new TargetServer(clock);
  }

  /**
   * Starts the system and waits until every VM serves calls.
   *
   * @param firstPort the port of the first VM; the other VMs use the following ports. With 0, every
   *     VM uses any free port.
   */
  void start(int firstPort) throws RadishpostException {
    Endpoint logAddress = logServer.start();
    NodeSecrets secrets = randomSecrets();
    for (int i = 0; i < VM_PLACES.size(); i++) {
      int port = firstPort == 0 ? 0 : firstPort + i;
      Node node = new Node(settings(i, port, logAddress), secrets, clock, random);
      vmList.put(node.start());
      nodes.add(node);
    }
    publish();
    awaitFirstCalls();
  }

  /** Returns shell commands that call the demo. */
  List<String> exampleCommands() {
    List<String> lines = new ArrayList<>();
    for (Node node : nodes) {
      lines.add("curl -i http://" + node.edgeAddress() + EXAMPLE_PATH);
    }
    Endpoint firstAddress = nodes.getFirst().edgeAddress();
    lines.add(
        "curl -i -d 'issue 7' -H 'Idempotency-Key: "
            + clock.now(TimeUnit.MILLISECONDS)
            + "-abcdefghijklmnop' http://"
            + firstAddress
            + "/dispatch");
    lines.add(
        "curl -H 'Authorization: Bearer "
            + DEMO_TOKEN
            + "' http://"
            + nodes.getFirst().adminAddress()
            + "/v1/status");
    return lines;
  }

  /** Returns the addresses on which the VMs serve callers. */
  List<Endpoint> edgeAddresses() {
    return nodes.stream().map(Node::edgeAddress).toList();
  }

  /** Returns the addresses on which the VMs serve the administration API. */
  List<Endpoint> adminAddresses() {
    return nodes.stream().map(Node::adminAddress).toList();
  }

  /** Returns the VMs. */
  List<Node> nodes() {
    return List.copyOf(nodes);
  }

  /** Returns how many times the targets ran a call with the idempotency key. */
  long runCount(String key) {
    return targets.runCount(key);
  }

  /** Shuts the VMs down gracefully, then stops the stand-ins. */
  Mono<Void> stop() {
    return Flux.fromIterable(nodes)
        .flatMap(Node::stop)
        .then(
            Mono.fromRunnable(
                () -> {
                  targets.stop();
                  logServer.stop();
                }));
  }

  private void publish() throws RadishpostException {
    List<DemoManifest.PlacedTarget> placedTargets = new ArrayList<>();
    for (Place place : TARGET_PLACES) {
      for (int i = 0; i < TARGETS_PER_ZONE; i++) {
        TargetOptions options =
            TargetOptions.warm(
                DemoManifest.SLOTS, DemoManifest.CONNECTIONS, SERVICE_TIME, placedTargets.size());
        placedTargets.add(new DemoManifest.PlacedTarget(targets.add(ANY_PORT, options), place));
      }
    }
    ConfigChange change = new ConfigChange.Publish(DemoManifest.of(placedTargets));
    PublishResult result = nodes.getFirst().config().publish("demo", change, START_TIMEOUT).block();
    if (!(result instanceof PublishResult.Accepted)) {
      throw new StartException("The demo's manifest was not accepted: " + result + ".");
    }
    nodes.forEach(
        node ->
            node.config()
                .changes()
                .filter(configuration -> !configuration.manifests().isEmpty())
                .blockFirst(START_TIMEOUT));
  }

  /**
   * Waits until each VM serves a call. A manifest becomes active slightly before its pools have
   * owners that every VM knows.
   */
  private void awaitFirstCalls() throws StartException {
    HttpClient client = HttpClient.create();
    for (Node node : nodes) {
      if (!isServed(client, "http://" + node.edgeAddress() + EXAMPLE_PATH)) {
        throw new StartException(
            node.edgeAddress()
                + " served no call within "
                + START_TIMEOUT
                + ": check its log.");
      }
    }
  }

  private static boolean isServed(HttpClient client, String uri) {
    return client
        .get()
        .uri(uri)
        .response()
        .map(response -> response.status().code())
        .filter(status -> status == HttpResponseStatus.OK.code())
        .repeatWhenEmpty(retries -> retries.delayElements(FIRST_CALL_RETRY_DELAY))
        .timeout(START_TIMEOUT, Mono.empty())
        .blockOptional()
        .isPresent();
  }

  private NodeSecrets randomSecrets() {
    byte[] link = new byte[KEY_BYTES];
    byte[] home = new byte[KEY_BYTES];
    random.nextBytes(link);
    random.nextBytes(home);
    return new NodeSecrets(link, home);
  }

  private static NodeSettings settings(int index, int port, Endpoint logAddress) {
    return new NodeSettings(
        new VmId("vm-" + (index + 1)),
        VM_PLACES.get(index),
        new Endpoint(LOOPBACK, port),
        ANY_PORT,
        ANY_PORT,
        ANY_PORT,
        new NodeSettings.PlatformSettings(logAddress, logAddress),
        "RADISHPOST_LINK_KEY",
        Optional.empty(),
        TOKENS,
        new NodeSettings.LimitSettings(16_384, 65_536, 256, 4_096, Duration.ofSeconds(30)),
        new NodeSettings.ShutdownSettings(Duration.ZERO, Duration.ofSeconds(10)),
        NodeSettings.Balancing.OWNER,
        NodeSettings.LogFormat.TEXT);
  }
}
