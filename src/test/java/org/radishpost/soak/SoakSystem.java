package org.radishpost.soak;

import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.URI;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Collectors;
import org.radishpost.errors.StartException;
import org.radishpost.lib.Endpoint;
import org.radishpost.platform.PlatformProtocol;
import org.radishpost.platform.WireNames;
import org.radishpost.standin.KeyedStore;
import org.radishpost.standin.KeyedStoreServer;
import reactor.netty.resources.LoopResources;

/** The system under test: entry processes, the store, targets and the faulty links between them. */
final class SoakSystem implements AutoCloseable {
  static final String HOST = "soak.example";
  static final int MAX_ATTEMPTS = 2;

  private static final int RELAY_COUNT = 2;
  private static final int FRONT_PORT = 21_000;
  private static final int ADDRESS_BLOCKS = 200;
  private static final int READY_TIMEOUT_MILLIS = 500;
  private static final List<String> ZONES = List.of("k-a", "k-b");

  private final Random random;
  private final RequestTracker tracker;
  private final KeyedStore store = new KeyedStore();
  private final LoopResources loops = LoopResources.create("soak-store", 1, true);
  private final KeyedStoreServer storeServer =
      new KeyedStoreServer(store, new Endpoint("127.0.0.1", 0), loops);
  private final List<EntryProcess> entries = new ArrayList<>();
  private final Map<String, FaultyLink> callerLinks = new LinkedHashMap<>();
  private final Map<String, FaultyLink> storeLinks = new LinkedHashMap<>();
  private final Map<String, List<FaultyLink>> relayLinks = new LinkedHashMap<>();
  private final Map<SoakTarget, FaultyLink> targetLinks = new ConcurrentHashMap<>();
  private final List<SoakTarget> drainingTargets = new CopyOnWriteArrayList<>();
  private final List<String> crashedTargetIds = new CopyOnWriteArrayList<>();
  private final AtomicInteger configurationVersion = new AtomicInteger();
  private final AtomicLong lastSequence = new AtomicLong();
  private int nextTargetNumber;

  SoakSystem(Path directory, int entryCount, Random random, RequestTracker tracker)
      throws IOException, StartException {
    this.random = random;
    this.tracker = tracker;
    Endpoint storeAddress = storeServer.start();
    for (int i = 0; i < entryCount; i++) {
      String name = "e-" + i;
      EntryProcess entry = new EntryProcess(name, directory, frontAddress(i));
      entries.add(entry);
      callerLinks.put(name, new FaultyLink(entry.frontAddress()));
      storeLinks.put(name, new FaultyLink(storeAddress));
    }
    for (EntryProcess entry : entries) {
      relayLinks.put(entry.name(), createRelayLinks(entry));
    }
  }

  /**
   * Returns an address derived from the id of this process, so that several soaks can run in
   * parallel.
   */
  private static Endpoint frontAddress(int number) {
    long pid = ProcessHandle.current().pid();
    long block = pid % ADDRESS_BLOCKS;
    long net = pid / ADDRESS_BLOCKS % ADDRESS_BLOCKS;
    return new Endpoint("127." + (20 + block) + "." + net + "." + (10 + number), FRONT_PORT);
  }

  private List<FaultyLink> createRelayLinks(EntryProcess entry) throws IOException {
    List<FaultyLink> links = new ArrayList<>();
    for (EntryProcess relay : entries.subList(0, RELAY_COUNT)) {
      if (relay != entry) {
        links.add(new FaultyLink(relay.controlAddress()));
      }
    }
    return links;
  }

  /** Starts the targets of both services and all entries. */
  void start(int targetsPerService) throws IOException {
    publishConfiguration();
    for (int i = 0; i < targetsPerService; i++) {
      addTarget("reading");
      addTarget("writing");
    }
    for (EntryProcess entry : entries) {
      writeSettings(entry, Duration.ofSeconds(6));
      entry.start();
    }
  }

  void writeSettings(EntryProcess entry, Duration grace) throws IOException {
    List<String> relayAddresses =
        relayLinks.get(entry.name()).stream().map(link -> link.address().toString()).toList();
    List<String> seedAddresses = new ArrayList<>(relayAddresses);
    if (entries.indexOf(entry) < RELAY_COUNT) {
      seedAddresses.add(entry.controlAddress().toString());
    }
    String zone = ZONES.get(entries.indexOf(entry) % ZONES.size());
    entry.writeSettings(
        """
        {"node-name":"%s","zone":"%s","region":"k","zones":{"k-a":"k","k-b":"k"},
        "listen":{"front":"%s","readiness":"%s","control":"%s"},
        "seeds":[%s],"heartbeat-interval-s":1,
        "bounds":["grace-s=%d","retry-budget-ratio=0.2","budget-slack=60"],
        "provider":{"address":"%s"}}
        """
            .formatted(
                entry.name(),
                zone,
                entry.frontAddress(),
                entry.readinessAddress(),
                entry.controlAddress(),
                seedAddresses.stream()
                    .map(address -> '"' + address + '"')
                    .collect(Collectors.joining(",")),
                grace.toSeconds(),
                storeLinks.get(entry.name()).address()));
  }

  /** Publishes a new configuration version, which has a route that no other version has. */
  void publishConfiguration() {
    writeConfiguration(configurationVersion.incrementAndGet());
  }

  private void writeConfiguration(int version) {
    store.put(
        WireNames.OPERATOR_TOPIC,
        WireNames.CONFIGURATION_KEY,
        """
        {"version":"r%d","routes":{
        "reads":{"host":"%2$s","path-prefix":"/reads/","kind":"idempotent","timeout-s":4,
        "target-latency-s":0.25,"service":"reading","max-attempts":%3$d},
        "writes":{"host":"%2$s","path-prefix":"/writes/","kind":"non_idempotent","timeout-s":4,
        "target-latency-s":0.3,"service":"writing","max-attempts":%3$d},
        "uploads":{"host":"%2$s","path-prefix":"/uploads/","kind":"upload","timeout-s":4,
        "target-latency-s":0.5,"service":"writing","max-attempts":%3$d},
        "more":{"host":"%2$s","path-prefix":"/more-%1$d/","kind":"idempotent",
        "service":"reading","max-attempts":1}},
        "services":{"reading":{"health-path":"/healthz"},"writing":{"health-path":"/healthz"}},
        "limits":{"max-body-bytes":10000000}}
        """
            .formatted(version, HOST, MAX_ATTEMPTS));
  }

  /**
   * Restores the store from an earlier backup. The operator and the targets then write the records
   * again that they have written since.
   */
  void restoreStore(KeyedStore.Backup backup) {
    store.restore(backup);
    writeConfiguration(configurationVersion.get());
    activeTargets().forEach(target -> register(target, "ready"));
    drainingTargets.forEach(target -> register(target, "draining"));
    crashedTargetIds.forEach(id -> store.delete(WireNames.TARGET_TOPIC, id));
  }

  /** Returns the path prefix of the route that only the latest configuration has. */
  String latestRoutePrefix() {
    return "/more-" + configurationVersion.get() + "/";
  }

  /** Returns the ids of the draining targets. */
  List<String> drainingTargetIds() {
    return drainingTargets.stream().map(SoakTarget::id).toList();
  }

  void addTarget(String service) throws IOException {
    String id = "i-" + nextTargetNumber++;
    SoakTarget target = new SoakTarget(id, service, tracker, random.nextLong());
    FaultyLink link = new FaultyLink(target.address());
    targetLinks.put(target, link);
    register(target, "ready");
  }

  void register(SoakTarget target, String state) {
    store.put(
        WireNames.TARGET_TOPIC,
        target.id(),
        """
        {"service":"%s","address":"%s","zone":"%s","concurrency":%d,"state":"%s",\
        "sequence":%d,"born":1700000000000}\
        """
            .formatted(
                target.service(),
                targetLinks.get(target).address(),
                ZONES.get(Math.floorMod(target.id().hashCode(), ZONES.size())),
                SoakTarget.SLOTS,
                state,
                lastSequence.incrementAndGet()));
  }

  /** Closes a target and its connections, as a crash does, and then deletes its registration. */
  void crashTarget(SoakTarget target) throws IOException {
    FaultyLink link = targetLinks.remove(target);
    target.close();
    link.close();
    store.delete(WireNames.TARGET_TOPIC, target.id());
    crashedTargetIds.add(target.id());
  }

  /** Registers a target as draining. It continues to serve requests until the system is closed. */
  void drainTarget(SoakTarget target) {
    register(target, "draining");
    drainingTargets.add(target);
  }

  KeyedStore store() {
    return store;
  }

  KeyedStoreServer storeServer() {
    return storeServer;
  }

  List<EntryProcess> entries() {
    return entries;
  }

  /** Returns the targets that are not draining, sorted by id. */
  List<SoakTarget> activeTargets() {
    return targetLinks.keySet().stream()
        .filter(target -> !drainingTargets.contains(target))
        .sorted(Comparator.comparing(SoakTarget::id))
        .toList();
  }

  /** Returns the address at which callers reach each entry, by entry name. */
  Map<String, Endpoint> entryAddresses() {
    Map<String, Endpoint> addresses = new LinkedHashMap<>();
    callerLinks.forEach((name, link) -> addresses.put(name, link.address()));
    return addresses;
  }

  /**
   * Returns who ended an attempt.
   *
   * @param entryName the entry to which it was sent
   * @param callerPort the port of the caller's connection
   * @param startNanos when it was sent
   * @param timedOut whether its caller stopped waiting
   */
  LossCause lossCause(String entryName, int callerPort, long startNanos, boolean timedOut) {
    if (callerLinks.get(entryName).hasDisturbed(callerPort)) {
      return LossCause.LINK;
    }
    boolean signalled =
        entries.stream()
            .filter(entry -> entry.name().equals(entryName))
            .anyMatch(entry -> entry.wasSignalledSince(startNanos));
    if (signalled) {
      return LossCause.PROCESS;
    }
    return timedOut ? LossCause.LIMIT : LossCause.ENTRY;
  }

  /** Returns all links of an entry except the links to targets. */
  List<FaultyLink> linksOf(EntryProcess entry) {
    List<FaultyLink> links = new ArrayList<>(relayLinks.get(entry.name()));
    links.add(callerLinks.get(entry.name()));
    links.add(storeLinks.get(entry.name()));
    return links;
  }

  FaultyLink linkTo(SoakTarget target) {
    return targetLinks.get(target);
  }

  /** Returns whether the readiness check of an entry succeeds. */
  static boolean isReady(EntryProcess entry) {
    try {
      HttpURLConnection connection =
          (HttpURLConnection)
              URI.create("http://" + entry.readinessAddress() + PlatformProtocol.READY_PATH)
                  .toURL()
                  .openConnection();
      connection.setConnectTimeout(READY_TIMEOUT_MILLIS);
      connection.setReadTimeout(READY_TIMEOUT_MILLIS);
      return connection.getResponseCode() == HttpURLConnection.HTTP_OK;
    } catch (IOException e) {
      return false; // The process is not running or does not respond.
    }
  }

  @Override
  public void close() throws IOException, InterruptedException {
    for (EntryProcess entry : entries) {
      entry.kill();
    }
    for (SoakTarget target : targetLinks.keySet()) {
      target.close();
    }
    for (FaultyLink link : targetLinks.values()) {
      link.close();
    }
    for (EntryProcess entry : entries) {
      for (FaultyLink link : linksOf(entry)) {
        link.close();
      }
    }
    storeServer.stop().block();
    loops.disposeLater(Duration.ZERO, Duration.ofSeconds(1)).block();
  }
}
