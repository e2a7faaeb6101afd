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
import org.radishpost.http.LateServer;
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
import org.radishpost.standin.PlatformTargetServer;
import org.radishpost.standin.PlatformTargetServer.ConfiguredResponse;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import reactor.netty.resources.LoopResources;

/** A complete entry over sockets, with stand-ins for the store and the targets. */
public class EntryEndToEndTest {
  private static final Endpoint ANY_PORT = new Endpoint("127.0.0.1", 0);
  private static final String CONFIGURATION =
      """
      {"version":"r%d","routes":{
      "reads":{"host":"localhost","path-prefix":"/reads/","kind":"idempotent","timeout-s":5,
      "target-latency-s":0.25,"service":"s","max-attempts":2},
      "writes":{"host":"localhost","path-prefix":"/writes/","kind":"non_idempotent",
      "service":"s","max-attempts":2}%s},
      "services":{"s":{"health-path":"/healthz"},"broken":{"health-path":"/healthz"},
      "marker":{"health-path":"/healthz"}},
      "limits":{"max-body-bytes":1000000}}\
      """;
  private static final String LATER_ROUTE =
      """
      ,"later":{"host":"localhost","path-prefix":"/later/","kind":"idempotent","service":"s"}\
      """;

  /** Routes to the service whose first response to a call is malformed. */
  private static final String BROKEN_ROUTES =
      """
      ,"broken-reads":{"host":"localhost","path-prefix":"/broken/reads/","kind":"idempotent",
      "service":"broken","max-attempts":2},
      "broken-writes":{"host":"localhost","path-prefix":"/broken/writes/","kind":"non_idempotent",
      "service":"broken","max-attempts":2}\
      """;

  /** A route to a service without targets. */
  private static final String MARKER_ROUTE =
      """
      ,"marker":{"host":"localhost","path-prefix":"/marker/","kind":"idempotent",
      "service":"marker"}\
      """;

  private static final String TARGET_ENTRY =
      """
      {"service":"%s","address":"%s","zone":"k-a","concurrency":2,"state":"ready",\
      "sequence":%d,"born":1700000000000}\
      """;

  /** The sequence number of the entries of targets. */
  private static final int SEQUENCE = 7;

  private final HttpClient client = HttpClient.newHttpClient();
  private final AtomicInteger brokenServiceCalls = new AtomicInteger();
  private final List<LateServer> brokenTargets = new ArrayList<>();
  private LoopResources loops;
  private KeyedStore store;
  private KeyedStoreServer storeServer;
  private PlatformTargetServer first;
  private Endpoint firstAddress;
  private PlatformTargetServer second;
  private PlatformTargetServer marker;
  private Endpoint markerAddress;
  private EntryNode node;

  /** Starts an entry with two targets. */
  @BeforeMethod
  public void start() throws Exception {
    loops = LoopResources.create("entry-test", 2, true);
    store = new KeyedStore();
    storeServer = new KeyedStoreServer(store, ANY_PORT, loops);
    first = new PlatformTargetServer("i-1", ANY_PORT, loops);
    second = new PlatformTargetServer("i-2", ANY_PORT, loops);
    marker = new PlatformTargetServer("i-marker", ANY_PORT, loops);
    firstAddress = first.start();
    markerAddress = marker.start();
    register("i-1", firstAddress);
    register("i-2", second.start());
    startBrokenService();
    EntrySettings settings =
        new EntrySettings(
            new VmId("e-1"),
            Place.of("k", "k-a"),
            ANY_PORT,
            ANY_PORT,
            Optional.of(ANY_PORT),
            List.of(),
            Optional.empty(),
            Map.of(new ZoneName("k-a"), new RegionName("k")),
            new EntryBounds(0.2, 60, Duration.ofSeconds(4), Duration.ofSeconds(1)));
    node = new EntryNode(settings, ANY_PORT, storeServer.start(), new RuntimeClock());
    node.start();
  }

  private void startBrokenService() throws Exception {
    brokenServiceCalls.set(0);
    for (String id : List.of("i-8", "i-9")) {
      LateServer target = new LateServer(this::answerOnceBroken);
      brokenTargets.add(target);
      register(id, "broken", target.address());
    }
  }

  /** Stops the entry and the stand-ins. */
  @AfterMethod
  public void stop() throws Exception {
    node.stop().block();
    storeServer.stop().block();
    first.stop().block();
    second.stop().block();
    marker.stop().block();
    for (LateServer target : brokenTargets) {
      target.close();
    }
    brokenTargets.clear();
    loops.disposeLater(Duration.ZERO, Duration.ofSeconds(1)).block();
  }

  private void register(String id, Endpoint address) {
    register(id, "s", address);
  }

  private void register(String id, String service, Endpoint address) {
    register(id, service, address, SEQUENCE);
  }

  private void register(String id, String service, Endpoint address, int sequence) {
    store.put(WireNames.TARGET_TOPIC, id, TARGET_ENTRY.formatted(service, address, sequence));
  }

  private void publish(int version, String extraRoute) {
    store.put(
        WireNames.OPERATOR_TOPIC,
        WireNames.CONFIGURATION_KEY,
        CONFIGURATION.formatted(version, extraRoute));
  }

  private HttpResponse<String> get(Endpoint address, String path) throws Exception {
    return client.send(request(address, path).build(), BodyHandlers.ofString());
  }

  private HttpResponse<String> post(String path, String body) throws Exception {
    return client.send(
        request(node.frontAddress(), path).POST(BodyPublishers.ofString(body)).build(),
        BodyHandlers.ofString());
  }

  private static HttpRequest.Builder request(Endpoint address, String path) {
    return HttpRequest.newBuilder(URI.create("http://localhost:" + address.port() + path))
        .version(HttpClient.Version.HTTP_1_1)
        .header(WireNames.REQUEST_ID, "r-1")
        .header(WireNames.DEADLINE_MILLIS, "20000");
  }

  private void awaitReady() throws Exception {
    while (get(node.readinessAddress(), PlatformProtocol.READY_PATH).statusCode() != 200) {
      Thread.onSpinWait();
    }
  }

  @Test
  public void servesOnceTheConfigurationIsKnown() throws Exception {
    assertEquals(get(node.readinessAddress(), PlatformProtocol.READY_PATH).statusCode(), 503);
    publish(1, "");
    awaitReady();
    HttpResponse<String> read = get(node.frontAddress(), "/reads/x?y=1");
    assertEquals(read.statusCode(), 200);
    assertEquals(
        read.headers().firstValue(WireNames.UPSTREAM_SIGNATURE), Optional.of("proof-of-r-1"));
    assertEquals(read.headers().firstValue(WireNames.REQUEST_ID), Optional.of("r-1"));
    assertEquals(post("/writes/x", "body").body().substring(3), "body");
    assertEquals(get(node.frontAddress(), "/elsewhere/").statusCode(), 404);
  }

  /** The probe is recognized by its missing deadline, whose header field has a platform name. */
  @Test
  public void callIsNotCountedAsProbe() throws Exception {
    publish(1, "");
    awaitReady();
    assertEquals(get(node.frontAddress(), "/reads/x").statusCode(), 200);
    String metrics = get(node.metricsAddress(), "/metrics").body();
    assertTrue(metrics.contains("radishpost_target_sends_total{what=\"call\"} 1\n"), metrics);
  }

  @Test
  public void respondsNotReadyBeforeTheConfigurationIsKnown() throws Exception {
    HttpResponse<String> response = get(node.frontAddress(), "/reads/x");
    assertEquals(response.statusCode(), 503);
    assertEquals(response.headers().firstValue("retry-after").isPresent(), true);
  }

  @Test
  public void newerVersionIsAppliedAndOlderOnesAreIgnored() throws Exception {
    publish(1, "");
    awaitReady();
    assertEquals(get(node.frontAddress(), "/later/x").statusCode(), 404);
    publish(3, LATER_ROUTE);
    while (get(node.frontAddress(), "/later/x").statusCode() == 404) {
      Thread.onSpinWait();
    }
    publish(2, "");
    publish(4, LATER_ROUTE);
    while (!Integer.valueOf(200).equals(get(node.frontAddress(), "/later/x").statusCode())) {
      Thread.onSpinWait();
    }
    assertEquals(get(node.frontAddress(), "/later/x").statusCode(), 200);
  }

  @Test
  public void writeRefusedByOneTargetRunsOnTheOther() throws Exception {
    first.setResponse(new ConfiguredResponse(503, true, "0,0,2,100"));
    second.setResponse(new ConfiguredResponse(200, false, "1,0,2,100"));
    publish(1, "");
    awaitReady();
    assertEquals(post("/writes/x", "body").statusCode(), 200);
    assertEquals(first.executedRequestIds(), List.of());
    assertEquals(second.executedRequestIds(), List.of("r-1"));
  }

  /** Returns the statuses from which callers conclude that a request has not run. */
  @DataProvider
  public Object[] notRunStatuses() {
    return new Object[] {408, 421, 429, 503};
  }

  /** Its caller sent it again, and it ran twice. */
  @Test(dataProvider = "notRunStatuses")
  public void writeThatRanIsNotAnsweredAsNotRun(int status) throws Exception {
    first.setResponse(new ConfiguredResponse(status, false, "0,0,2,100"));
    second.setResponse(new ConfiguredResponse(status, false, "0,0,2,100"));
    publish(1, "");
    awaitReady();
    HttpResponse<String> response = post("/writes/x", "body");
    assertEquals(response.statusCode(), 502);
    assertEquals(response.headers().firstValue(WireNames.UPSTREAM_SIGNATURE), Optional.empty());
    int runs = first.executedRequestIds().size() + second.executedRequestIds().size();
    assertEquals(runs, 1);
  }

  /** A write of the target that the store carried out late brought the target back. */
  @Test
  public void lateEntryOfTargetThatLeftIsNotUsed() throws Exception {
    publish(1, MARKER_ROUTE);
    awaitReady();
    store.delete(WireNames.TARGET_TOPIC, "i-1");
    register("i-1", "s", firstAddress, SEQUENCE - 2);
    awaitEntriesRead();
    for (int i = 0; i < 20; i++) {
      assertEquals(post("/writes/x", "body").statusCode(), 200);
    }
    assertEquals(first.executedRequestIds(), List.of());
    register("i-1", "s", firstAddress, SEQUENCE + 1);
    while (first.executedRequestIds().isEmpty()) {
      post("/writes/x", "body");
    }
  }

  /** Waits until the entry has read all entries of targets, by adding one more. */
  private void awaitEntriesRead() throws Exception {
    register("i-marker", "marker", markerAddress);
    while (get(node.frontAddress(), "/marker/x").statusCode() != 200) {
      Thread.onSpinWait();
    }
  }

  /** Returns an answer to a request; to the first call, one whose status does not exist. */
  private LateServer.Answer answerOnceBroken(String head) {
    boolean broken = !head.startsWith("GET /healthz") && brokenServiceCalls.incrementAndGet() == 1;
    return new LateServer.Answer(
        (broken ? "HTTP/1.1 000 OK\r\n" : "HTTP/1.1 200 OK\r\n")
            + (WireNames.REQUEST_ID + ": r-1\r\n")
            + (WireNames.UPSTREAM_SIGNATURE + ": proof\r\n")
            + (WireNames.LOAD_REPORT + ": 0,0,2,100\r\n")
            + "Content-Length: 2\r\n\r\nok",
        "");
  }

  /** The status 000 was delivered. */
  @Test
  public void safeReadIsSentAgainAfterMalformedResponse() throws Exception {
    publish(1, BROKEN_ROUTES);
    awaitReady();
    assertEquals(get(node.frontAddress(), "/broken/reads/x").statusCode(), 200);
    assertEquals(brokenServiceCalls.get(), 2);
    String metrics = get(node.metricsAddress(), "/metrics").body();
    assertTrue(
        metrics.contains(
            "radishpost_responses_malformed_total{reason=\"STATUS_CODE\",sender=\"target\"} 1\n"),
        metrics);
  }

  /** The target may have run it, so it is not sent again, and the caller is told so. */
  @Test
  public void outcomeOfWriteWithMalformedResponseIsUnknown() throws Exception {
    publish(1, BROKEN_ROUTES);
    awaitReady();
    HttpResponse<String> response = post("/broken/writes/x", "body");
    assertEquals(response.statusCode(), 502);
    assertEquals(response.headers().firstValue(WireNames.NOT_EXECUTED), Optional.empty());
    assertEquals(brokenServiceCalls.get(), 1);
  }

  @Test
  public void metricsAndReadinessAreServed() throws Exception {
    publish(1, "");
    awaitReady();
    get(node.frontAddress(), "/reads/x");
    String metrics = get(node.metricsAddress(), "/metrics").body();
    assertEquals(metrics.contains("radishpost_calls_total{outcome=\"answered\"} 1"), true, metrics);
  }
}
