package org.radishpost.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.util.ResourceLeakDetector;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterClass;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import reactor.core.publisher.Mono;

/** Tests which requests the edge refuses, and that malformed input cannot disrupt it. */
public class EdgeRefusalTest {
  private static final int WAIT_SECONDS = 20;
  private static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello";
  private static final String HEAD_START = " HTTP/1.1\r\nHost: h\r\n";
  private static final String GET = "GET /a" + HEAD_START;
  private static final String POST = "POST /a" + HEAD_START;
  private static final int FUZZ_RUNS = Integer.getInteger("seeds", 200);

  private final List<String> leaks = new CopyOnWriteArrayList<>();
  private ResourceLeakDetector.Level previousLevel;
  private ScriptedTarget target;
  private EdgeFixture edge;

  /** Enables leak detection for buffers. */
  @BeforeClass
  public void enableLeakDetection() {
    previousLevel = ResourceLeakDetector.getLevel();
    ResourceLeakDetector.setLevel(ResourceLeakDetector.Level.PARANOID);
    ByteBufUtil.setLeakListener((type, records) -> leaks.add(type + records));
  }

  /** Checks that no test leaked a buffer. */
  @AfterClass(alwaysRun = true)
  public void assertNoLeaks() {
    System.gc();
    io.netty.buffer.ByteBufAllocator.DEFAULT.buffer().release();
    ByteBufUtil.setLeakListener(null);
    ResourceLeakDetector.setLevel(previousLevel);
    assertEquals(leaks, List.of());
  }

  /** Starts an edge and a target that responds to each request. */
  @BeforeMethod
  public void start() throws Exception {
    target =
        new ScriptedTarget(java.util.Collections.nCopies(4 * FUZZ_RUNS, OK).toArray(String[]::new));
    edge = new EdgeFixture(target.address());
  }

  /** Stops the edge and the target. */
  @AfterMethod(alwaysRun = true)
  public void stop() throws IOException {
    edge.close();
    target.close();
  }

  /** Refused requests, and the status of the refusal. */
  @DataProvider
  public Object[][] refusedRequests() {
    String long3k = "x".repeat(3_000);
    return new Object[][] {
      {"GET /a/../b" + HEAD_START + "\r\n", 400},
      {"GET /a/%2e%2E/b" + HEAD_START + "\r\n", 400},
      {"GET /a%2Fb" + HEAD_START + "\r\n", 400},
      {"GET /a%5cb" + HEAD_START + "\r\n", 400},
      {"GET /a%zz" + HEAD_START + "\r\n", 400},
      {"GET //a" + HEAD_START + "\r\n", 400},
      {"GET /a#b" + HEAD_START + "\r\n", 400},
      {"GET h:80" + HEAD_START + "\r\n", 400},
      {"OPTIONS *" + HEAD_START + "\r\n", 400},
      {"TRACE /a" + HEAD_START + "\r\n", 400},
      {GET + "Idempotency-Key: a\r\nIdempotency-Key: b\r\n\r\n", 400},
      {GET + "Content-Length: 1\r\n\r\na", 400},
      {GET + "X: a\rb\r\n\r\n", 400},
      {GET + "X: a\nb\r\n\r\n", 400},
      {GET + "X: a\0b\r\n\r\n", 400},
      {GET + "radishpost-deadline-ms: soon\r\n\r\n", 400},
      {GET + "radishpost-deadline-ms: 0\r\n\r\n", 503},
      {GET + "radishpost-deadline-ms: -9\r\n\r\n", 503},
      {GET + "X: " + long3k + "\r\n\r\n", 431},
      {"GET /" + "x".repeat(5_000) + HEAD_START + "\r\n", 414},
      {POST + "Content-Length: 1001\r\n\r\n", 413},
      {
        POST + "Transfer-Encoding: chunked\r\n\r\n7d0\r\n" + "x".repeat(2_000) + "\r\n0\r\n\r\n",
        413
      },
      {POST + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", 400},
      {"GET /home" + HEAD_START + "\r\n", 421},
      {"POST /h%6Fme" + HEAD_START + "Expect: 100-continue\r\nContent-Length: 9\r\n\r\n", 421},
    };
  }

  @Test(dataProvider = "refusedRequests")
  public void refusalIsProblemAndClosesConnection(String text, int status) throws IOException {
    String received = edge.exchange(text + GET + "\r\n");
    assertTrue(received.startsWith("HTTP/1.1 " + status + " "), received);
    assertTrue(received.contains("radishpost-outcome: not-run"), received);
    assertTrue(received.contains("application/problem+json"), received);
    assertFalse(
        received.contains("radishpost-hop-") || received.contains("100 Continue"), received);
    assertEquals(target.receivedHeads, List.of());
  }

  /**
   * Repeated, because it depends on thread timing whether the end of the body or its framing fault
   * is noticed first.
   */
  @Test(invocationCount = 40)
  public void requestWithMalformedBodyIsNotRun() throws Exception {
    List<String> ran = new CopyOnWriteArrayList<>();
    CallHandler handler =
        call -> {
          ran.add(call.head().method());
          return Mono.just(Responses.text(200, "ran"));
        };
    try (EdgeFixture handlerEdge = new EdgeFixture(handler)) {
      handlerEdge.exchange(POST + "Transfer-Encoding: chunked\r\n\r\nzz\r\n" + GET + "\r\n");
    }
    assertEquals(ran, List.of());
  }

  @Test(invocationCount = 10)
  public void bodyMalformedWhileForwardedEndsWithError() throws Exception {
    BlockingQueue<String> ends = new LinkedBlockingQueue<>();
    CallHandler handler =
        call ->
            call.body().stream()
                .doOnNext(ByteBuf::release)
                .doOnComplete(() -> ends.add("complete"))
                .doOnError(error -> ends.add("failed"))
                .doOnCancel(() -> ends.add("failed"))
                .then(Mono.just(Responses.text(200, "ran")));
    try (EdgeFixture handlerEdge = new EdgeFixture(handler);
        Socket socket = handlerEdge.connect()) {
      String first = "x".repeat(2 * EdgeFixture.MAX_PREFIX_BYTES);
      String chunk = Integer.toHexString(first.length()) + "\r\n" + first + "\r\n";
      String start = POST + "Transfer-Encoding: chunked\r\n\r\n" + chunk;
      socket.getOutputStream().write((start + "zz\r\n").getBytes(StandardCharsets.US_ASCII));
      EdgeFixture.readToEnd(socket);
      assertEquals(ends.poll(WAIT_SECONDS, TimeUnit.SECONDS), "failed");
    }
  }

  @Test
  public void continueIsSentWhenBodyIsRead() throws IOException {
    try (Socket caller = edge.connect()) {
      write(caller, POST + "Expect: 100-continue\r\nContent-Length: 3\r\n\r\n");
      assertTrue(EdgeFixture.readHead(caller).startsWith("HTTP/1.1 100 "));
      write(caller, "abc");
      assertTrue(EdgeFixture.readHead(caller).startsWith("HTTP/1.1 200 "));
    }
  }

  @Test
  public void deadlineIsForwardedUpToRouteLimit() throws IOException {
    for (String given : List.of("700", "99999999999999999999")) {
      edge.exchange(GET + "Connection: close\r\nradishpost-deadline-ms: " + given + "\r\n\r\n");
    }
    edge.call("GET");
    assertEquals(edge.remainingMillis, List.of(700L, 30_000L, 30_000L));
  }

  @Test
  public void deadlineIncludesReadingTheBody() throws IOException {
    try (Socket caller = edge.connect()) {
      write(caller, POST + "Expect: 100-continue\r\nContent-Length: 3\r\n\r\n");
      EdgeFixture.readHead(caller);
      edge.clock.advanceTimeBy(Duration.ofSeconds(4));
      write(caller, "abc");
      EdgeFixture.readHead(caller);
      assertEquals(edge.remainingMillis, List.of(26_000L));
      write(caller, POST + "radishpost-deadline-ms: 900\r\nExpect: 100-continue\r\n");
      write(caller, "Content-Length: 3\r\n\r\n");
      assertTrue(EdgeFixture.readHead(caller).startsWith("helloHTTP/1.1 100 "));
      edge.clock.advanceTimeBy(Duration.ofSeconds(1));
      String received = EdgeFixture.readToEnd(caller);
      assertTrue(received.startsWith("HTTP/1.1 503 ") && received.contains("not-run"), received);
    }
  }

  @Test
  public void chunkedBodyOfAnyMethodKeepsItsFraming() throws IOException {
    String body = "Transfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n0\r\n\r\n";
    edge.exchange("DELETE /a" + HEAD_START + "Connection: close\r\n" + body);
    String head = target.receivedHeads.getFirst().toLowerCase(java.util.Locale.ROOT);
    assertTrue(head.contains("chunked") || head.contains("content-length: 4"), head);
  }

  @Test
  public void bodyTooLargeAfterTargetHasCallIsUnknown() throws Exception {
    try (ScriptedTarget silent = new ScriptedTarget(ScriptedTarget.SEND_NOTHING_MORE);
        EdgeFixture silentEdge = new EdgeFixture(silent.address())) {
      try (Socket caller = silentEdge.connect()) {
        write(caller, POST + "Transfer-Encoding: chunked\r\n\r\n20\r\n" + "x".repeat(32) + "\r\n");
        while (silent.receivedHeads.isEmpty()) {
          Thread.onSpinWait();
        }
        write(caller, "7d0\r\n" + "x".repeat(2_000) + "\r\n");
        String received = EdgeFixture.readHead(caller);
        assertTrue(received.startsWith("HTTP/1.1 413 "), received);
        assertTrue(received.contains("radishpost-outcome: unknown"), received);
      }
      silent.closedConnections.take();
    }
  }

  @Test
  public void malformedChunkAfterTargetHasCallIsUnknown() throws Exception {
    try (ScriptedTarget silent = new ScriptedTarget(ScriptedTarget.SEND_NOTHING_MORE);
        EdgeFixture silentEdge = new EdgeFixture(silent.address())) {
      try (Socket caller = silentEdge.connect()) {
        write(caller, POST + "Transfer-Encoding: chunked\r\n\r\n20\r\n" + "x".repeat(32) + "\r\n");
        while (silent.receivedHeads.isEmpty()) {
          Thread.onSpinWait();
        }
        write(caller, "zz\r\n");
        assertFalse(EdgeFixture.readToEnd(caller).contains("not-run"));
      }
      silent.closedConnections.take();
    }
  }

  @Test
  public void slowHeadClosesConnection() throws IOException {
    try (Socket caller = edge.connect()) {
      write(caller, GET + "\r\n" + "GET /b HTT");
      assertTrue(EdgeFixture.readHead(caller).startsWith("HTTP/1.1 200 "));
      byte[] body = caller.getInputStream().readNBytes("hello".length());
      assertEquals(new String(body, StandardCharsets.US_ASCII), "hello");
      edge.clock.advanceTimeBy(Duration.ofSeconds(21));
      assertEquals(EdgeFixture.readToEnd(caller), "");
    }
  }

  @Test
  public void bodyPauseCountsOnlyWhileReadIsPending() {
    SlowSenderTimeout timeout = new SlowSenderTimeout(Duration.ofNanos(10));
    timeout.onBytesReceived(false, true, 0);
    assertEquals(timeout.remainingNanos(100), 10);
    timeout.onReadRequested(100);
    assertEquals(timeout.remainingNanos(109), 1);
    timeout.onBytesReceived(false, true, 109);
    timeout.onReadRequested(109);
    assertEquals(timeout.remainingNanos(119), 0);
    timeout.onBytesReceived(true, false, 120);
    timeout.onBytesReceived(true, false, 129);
    assertEquals(timeout.remainingNanos(130), 0);
  }

  @Test
  public void connectionsBeyondLimitAreClosed() throws IOException {
    try (Socket a = edge.connect();
        Socket b = edge.connect()) {
      for (Socket socket : List.of(a, b)) {
        write(socket, GET + "\r\n");
        EdgeFixture.readHead(socket);
      }
      try (Socket c = edge.connect()) {
        write(c, GET + "\r\n");
        EdgeFixture.readHead(c);
        assertFalse(edge.call("GET").startsWith("HTTP"));
      }
    }
  }

  @Test
  public void mutatedRequestsNeverCauseServerError() throws IOException {
    String[] validRequests = {
      GET + "Connection: close\r\n\r\n",
      POST + "Connection: close\r\nContent-Length: 4\r\n\r\nabcd",
      POST + "Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n0\r\n\r\n",
    };
    for (int seed = 0; seed < FUZZ_RUNS; seed++) {
      Random random = new Random(seed);
      byte[] bytes =
          validRequests[seed % validRequests.length].getBytes(StandardCharsets.ISO_8859_1);
      for (int i = random.nextInt(4); i >= 0; i--) {
        bytes[random.nextInt(bytes.length)] = (byte) random.nextInt(256);
      }
      try (Socket socket = edge.connect()) {
        socket.getOutputStream().write(bytes);
        socket.shutdownOutput();
        String received = EdgeFixture.readToEnd(socket);
        assertFalse(received.startsWith("HTTP/1.1 500"), "seed " + seed + ": " + received);
      }
    }
    assertTrue(edge.call("GET").endsWith("hello"));
  }

  private static void write(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
  }
}
