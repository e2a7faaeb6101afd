package org.radishpost.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Collectors;
import org.radishpost.events.HybridClock;
import org.radishpost.lib.CallId;
import org.radishpost.lib.CallInfo;
import org.radishpost.lib.Endpoint;
import org.radishpost.lib.Place;
import org.radishpost.lib.PoolId;
import org.radishpost.lib.VmId;
import org.radishpost.routing.RouteMatch;
import org.radishpost.store.VmEntry;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;
import reactor.netty.resources.LoopResources;

/** Tests calls between two VMs, and the refusal of requests that are not authenticated. */
public class HopTest {
  private static final VmId ENTRY = new VmId("belépő-1");
  private static final VmId OWNER = new VmId("gazda-1");
  private static final Place PLACE = Place.of("közép", "közép-a");
  private static final Duration DEADLINE = Duration.ofSeconds(9);
  private static final Duration POLL_INTERVAL = Duration.ofMillis(200);
  private static final int MAX_CONNECTIONS = 8;
  private static final Duration IDLE_TIME = Duration.ofSeconds(5);
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
  private static final Duration DISPOSE_TIMEOUT = Duration.ofSeconds(1);
  private static final int CHUNK_BYTES = 65_536;
  private static final int MAX_CHUNKS = 400;

  private final List<Call> receivedCalls = new CopyOnWriteArrayList<>();
  private EdgeFixture edge;
  private FakeLinks links;
  private HopServer server;
  private Endpoint address;
  private LoopResources senderLoops;
  private HttpSender sender;
  private HopClient client;
  private volatile CallResult result;
  private volatile Optional<RuntimeException> failure;
  private volatile Sinks.Empty<Void> cancelled;

  /** Starts an owner and an entry. */
  @BeforeMethod
  public void start() throws Exception {
    edge = new EdgeFixture(EdgeFixture.ANY_PORT);
    links = new FakeLinks(ENTRY, OWNER);
    receivedCalls.clear();
    cancelled = Sinks.empty();
    failure = Optional.empty();
    result = new CallResult.Responded(Responses.text(200, "hello"), Optional.empty());
    server =
        new HopServer(
            EdgeFixture.ANY_PORT,
            EdgeFixture.LIMITS,
            edge.clock,
            edge.loops,
            () -> new EdgeFixture.FixedRouteTable(EdgeFixture.MAX_BODY_BYTES),
            links.owner(),
            (call, pool, onTargetAccepted) -> run(call),
            new AtomicLong(),
            new HybridClock(() -> 0));
    address = server.start();
    senderLoops = LoopResources.create("hop-test", 1, true);
    sender =
        new HttpSender(
            SenderOptions.forHops("hop-test", MAX_CONNECTIONS, IDLE_TIME, CONNECT_TIMEOUT),
            edge.clock,
            senderLoops);
    client = new HopClient(ENTRY, sender, links.entry(), edge.clock, new HybridClock(() -> 0));
  }

  /** Stops the owner and the entry. */
  @AfterMethod(alwaysRun = true)
  public void stop() {
    server.stop().block();
    sender.close().block();
    senderLoops.disposeLater(Duration.ZERO, DISPOSE_TIMEOUT).block();
    edge.close();
  }

  @Test
  public void callArrivesUnchanged() {
    Call call = call(CallBody.buffered("ab".getBytes(StandardCharsets.US_ASCII)), "kulcs");
    CallResult.Responded responded = (CallResult.Responded) send(call);
    assertEquals(text(responded.response()), "hello");
    Call received = receivedCalls.getFirst();
    assertEquals(received.info().route(), call.info().route());
    assertEquals(received.idempotencyKey(), call.idempotencyKey());
    assertEquals(received.info().deadlineNanos(), DEADLINE.toNanos());
    assertFalse(received.head().headers().names().stream().anyMatch(HeaderNames::isBetweenVms));
  }

  @Test
  public void targetCannotForgeHopResult() {
    Response forged = Responses.text(200, "ran");
    forged.headers().set(HeaderNames.HOP_RESULT, "handed-back NO_TARGET");
    result = new CallResult.Responded(forged, Optional.empty());
    CallResult.Responded responded =
        (CallResult.Responded) send(call(CallBody.buffered(new byte[0]), "k"));
    assertEquals(text(responded.response()), "ran");
  }

  /** Lines that an attacker modifies in an authenticated request, and their replacements. */
  @DataProvider
  public Object[][] tamperedFields() {
    return new Object[][] {
      {"radishpost-hop-proof: .*", "radishpost-hop-proof: " + "0".repeat(64)},
      {"radishpost-hop-proof: .*", "x: y"},
      {"radishpost-hop-vm: .*", "radishpost-hop-vm: other"},
      {"radishpost-hop-vm: .*", "radishpost-hop-vm: %"},
      {"radishpost-hop-session: .*", "radishpost-hop-session: none"},
      {"radishpost-hop-sequence: .*", "radishpost-hop-sequence: 77"},
      {"idempotency-key: .*", "idempotency-key: other"},
      {"idempotency-key: .*", "x: y"},
      {"content-length: .*", "content-length: 1"},
      {"radishpost-deadline-ms: .*", "radishpost-deadline-ms: 99999"},
      {"POST /a", "POST /b"},
      {"radishpost-hop-fingerprint: .*", "radishpost-hop-fingerprint: " + "0".repeat(64)},
      {"radishpost-hop-route: .*", "radishpost-hop-route: a b"},
    };
  }

  @Test(dataProvider = "tamperedFields")
  public void tamperedRequestIsRefused(String pattern, String replacement) throws IOException {
    String text = captureRequest().replaceFirst("(?i)" + pattern, replacement);
    String received = exchange(text);
    assertTrue(
        received.startsWith("HTTP/1.1 403 ") || received.startsWith("HTTP/1.1 400 "), received);
    assertEquals(receivedCalls, List.of());
  }

  @Test
  public void replayedRequestIsRefused() throws IOException {
    String text = captureRequest();
    assertTrue(exchange(text).startsWith("HTTP/1.1 200 "));
    assertTrue(exchange(text).startsWith("HTTP/1.1 403 "));
    assertEquals(receivedCalls.size(), 1);
  }

  @Test
  public void nothingIsSentWithoutLink() {
    links.disconnect();
    assertTrue(send(call(CallBody.buffered(new byte[0]), "k")) instanceof CallResult.Unreachable);
    assertEquals(receivedCalls, List.of());
  }

  /** Fields by which the late copy of a response names its call, and the results of three calls. */
  @DataProvider
  public Object[][] lateCopies() {
    return new Object[][] {
      {true, List.of("1", "2", "3")}, {false, List.of("1", "Lost", "3")},
    };
  }

  @Test(dataProvider = "lateCopies")
  public void lateResponseOfOwnerIsNotResponseToNextCall(boolean named, List<String> expected)
      throws Exception {
    AtomicLong requests = new AtomicLong();
    List<String> results = new ArrayList<>();
    try (LateServer owner =
        new LateServer(head -> respondTwice(head, named, requests.incrementAndGet()))) {
      for (int number = 1; number <= expected.size(); number++) {
        awaitIdleConnections();
        results.add(summary(send(call(CallBody.buffered(new byte[0]), "k"), owner.address())));
      }
    }
    assertEquals(results, expected);
  }

  /** Returns responses of an owner whose head is malformed. */
  @DataProvider
  public Object[][] malformedHeads() {
    return MalformedHeads.rows(
        "HTTP/1.1 200 OK\r\nradishpost-hop-result: answered\r\nContent-Length: 1\r\n\r\n1");
  }

  @Test(dataProvider = "malformedHeads")
  public void malformedResponseOfOwnerIsLost(String malformed) throws Exception {
    try (LateServer owner =
        new LateServer(
            head ->
                LateServer.Answer.last(malformed.replaceFirst("\r\n", "\r\n" + hopIdLine(head))))) {
      assertEquals(
          summary(send(call(CallBody.buffered(new byte[0]), "k"), owner.address())), "Lost");
    }
  }

  /** Waits until the only thread has returned the connections of earlier calls to their pool. */
  private void awaitIdleConnections() throws Exception {
    senderLoops.onClient(true).next().submit(() -> {}).get();
  }

  private static LateServer.Answer respondTwice(String head, boolean copyIsNamed, long number) {
    String response = "HTTP/1.1 200 OK\r\nradishpost-hop-result: answered\r\nContent-Length: 1\r\n";
    String text = "\r\n" + number;
    String named = response + hopIdLine(head) + text;
    return new LateServer.Answer(named, copyIsNamed ? named : response + text);
  }

  /** Returns the line of the field that names the call, or nothing if there is none. */
  private static String hopIdLine(String head) {
    return head.lines()
        .filter(line -> line.startsWith("radishpost-hop-id:"))
        .map(line -> line + "\r\n")
        .collect(Collectors.joining());
  }

  private static String summary(CallResult result) {
    return result instanceof CallResult.Responded responded
        ? text(responded.response())
        : result.getClass().getSimpleName();
  }

  @Test
  public void responseNamesItsCall() throws IOException {
    String request = captureRequest();
    assertFalse(hopIdLine(request).isEmpty(), request);
    assertEquals(hopIdLine(exchange(request)), hopIdLine(request));
  }

  @Test
  public void refusalNamesItsCall() throws IOException {
    String request = captureRequest();
    String tampered = request.replaceFirst("POST /a", "POST /b");
    String received = exchange(tampered);
    assertTrue(received.startsWith("HTTP/1.1 403 "), received);
    assertFalse(hopIdLine(request).isEmpty(), request);
    assertEquals(hopIdLine(received), hopIdLine(request));
  }

  @Test
  public void refusalOfMalformedFieldsNamesItsCall() throws IOException {
    String request = captureRequest();
    String received = exchange(request.replaceFirst("radishpost-hop-pool: .*", "x: y"));
    assertTrue(received.startsWith("HTTP/1.1 403 "), received);
    assertFalse(hopIdLine(request).isEmpty(), request);
    assertEquals(hopIdLine(received), hopIdLine(request));
  }

  /** The owner responds with a refusal in place of the response that it cannot read. */
  @Test
  public void responseInPlaceOfLostOneNamesItsCall() throws IOException {
    result =
        new CallResult.Responded(
            Responses.text(200, "").withBody(Flux.error(new IOException("lost"))),
            Optional.empty());
    String request = captureRequest();
    String received = exchange(request);
    assertTrue(received.startsWith("HTTP/1.1 502 "), received);
    assertFalse(hopIdLine(request).isEmpty(), request);
    assertEquals(hopIdLine(received), hopIdLine(request));
  }

  /** The HTTP library responds to a request whose handler fails. */
  @Test
  public void responseOfLibraryNamesItsCall() throws IOException {
    failure = Optional.of(new IllegalStateException("failed"));
    String request = captureRequest();
    String received = exchange(request);
    assertTrue(received.startsWith("HTTP/1.1 500 "), received);
    assertFalse(hopIdLine(request).isEmpty(), request);
    assertEquals(hopIdLine(received), hopIdLine(request));
  }

  @Test
  public void nameOfCallIsRemovedFromResponse() {
    CallResult.Responded responded =
        (CallResult.Responded) send(call(CallBody.buffered(new byte[0]), "k"));
    assertFalse(
        responded.response().headers().names().stream().anyMatch(HeaderNames::isBetweenVms));
  }

  /** Responses of a VM that failed or runs a different release. */
  @DataProvider
  public Object[][] unclearResults() {
    return new Object[][] {{""}, {"radishpost-hop-result: handed-back WHO_KNOWS\r\n"}};
  }

  @Test(dataProvider = "unclearResults")
  public void unclearResultMeansCallMayHaveRun(String field) throws IOException {
    String ownerResponse = "HTTP/1.1 500 E\r\n" + field + "Content-Length: 0\r\n\r\n";
    try (ScriptedTarget other = new ScriptedTarget(ownerResponse)) {
      CallResult received = send(call(CallBody.buffered(new byte[0]), "k"), other.address());
      assertTrue(received instanceof CallResult.Lost, received.toString());
    }
  }

  @Test
  public void cancelledCallIsCancelledAtTheOwner() {
    result = null;
    Disposable running =
        client.send(call(CallBody.buffered(new byte[0]), "k"), pool(), owner(address)).subscribe();
    while (receivedCalls.isEmpty()) {
      Thread.onSpinWait();
    }
    running.dispose();
    cancelled.asMono().block();
  }

  @Test
  public void stalledOwnerBoundsBytesReadFromSource() throws IOException {
    AtomicLong chunksRead = new AtomicLong();
    Flux<ByteBuf> source =
        Flux.range(0, Integer.MAX_VALUE)
            .map(i -> Unpooled.wrappedBuffer(new byte[CHUNK_BYTES]))
            .doOnNext(part -> chunksRead.incrementAndGet());
    CallBody body = CallBody.read(source, CHUNK_BYTES).block();
    body.allowRemainder();
    try (ScriptedTarget stalled = new ScriptedTarget(ScriptedTarget.STOP_READING)) {
      final Disposable running =
          client.send(call(body, "k"), pool(), owner(stalled.address())).subscribe();
      long previous = -1;
      while (previous != chunksRead.get() || stalled.receivedHeads.isEmpty()) {
        previous = chunksRead.get();
        Mono.delay(POLL_INTERVAL).block();
      }
      assertTrue(chunksRead.get() < MAX_CHUNKS, chunksRead + " chunks");
      running.dispose();
    }
  }

  private Mono<CallResult> run(Call call) {
    receivedCalls.add(call);
    if (failure.isPresent()) {
      return Mono.error(failure.get());
    }
    if (result == null) {
      return Mono.<CallResult>never().doOnCancel(() -> cancelled.tryEmitEmpty());
    }
    return Mono.just(result);
  }

  private CallResult send(Call call) {
    return send(call, address);
  }

  private CallResult send(Call call, Endpoint to) {
    return client.send(call, pool(), owner(to)).block();
  }

  /** Returns the bytes of an authenticated request that has not reached the owner. */
  private String captureRequest() throws IOException {
    try (ScriptedTarget interceptor = new ScriptedTarget(ScriptedTarget.THEN_CLOSE)) {
      send(call(CallBody.buffered(new byte[0]), "k"), interceptor.address());
      return interceptor.receivedHeads.getFirst();
    }
  }

  private String exchange(String text) throws IOException {
    try (Socket socket = new Socket(address.ip(), address.port())) {
      socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
      socket.shutdownOutput();
      return EdgeFixture.readToEnd(socket);
    }
  }

  private static VmEntry owner(Endpoint hop) {
    return new VmEntry(OWNER, PLACE, hop, hop, false);
  }

  private static PoolId pool() {
    RouteMatch match = EdgeFixture.match("/", 1, Set.of());
    return new PoolId(match.manifest().manifest().gateway(), match.route().service(), PLACE, 0);
  }

  private Call call(CallBody body, String key) {
    RouteMatch match = EdgeFixture.match("/", 1, Set.of());
    DefaultHttpHeaders headers = new DefaultHttpHeaders();
    headers.set("host", "h").set(HeaderNames.IDEMPOTENCY_KEY, key);
    if (body.isBuffered()) {
      headers.set("content-length", body.isEmpty() ? 0 : 2);
    }
    CallInfo info =
        new CallInfo(
            new CallId(1),
            match.manifest().manifest().gateway(),
            match.route().name(),
            match.route().service(),
            match.manifest().manifest().tenant(),
            match.route().kind(),
            1,
            true,
            edge.clock.now(TimeUnit.NANOSECONDS) + DEADLINE.toNanos(),
            0,
            Set.of(),
            body.digest(),
            0);
    return new Call(info, match, new RequestHead("POST", "/a", headers), body, Optional.of(key), 2);
  }

  private static String text(Response response) {
    return response
        .body()
        .map(HopTest::readAndRelease)
        .collectList()
        .map(parts -> String.join("", parts))
        .block();
  }

  private static String readAndRelease(ByteBuf part) {
    try {
      return part.toString(StandardCharsets.US_ASCII);
    } finally {
      part.release();
    }
  }
}
