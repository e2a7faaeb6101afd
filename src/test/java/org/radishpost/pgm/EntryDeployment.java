package org.radishpost.pgm;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import org.radishpost.errors.RadishpostException;
import org.radishpost.lib.Endpoint;
import org.radishpost.lib.Place;
import org.radishpost.lib.RegionName;
import org.radishpost.lib.VmId;
import org.radishpost.lib.ZoneName;
import org.radishpost.node.EntryNode;
import org.radishpost.node.RuntimeClock;
import org.radishpost.platform.WireNames;
import org.radishpost.settings.EntryBounds;
import org.radishpost.settings.EntrySettings;
import org.radishpost.standin.KeyedStore;
import org.radishpost.standin.KeyedStoreServer;
import org.radishpost.standin.PlatformTargetServer;
import org.radishpost.standin.StoreFault;
import reactor.netty.resources.LoopResources;

/**
 * Entries in three regions with two availability zones each, the first of which are relays, with
 * stand-ins for the store and the targets. Everything runs in this process.
 */
final class EntryDeployment implements AutoCloseable {
  private static final Endpoint ANY_PORT = new Endpoint("127.0.0.1", 0);
  private static final List<String> ZONES = List.of("k-a", "l-a", "m-a", "k-b", "l-b", "m-b");
  private static final int OK = 200;
  private static final String CONFIGURATION =
      """
      {"version":"r%1$d","routes":{"v%1$d":{"host":"localhost","path-prefix":"/v%1$d/",
      "kind":"idempotent","timeout-s":5,"service":"s","max-attempts":2}},
      "services":{"s":{"health-path":"/healthz"}},"limits":{"max-body-bytes":1000000}}\
      """;
  private static final String TARGET_ENTRY =
      """
      {"service":"s","address":"%s","zone":"%s","concurrency":2,"state":"ready",\
      "sequence":%d,"born":1700000000000}\
      """;

  private final HttpClient client = HttpClient.newHttpClient();
  private final LoopResources loops = LoopResources.create("entry-deployment", 2, true);
  private final KeyedStore store = new KeyedStore();
  private final KeyedStoreServer storeServer = new KeyedStoreServer(store, ANY_PORT, loops);
  private final List<KeyedStoreServer> otherStoreServers = new ArrayList<>();
  private final Map<String, PlatformTargetServer> targets = new HashMap<>();
  private final Map<String, Endpoint> targetAddresses = new HashMap<>();
  private final List<EntryNode> entries = new ArrayList<>();
  private final AtomicLong requestNumber = new AtomicLong();
  private final AtomicLong sequence = new AtomicLong();
  private final Endpoint storeAddress;
  private List<Endpoint> relays = List.of();

  /** Starts a deployment with version 1 of the configuration. */
  EntryDeployment(int entryCount, int relayCount, int targetCount) throws RadishpostException {
    storeAddress = storeServer.start();
    for (int i = 0; i < targetCount; i++) {
      PlatformTargetServer target = new PlatformTargetServer("i-" + i, ANY_PORT, loops);
      targets.put("i-" + i, target);
      targetAddresses.put("i-" + i, target.start());
    }
    renewTargets();
    publish(1);
    for (int i = 0; i < relayCount; i++) {
      entries.add(startEntry(i, storeAddress));
    }
    relays = entries.stream().map(entry -> entry.relayAddress().orElseThrow()).toList();
    for (int i = 0; i < relayCount; i++) {
      entries.get(i).reload(settings(i));
    }
    for (int i = relayCount; i < entryCount; i++) {
      entries.add(startEntry(i, storeAddress));
    }
  }

  private EntryNode startEntry(int number, Endpoint store) throws RadishpostException {
    EntryNode entry = new EntryNode(settings(number), ANY_PORT, store, new RuntimeClock());
    entry.start();
    return entry;
  }

  private EntrySettings settings(int number) {
    Map<ZoneName, RegionName> regions = new HashMap<>();
    ZONES.forEach(zone -> regions.put(new ZoneName(zone), new RegionName(region(zone))));
    String zone = zone(number);
    return new EntrySettings(
        new VmId("e-" + number),
        Place.of(region(zone), zone),
        ANY_PORT,
        ANY_PORT,
        Optional.of(ANY_PORT),
        relays,
        Optional.empty(),
        regions,
        new EntryBounds(0.2, 60, Duration.ofSeconds(4), Duration.ofSeconds(1)));
  }

  private static String zone(int number) {
    return ZONES.get(number % ZONES.size());
  }

  private static String region(String zone) {
    return zone.substring(0, 1);
  }

  KeyedStore store() {
    return store;
  }

  KeyedStoreServer storeServer() {
    return storeServer;
  }

  List<EntryNode> entries() {
    return entries;
  }

  /** Replaces an entry by a new one, which starts without any data, and stops the old one. */
  void replaceEntry(int number) throws RadishpostException {
    replaceEntry(number, storeAddress);
  }

  /** Replaces an entry by one that reads the store at another address. */
  void replaceEntry(int number, Endpoint store) throws RadishpostException {
    entries.set(number, startEntry(number, store)).stop().subscribe();
  }

  /** Serves the same store at another address, with a fault of its own. */
  Endpoint serveStoreWithFault(StoreFault fault) throws RadishpostException {
    KeyedStoreServer server = new KeyedStoreServer(store, ANY_PORT, loops);
    server.setFault(fault);
    otherStoreServers.add(server);
    return server.start();
  }

  /** Writes a version of the configuration, which has the route {@code /vN/} and no other. */
  void publish(int version) {
    store.put(
        WireNames.OPERATOR_TOPIC, WireNames.CONFIGURATION_KEY, CONFIGURATION.formatted(version));
  }

  /** Writes the entry of each target once more. */
  void renewTargets() {
    targetAddresses.forEach(
        (id, address) ->
            store.put(
                WireNames.TARGET_TOPIC,
                id,
                TARGET_ENTRY.formatted(
                    address, zone(Integer.parseInt(id.substring(2))), sequence.incrementAndGet())));
  }

  /** Returns whether an entry serves the route of a version of the configuration. */
  boolean serves(int entry, int version) throws IOException, InterruptedException {
    return status(entry, version) == OK;
  }

  /** Returns the status with which an entry responds on the route of a version. */
  int status(int entry, int version) throws IOException, InterruptedException {
    URI uri =
        URI.create(
            "http://localhost:" + entries.get(entry).frontAddress().port() + "/v" + version + "/x");
    HttpRequest request =
        HttpRequest.newBuilder(uri)
            .version(HttpClient.Version.HTTP_1_1)
            .header(WireNames.REQUEST_ID, "r-" + requestNumber.incrementAndGet())
            .header(WireNames.DEADLINE_MILLIS, "5000")
            .build();
    return client.send(request, BodyHandlers.discarding()).statusCode();
  }

  @Override
  public void close() {
    storeServer.setFault(new StoreFault.None());
    entries.forEach(entry -> entry.stop().subscribe());
    otherStoreServers.forEach(server -> server.stop().block());
    storeServer.stop().block();
    targets.values().forEach(target -> target.stop().block());
    loops.disposeLater(Duration.ZERO, Duration.ofSeconds(1)).block();
  }
}
