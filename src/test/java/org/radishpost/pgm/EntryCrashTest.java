package org.radishpost.pgm;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.radishpost.lib.Endpoint;
import org.radishpost.lib.Place;
import org.radishpost.lib.RegionName;
import org.radishpost.lib.VmId;
import org.radishpost.lib.ZoneName;
import org.radishpost.node.EntryNode;
import org.radishpost.node.RuntimeClock;
import org.radishpost.platform.PlatformProtocol;
import org.radishpost.platform.WireNames;
import org.radishpost.settings.EntryBounds;
import org.radishpost.settings.EntrySettings;
import org.radishpost.standin.KeyedStore;
import org.radishpost.standin.KeyedStoreServer;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import reactor.core.publisher.Mono;
import reactor.netty.resources.LoopResources;

/** A relay and two other entries over sockets, and a request that crashes each of its targets. */
public class EntryCrashTest {
  private static final Endpoint ANY_PORT = new Endpoint("127.0.0.1", 0);
  private static final String CONFIGURATION =
      """
      {"version":"r1","routes":{"writes":{"host":"localhost","path-prefix":"/writes/",
      "kind":"non_idempotent","timeout-s":5,"service":"s","max-attempts":2}},
      "services":{"s":{"health-path":"/healthz"}},"limits":{"max-body-bytes":1000000}}\
      """;
  private static final int TARGETS = 20;
  private static final int REPEATS = 15;

  /** The crash that makes three, and the repeats that the users' rules allow after it. */
  private static final int MAX_CRASHES = 3 + 3;

  /** Bounds the wait until an entry knows a crash, in requests for the metrics. */
  private static final int MAX_POLLS = 1_000;

  private final HttpClient client = HttpClient.newHttpClient();
  private final List<CrashableTarget> targets = new ArrayList<>();
  private final List<EntryNode> entries = new ArrayList<>();
  private final AtomicInteger crashes = new AtomicInteger();
  private LoopResources loops;
  private KeyedStoreServer storeServer;
  private Endpoint storeAddress;

  /** Starts three entries, the first of which is the relay of the others. */
  @BeforeMethod
  public void start() throws Exception {
    loops = LoopResources.create("crash-test", 2, true);
    crashes.set(0);
    KeyedStore store = new KeyedStore();
    storeServer = new KeyedStoreServer(store, ANY_PORT, loops);
    storeAddress = storeServer.start();
    store.put(WireNames.OPERATOR_TOPIC, WireNames.CONFIGURATION_KEY, CONFIGURATION);
    for (int i = 0; i < TARGETS; i++) {
      CrashableTarget target = new CrashableTarget("i-" + i, crashes);
      targets.add(target);
      store.put(
          WireNames.TARGET_TOPIC,
          "i-" + i,
          "{\"service\":\"s\",\"address\":\""
              + target.address()
              + "\",\"zone\":\"k-a\",\"concurrency\":2,\"state\":\"ready\"}");
    }
    startEntry("relay", List.of());
    startEntry("first", relays());
    startEntry("second", relays());
  }

  /** Stops all parts. */
  @AfterMethod
  public void stop() throws Exception {
    Mono.when(entries.stream().map(EntryNode::stop).toList()).block();
    entries.clear();
    for (CrashableTarget target : targets) {
      target.close();
    }
    targets.clear();
    storeServer.stop().block();
    loops.disposeLater(Duration.ZERO, Duration.ofSeconds(1)).block();
  }

  private List<Endpoint> relays() {
    return List.of(entries.getFirst().relayAddress().orElseThrow());
  }

  private EntryNode startEntry(String name, List<Endpoint> relays) throws Exception {
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
    EntryNode node = new EntryNode(settings, ANY_PORT, storeAddress, new RuntimeClock());
    node.start();
    entries.add(node);
    while (get(node.readinessAddress(), PlatformProtocol.READY_PATH).statusCode() != 200) {
      Thread.onSpinWait();
    }
    return node;
  }

  private HttpResponse<String> get(Endpoint address, String path) throws Exception {
    URI uri = URI.create("http://localhost:" + address.port() + path);
    return client.send(HttpRequest.newBuilder(uri).build(), BodyHandlers.ofString());
  }

  private int write(EntryNode entry, String path) throws Exception {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://localhost:" + entry.frontAddress().port() + path))
            .version(HttpClient.Version.HTTP_1_1)
            .header(WireNames.REQUEST_ID, "r-1")
            .header(WireNames.DEADLINE_MILLIS, "20000")
            .POST(BodyPublishers.noBody())
            .build();
    return client.send(request, BodyHandlers.ofString()).statusCode();
  }

  /** Waits until all entries know all crashes. */
  private void awaitCrashesKnown() throws Exception {
    for (EntryNode entry : entries) {
      boolean known = false;
      for (int i = 0; i < MAX_POLLS && !known; i++) {
        String metrics = get(entry.metricsAddress(), "/metrics").body();
        known = metrics.contains("radishpost_crashes_known " + crashes.get() + "\n");
      }
    }
  }

  /** Each repeat of the request crashed another target, and other writes were lost with it. */
  @Test
  public void requestThatCrashesItsTargetsIsNotPassedOnWithoutEnd() throws Exception {
    for (int i = 0; i < REPEATS; i++) {
      int status = write(entries.get(i % entries.size()), CrashableTarget.CRASHING_PATH);
      assertTrue(status == 502 || status == 503, "status " + status);
      awaitCrashesKnown();
    }
    assertTrue(crashes.get() <= MAX_CRASHES, crashes.get() + " targets crashed");
    for (EntryNode entry : entries) {
      assertEquals(write(entry, CrashableTarget.CRASHING_PATH), 503);
      assertEquals(write(entry, "/writes/other"), 200);
    }
  }

  /** An entry that starts after the crashes learns of them from the relay. */
  @Test
  public void entryThatStartsLaterDoesNotPassTheRequestOn() throws Exception {
    for (int i = 0; i < 3; i++) {
      write(entries.get(1), CrashableTarget.CRASHING_PATH);
      awaitCrashesKnown();
    }
    EntryNode later = startEntry("later", relays());
    awaitCrashesKnown();
    assertEquals(write(later, CrashableTarget.CRASHING_PATH), 503);
    assertEquals(crashes.get(), 3);
  }
}
