package org.radishpost.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.net.Socket;
import java.time.Duration;
import org.radishpost.errors.ConnectionLostException;
import org.radishpost.errors.NotConnectedException;
import org.radishpost.errors.ResponseTimeoutException;
import org.radishpost.lib.Endpoint;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import reactor.core.Disposable;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/**
 * Tests how responses of targets are forwarded when they are truncated, malformed, misleading or
 * missing.
 */
public class TargetResponseTest {
  private static final String OK = "HTTP/1.1 200 OK\r\n";
  private static final String FIXED = OK + "Content-Length: 5\r\n\r\n";
  private static final String CHUNKED = OK + "Transfer-Encoding: chunked\r\n\r\n";
  private static final String COMPLETE = FIXED + "hello";
  private static final Duration TIMEOUT = Duration.ofSeconds(2);

  /**
   * Responses that fail before the first byte of the body, for which callers get the outcome
   * unknown.
   */
  @DataProvider
  public Object[][] lostResponses() {
    return new Object[][] {
      {"GET", ScriptedTarget.THEN_CLOSE},
      {"GET", "HTTP/1.1 200 O" + ScriptedTarget.THEN_CLOSE},
      {"GET", FIXED + ScriptedTarget.THEN_CLOSE},
      {"GET", CHUNKED + ScriptedTarget.THEN_CLOSE},
      {"GET", CHUNKED + "zz\r\nhello\r\n0\r\n\r\n" + ScriptedTarget.THEN_CLOSE},
      {"GET", OK + "\r\nhello" + ScriptedTarget.THEN_CLOSE},
      {"HEAD", "HTTP/1.1 200 OK\r\nContent-Le" + ScriptedTarget.THEN_CLOSE},
      {"GET", OK + "X-A: " + "a".repeat(100_000) + ScriptedTarget.SEND_NOTHING_MORE},
      {"GET", "a".repeat(100_000) + ScriptedTarget.SEND_NOTHING_MORE},
    };
  }

  @Test(dataProvider = "lostResponses")
  public void responseLostBeforeFirstBodyByteIsUnknown(String method, String targetResponse)
      throws Exception {
    try (ScriptedTarget target = new ScriptedTarget(targetResponse);
        EdgeFixture edge = new EdgeFixture(target.address())) {
      String received = edge.call(method);
      assertTrue(received.startsWith("HTTP/1.1 502 "), received);
      assertTrue(received.contains("radishpost-outcome: unknown"), received);
      assertEquals(target.receivedHeads.size(), 1);
    }
  }

  /** Responses truncated within the body, and the header field text that reveals the truncation. */
  @DataProvider
  public Object[][] truncatedResponses() {
    return new Object[][] {
      {FIXED + "hel" + ScriptedTarget.THEN_CLOSE, "Content-Length: 5"},
      {CHUNKED + "5\r\nhello\r\n" + ScriptedTarget.THEN_CLOSE, "chunked"},
      {CHUNKED + "5\r\nhello\r\n3\r\nab" + ScriptedTarget.THEN_CLOSE, "chunked"},
      {CHUNKED + "5\r\nhello\r\nzz\r\nab\r\n0\r\n\r\n" + ScriptedTarget.THEN_CLOSE, "chunked"},
      {CHUNKED + "5\r\nhello\r\n0\r\n" + ScriptedTarget.THEN_CLOSE, "chunked"},
    };
  }

  @Test(dataProvider = "truncatedResponses")
  public void truncatedResponseNeverLooksComplete(String targetResponse, String framing)
      throws Exception {
    try (ScriptedTarget target = new ScriptedTarget(targetResponse);
        EdgeFixture edge = new EdgeFixture(target.address())) {
      String received = edge.call("GET");
      assertFalse(received.endsWith("0\r\n\r\n"), received);
      assertFalse(received.contains("Content-Length: 5") && received.endsWith("hello"), received);
      assertTrue(
          received.startsWith(OK) ? received.contains(framing) : received.contains("unknown"),
          received);
    }
  }

  /** Complete responses, and the expected end of the bytes that the caller receives. */
  @DataProvider
  public Object[][] completeResponses() {
    return new Object[][] {
      {"GET", COMPLETE, "\r\n\r\nhello"},
      {"GET", CHUNKED + "5\r\nhello\r\n0\r\n\r\n", "\r\n5\r\nhello\r\n0\r\n\r\n"},
      {"GET", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + COMPLETE, "\r\n\r\nhello"},
      {"GET", "HTTP/1.1 100 Continue\r\n\r\n" + COMPLETE, "\r\n\r\nhello"},
      {"HEAD", FIXED, "\r\n\r\n"},
      {"OPTIONS", "HTTP/1.1 204 No Content\r\nAllow: GET\r\n\r\n", "\r\n\r\n"},
      {
        "GET",
        "HTTP/1.1 200 OK\r\nTrailer: sum\r\nTransfer-Encoding: chunked\r\n\r\n"
            + "5\r\nhello\r\n0\r\nsum: 9\r\n\r\n",
        "\r\n0\r\nsum: 9\r\n\r\n"
      },
    };
  }

  @Test(dataProvider = "completeResponses")
  public void completeResponseIsForwarded(String method, String targetResponse, String end)
      throws Exception {
    try (ScriptedTarget target = new ScriptedTarget(targetResponse);
        EdgeFixture edge = new EdgeFixture(target.address())) {
      String received = edge.call(method);
      assertTrue(received.startsWith("HTTP/1.1 20"), received);
      assertTrue(received.endsWith(end), received);
    }
  }

  @Test
  public void secondResponseToOneRequestIsDropped() throws Exception {
    try (ScriptedTarget target =
            new ScriptedTarget(COMPLETE + FIXED + "WRONG", COMPLETE.replace("hello", "right"));
        EdgeFixture edge = new EdgeFixture(target.address())) {
      assertTrue(edge.call("GET").endsWith("hello"));
      String second = edge.call("GET");
      assertTrue(second.endsWith("right") || second.contains("unknown"), second);
    }
  }

  @Test
  public void connectionIsNotReusedAfterRefusalWithoutId() throws Exception {
    String refusal = "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n";
    try (ScriptedTarget target = new ScriptedTarget(refusal, COMPLETE);
        EdgeFixture edge = new EdgeFixture(target.address())) {
      edge.call("GET");
      assertTrue(edge.call("GET").endsWith("hello"));
      assertEquals(target.connectionCount(), 2);
    }
  }

  @Test
  public void hopByHopAndVmFieldsAreNotForwarded() throws Exception {
    String targetResponse =
        OK + "radishpost-hop-result: handed-back NO_TARGET\r\nConnection: x-a\r\n";
    try (ScriptedTarget target =
            new ScriptedTarget(targetResponse + "X-A: 1\r\nX-B: 2\r\nContent-Length: 0\r\n\r\n");
        EdgeFixture edge = new EdgeFixture(target.address())) {
      String received =
          edge.exchange(
              "GET /a HTTP/1.1\r\nHost: h\r\nConnection: close, x-c, idempotency-key\r\nX-C: 1\r\n"
                  + "Idempotency-Key: k\r\nVia: 1.1 b\r\nX-Forwarded-For: 1.2.3.4\r\n"
                  + "radishpost-hop-vm: vm-1\r\nTrailer: t\r\n\r\n");
      String request = target.receivedHeads.getFirst().toLowerCase(java.util.Locale.ROOT);
      assertFalse(received.contains("hop-") || received.contains("X-A"), received);
      assertTrue(received.contains("X-B: 2"), received);
      assertFalse(request.contains("hop-") || request.contains("x-c"), request);
      assertFalse(request.contains("trailer"), request);
      assertTrue(request.contains("idempotency-key: k"), request);
      assertTrue(request.contains("via: 1.1 b, 1.1 radishpost"), request);
      assertTrue(request.contains("x-forwarded-for: 1.2.3.4, 127.0.0.1"), request);
    }
  }

  @Test
  public void timedOutConnectionIsClosedAndNotReused() throws Exception {
    try (ScriptedTarget target = new ScriptedTarget(ScriptedTarget.SEND_NOTHING_MORE, COMPLETE);
        EdgeFixture edge = new EdgeFixture(target.address())) {
      Sinks.One<Throwable> failure = Sinks.one();
      send(edge, target.address()).subscribe(response -> {}, failure::tryEmitValue);
      awaitHeads(target, 1);
      edge.clock.advanceTimeBy(TIMEOUT);
      assertTrue(failure.asMono().block() instanceof ResponseTimeoutException);
      target.closedConnections.take();
      assertTrue(edge.call("GET").endsWith("hello"));
      assertEquals(target.connectionCount(), 2);
    }
  }

  @Test
  public void cancelledCallClosesItsConnection() throws Exception {
    try (ScriptedTarget target = new ScriptedTarget(ScriptedTarget.SEND_NOTHING_MORE);
        EdgeFixture edge = new EdgeFixture(target.address())) {
      Disposable running = send(edge, target.address()).subscribe();
      awaitHeads(target, 1);
      running.dispose();
      target.closedConnections.take();
    }
  }

  @Test
  public void callerDisconnectCancelsCallAtTarget() throws Exception {
    try (ScriptedTarget target =
            new ScriptedTarget(
                ScriptedTarget.SEND_NOTHING_MORE, FIXED + "he" + ScriptedTarget.SEND_NOTHING_MORE);
        EdgeFixture edge = new EdgeFixture(target.address())) {
      for (int heads = 1; heads <= 2; heads++) {
        try (Socket caller = edge.connect()) {
          caller.getOutputStream().write("GET /a HTTP/1.1\r\nHost: h\r\n\r\n".getBytes());
          awaitHeads(target, heads);
        }
        target.closedConnections.take();
      }
    }
  }

  @Test
  public void callIsSentOnceWhenItsConnectionIsClosed() throws Exception {
    try (ScriptedTarget target = new ScriptedTarget(COMPLETE, ScriptedTarget.THEN_CLOSE, COMPLETE);
        EdgeFixture edge = new EdgeFixture(target.address())) {
      edge.call("GET");
      assertTrue(edge.call("POST").contains("radishpost-outcome: unknown"));
      assertEquals(target.receivedHeads.size(), 2);
      assertEquals(target.connectionCount(), 1);
    }
  }

  @Test
  public void notConnectedMeansNoByteWasSent() throws Exception {
    Endpoint free;
    try (ScriptedTarget gone = new ScriptedTarget()) {
      free = gone.address();
    }
    try (EdgeFixture edge = new EdgeFixture(free)) {
      assertTrue(edge.call("GET").contains("radishpost-outcome: not-run"));
    }
    SendAttempt sending = new SendAttempt();
    assertTrue(sending.tryStart());
    assertTrue(sending.toException(new Exception(), free) instanceof ConnectionLostException);
    SendAttempt waiting = new SendAttempt();
    assertTrue(waiting.toException(new Exception(), free) instanceof NotConnectedException);
    assertFalse(waiting.tryStart());
  }

  private static Mono<Response> send(EdgeFixture edge, Endpoint target) {
    return edge.sender.send(target, RequestHead.get("/a"), CallBody.buffered(new byte[0]), TIMEOUT);
  }

  private static void awaitHeads(ScriptedTarget target, int count) {
    while (target.receivedHeads.size() < count) {
      Thread.onSpinWait();
    }
  }
}
