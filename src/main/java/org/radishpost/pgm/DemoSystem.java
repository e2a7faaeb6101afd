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

/** The parts of the demo: stand-ins, three entry VMs and a published manifest. */
final class DemoSystem {
  private static final String LOOPBACK = "127.0.0.1";
  private static final Endpoint ANY_PORT = new Endpoint(LOOPBACK, 0);
  private static final Duration RETENTION = Duration.ofDays(1);
  private static final Duration SERVICE_TIME = Duration.ofMillis(5);
  private static final Duration PUBLISH_LIMIT = Duration.ofSeconds(10);
  private static final Duration FIRST_CALL_PAUSE = Duration.ofMillis(5);
  private static final String EXAMPLE_PATH = "/archive/2026";
  private static final int TARGETS_PER_ZONE = 2;
  private static final int KEY_BYTES = 32;
  private static final List<Place> PLACES =
      List.of(Place.of("kozep", "kozep-1"), Place.of("kozep", "kozep-2"));
  private static final List<Place> VM_PLACES = List.of(PLACES.get(0), PLACES.get(1), PLACES.get(0));

  /** A token that may do everything in the demo, which listens on loopback only. */
  static final String DEMO_TOKEN = "demo";

  private static final List<NodeSettings.TokenSettings> TOKENS =
      List.of(
          new NodeSettings.TokenSettings(
              Digest.of(DEMO_TOKEN), List.of("read", "operate", "publish:" + DemoManifest.TENANT)));

  private final RuntimeClock clock;
  private final RandomGenerator random;
  private final MemoryVmList vms;
  private final LogServer platform;
  private final TargetServer targets;
  private final List<Node> nodes = new ArrayList<>();

  DemoSystem(RuntimeClock clock, RandomGenerator random) {
    this.clock = clock;
    this.random = random;
    this.vms = new MemoryVmList(clock);
    this.platform = new LogServer(ANY_PORT, new MemoryLog(clock, RETENTION), vms);
    this.targets = new TargetServer(clock);
  }

  /** Starts everything; the first VM takes the given port, the others the next ones. */
  void start(int firstPort) throws RadishpostException {
    Endpoint log = platform.start();
    NodeSecrets secrets = secrets();
    for (int i = 0; i < VM_PLACES.size(); i++) {
      int port = firstPort == 0 ? 0 : firstPort + i;
      Node node = new Node(settings(i, port, log), secrets, clock, random);
      vms.put(node.start());
      nodes.add(node);
    }
    publish();
    awaitFirstCalls();
  }

  /** Returns commands that a user can paste. */
  List<String> examples() {
    List<String> lines = new ArrayList<>();
    for (Node node : nodes) {
      lines.add("curl -i http://" + node.edgeAddress() + EXAMPLE_PATH);
    }
    Endpoint first = nodes.getFirst().edgeAddress();
    lines.add(
        "curl -i -d 'issue 7' -H 'Idempotency-Key: "
            + clock.now(TimeUnit.MILLISECONDS)
            + "-abcdefghijklmnop' http://"
            + first
            + "/dispatch");
    lines.add(
        "curl -H 'Authorization: Bearer "
            + DEMO_TOKEN
            + "' http://"
            + nodes.getFirst().adminAddress()
            + "/v1/status");
    return lines;
  }

  /** Returns the addresses at which callers are served. */
  List<Endpoint> edges() {
    return nodes.stream().map(Node::edgeAddress).toList();
  }

  /** Returns the addresses of the administration API. */
  List<Endpoint> admins() {
    return nodes.stream().map(Node::adminAddress).toList();
  }

  /** Returns the VMs. */
  List<Node> nodes() {
    return List.copyOf(nodes);
  }

  /** Returns how often targets ran a call with the idempotency key. */
  long runs(String key) {
    return targets.runCount(key);
  }

  /** Stops everything, the VMs gracefully. */
  Mono<Void> stop() {
    return Flux.fromIterable(nodes)
        .flatMap(Node::stop)
        .then(
            Mono.fromRunnable(
                () -> {
                  targets.stop();
                  platform.stop();
                }));
  }

  private void publish() throws RadishpostException {
    List<DemoManifest.Placed> placed = new ArrayList<>();
    for (Place place : PLACES) {
      for (int i = 0; i < TARGETS_PER_ZONE; i++) {
        TargetOptions options =
            TargetOptions.warm(
                DemoManifest.SLOTS, DemoManifest.CONNECTIONS, SERVICE_TIME, placed.size());
        placed.add(new DemoManifest.Placed(targets.add(ANY_PORT, options), place));
      }
    }
    ConfigChange change = new ConfigChange.Publish(DemoManifest.of(placed));
    PublishResult result = nodes.getFirst().config().publish("demo", change, PUBLISH_LIMIT).block();
    if (!(result instanceof PublishResult.Accepted)) {
      throw new StartException("The demo's manifest was not accepted: " + result + ".");
    }
    nodes.forEach(
        node ->
            node.config()
                .changes()
                .filter(configuration -> !configuration.manifests().isEmpty())
                .blockFirst(PUBLISH_LIMIT));
  }

  /**
   * Waits until each VM serves a call: a manifest is in force a moment before its pools have owners
   * that every VM has heard of.
   */
  private void awaitFirstCalls() throws StartException {
    HttpClient client = HttpClient.create();
    for (Node node : nodes) {
      if (!isServed(client, "http://" + node.edgeAddress() + EXAMPLE_PATH)) {
        throw new StartException(
            node.edgeAddress()
                + " served no call within "
                + PUBLISH_LIMIT
                + ": look at its log lines.");
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
        .repeatWhenEmpty(times -> times.delayElements(FIRST_CALL_PAUSE))
        .timeout(PUBLISH_LIMIT, Mono.empty())
        .blockOptional()
        .isPresent();
  }

  private NodeSecrets secrets() {
    byte[] link = new byte[KEY_BYTES];
    byte[] home = new byte[KEY_BYTES];
    random.nextBytes(link);
    random.nextBytes(home);
    return new NodeSecrets(link, home);
  }

  private static NodeSettings settings(int number, int port, Endpoint platform) {
    return new NodeSettings(
        new VmId("vm-" + (number + 1)),
        VM_PLACES.get(number),
        new Endpoint(LOOPBACK, port),
        ANY_PORT,
        ANY_PORT,
        ANY_PORT,
        new NodeSettings.PlatformSettings(platform, platform),
        "RADISHPOST_LINK_KEY",
        Optional.empty(),
        TOKENS,
        new NodeSettings.LimitSettings(16_384, 65_536, 256, 4_096, Duration.ofSeconds(30)),
        new NodeSettings.ShutdownSettings(Duration.ZERO, Duration.ofSeconds(10)),
        NodeSettings.Balancing.OWNER,
        NodeSettings.LogFormat.TEXT);
  }
}
