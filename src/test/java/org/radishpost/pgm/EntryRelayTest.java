package org.radishpost.pgm;

import static org.testng.Assert.assertEquals;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
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
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import reactor.netty.resources.LoopResources;

/** Two complete entries over sockets, one of which follows the other as its relay. */
public class EntryRelayTest {
  private static final Endpoint ANY_PORT = new Endpoint("127.0.0.1", 0);
  private static final String CONFIGURATION =
      """
      {"version":"r%d","routes":{"%s":{"host":"localhost","path-prefix":"/%s/",
      "kind":"idempotent","timeout-s":5,"service":"s","max-attempts":2}},
      "services":{"s":{"health-path":"/healthz"}},"limits":{"max-body-bytes":1000000}}\
      """;

  private final HttpClient client = HttpClient.newHttpClient();
  private LoopResources loops;
  private KeyedStore store;
  private KeyedStoreServer storeServer;
  private Endpoint storeAddress;
  private PlatformTargetServer target;
  private EntryNode relay;
  private EntryNode follower;

  /** Starts a relay and an entry that follows it. */
  @BeforeMethod
  public void start() throws Exception {
    loops = LoopResources.create("relay-test", 2, true);
    store = new KeyedStore();
    storeServer = new KeyedStoreServer(store, ANY_PORT, loops);
    storeAddress = storeServer.start();
    target = new PlatformTargetServer("i-1", ANY_PORT, loops);
    store.put(
        WireNames.TARGET_TOPIC,
        "i-1",
        "{\"service\":\"s\",\"address\":\""
            + target.start()
            + "\",\"zone\":\"k-a\",\"concurrency\":2,\"state\":\"ready\"}");
    publish(1, "one");
    relay = startEntry("relay", List.of(), storeAddress);
    follower = startEntry("follower", List.of(relay.relayAddress().orElseThrow()), storeAddress);
    while (!follower.isFollowingRelay()) {
      Thread.onSpinWait();
    }
  }

  /** Stops the entries and the stand-ins. */
  @AfterMethod
  public void stop() {
    follower.stop().block();
    relay.stop().block();
    storeServer.stop().block();
    target.stop().block();
    loops.disposeLater(Duration.ZERO, Duration.ofSeconds(1)).block();
  }

  private static EntryNode startEntry(String name, List<Endpoint> relays, Endpoint store)
      throws Exception {
    EntrySettings settings =
        new EntrySettings(
            new VmId(name),
            Place.of("k", "k-a"),
            ANY_PORT,
            ANY_PORT,
            Optional.of(ANY_PORT),
            relays,
            Optional.empty(),
            Map.of(new ZoneName("k-a"), new RegionName("k")),
            new EntryBounds(0.2, 60, Duration.ofSeconds(4), Duration.ofSeconds(1)));
    EntryNode node = new EntryNode(settings, ANY_PORT, store, new RuntimeClock());
    node.start();
    return node;
  }

  private void publish(int version, String route) {
    store.put(
        WireNames.OPERATOR_TOPIC,
        WireNames.CONFIGURATION_KEY,
        CONFIGURATION.formatted(version, route, route));
  }

  private int status(String path) throws Exception {
    HttpRequest request =
        HttpRequest.newBuilder(
                URI.create("http://localhost:" + follower.frontAddress().port() + path))
            .version(HttpClient.Version.HTTP_1_1)
            .header(WireNames.REQUEST_ID, "r-1")
            .header(WireNames.DEADLINE_MILLIS, "20000")
            .build();
    return client.send(request, BodyHandlers.ofString()).statusCode();
  }

  private void awaitServed(String path) throws Exception {
    while (status(path) != 200) {
      Thread.onSpinWait();
    }
  }

  @Test
  public void changesReachTheFollowerThroughTheRelay() throws Exception {
    awaitServed("/one/x");
    publish(2, "two");
    awaitServed("/two/x");
    assertEquals(status("/one/x"), 404);
    assertEquals(follower.isFollowingRelay(), true);
  }

  @Test
  public void followerReadsTheStoreWhenTheRelayStops() throws Exception {
    awaitServed("/one/x");
    relay.stop().block();
    publish(2, "two");
    awaitServed("/two/x");
    assertEquals(follower.isFollowingRelay(), false);
  }

  /** The store refuses the new entry from the beginning; the relay has all data that it needs. */
  @Test
  public void entryStartsFromTheRelayWhenTheStoreRefuses() throws Exception {
    follower.stop().block();
    KeyedStoreServer refusing = new KeyedStoreServer(store, ANY_PORT, loops);
    refusing.setFault(new StoreFault.ErrorResponse(503));
    Endpoint refusingAddress = refusing.start();
    follower = startEntry("third", List.of(relay.relayAddress().orElseThrow()), refusingAddress);
    awaitServed("/one/x");
    publish(2, "two");
    awaitServed("/two/x");
    refusing.stop().block();
  }

  /** The store refuses the relay; the follower must leave the relay instead of waiting for it. */
  @Test
  public void followerIsNotAffectedByTheRelaysOutage() throws Exception {
    awaitServed("/one/x");
    storeServer.setFault(new StoreFault.ErrorResponse(503));
    while (follower.isFollowingRelay()) {
      Thread.onSpinWait();
    }
    storeServer.setFault(new StoreFault.None());
    publish(2, "two");
    awaitServed("/two/x");
  }
}
