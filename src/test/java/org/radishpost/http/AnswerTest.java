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

/** What callers get of the answers of targets that break off, lie or are silent. */
public class AnswerTest {
  private static final String OK = "HTTP/1.1 200 OK\r\n";
  private static final String FIXED = OK + "Content-Length: 5\r\n\r\n";
  private static final String CHUNKED = OK + "Transfer-Encoding: chunked\r\n\r\n";
  private static final String WHOLE = FIXED + "hello";
  private static final Duration LIMIT = Duration.ofSeconds(2);

  /** Answers that break off before their first byte of body, which callers learn as unknown. */
  @DataProvider
  public Object[][] lost() {
    return new Object[][] {
      {"GET", RawTarget.CLOSE},
      {"GET", "HTTP/1.1 200 O" + RawTarget.CLOSE},
      {"GET", FIXED + RawTarget.CLOSE},
      {"GET", CHUNKED + RawTarget.CLOSE},
      {"GET", CHUNKED + "zz\r\nhello\r\n0\r\n\r\n" + RawTarget.CLOSE},
      {"GET", OK + "\r\nhello" + RawTarget.CLOSE},
      {"HEAD", "HTTP/1.1 200 OK\r\nContent-Le" + RawTarget.CLOSE},
    };
  }

  @Test(dataProvider = "lost")
  public void answerLostBeforeTheFirstByteIsUnknown(String method, String answer) throws Exception {
    try (RawTarget target = new RawTarget(answer);
        EdgeFixture edge = new EdgeFixture(target.address())) {
      String got = edge.call(method);
      assertTrue(got.startsWith("HTTP/1.1 502 "), got);
      assertTrue(got.contains("radishpost-outcome: unknown"), got);
      assertEquals(target.heads.size(), 1);
    }
  }

  /** Answers that break off later, and what shows that they are not whole. */
  @DataProvider
  public Object[][] cut() {
    return new Object[][] {
      {FIXED + "hel" + RawTarget.CLOSE, "Content-Length: 5"},
      {CHUNKED + "5\r\nhello\r\n" + RawTarget.CLOSE, "chunked"},
      {CHUNKED + "5\r\nhello\r\n3\r\nab" + RawTarget.CLOSE, "chunked"},
      {CHUNKED + "5\r\nhello\r\nzz\r\nab\r\n0\r\n\r\n" + RawTarget.CLOSE, "chunked"},
      {CHUNKED + "5\r\nhello\r\n0\r\n" + RawTarget.CLOSE, "chunked"},
    };
  }

  @Test(dataProvider = "cut")
  public void cutAnswerIsNeverPassedOnAsWhole(String answer, String framing) throws Exception {
    try (RawTarget target = new RawTarget(answer);
        EdgeFixture edge = new EdgeFixture(target.address())) {
      String got = edge.call("GET");
      assertFalse(got.endsWith("0\r\n\r\n"), got);
      assertFalse(got.contains("Content-Length: 5") && got.endsWith("hello"), got);
      assertTrue(got.startsWith(OK) ? got.contains(framing) : got.contains("unknown"), got);
    }
  }

  /** Answers that are whole, and what the caller's bytes end with. */
  @DataProvider
  public Object[][] whole() {
    return new Object[][] {
      {"GET", WHOLE, "\r\n\r\nhello"},
      {"GET", CHUNKED + "5\r\nhello\r\n0\r\n\r\n", "\r\n5\r\nhello\r\n0\r\n\r\n"},
      {"GET", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + WHOLE, "\r\n\r\nhello"},
      {"GET", "HTTP/1.1 100 Continue\r\n\r\n" + WHOLE, "\r\n\r\nhello"},
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

  @Test(dataProvider = "whole")
  public void wholeAnswerArrives(String method, String answer, String end) throws Exception {
    try (RawTarget target = new RawTarget(answer);
        EdgeFixture edge = new EdgeFixture(target.address())) {
      String got = edge.call(method);
      assertTrue(got.startsWith("HTTP/1.1 20"), got);
      assertTrue(got.endsWith(end), got);
    }
  }

  @Test
  public void secondAnswerToOneRequestReachesNobody() throws Exception {
    try (RawTarget target =
            new RawTarget(WHOLE + FIXED + "WRONG", WHOLE.replace("hello", "right"));
        EdgeFixture edge = new EdgeFixture(target.address())) {
      assertTrue(edge.call("GET").endsWith("hello"));
      String second = edge.call("GET");
      assertTrue(second.endsWith("right") || second.contains("unknown"), second);
    }
  }

  @Test
  public void fieldsBetweenVmsAndOfOneConnectionEndHere() throws Exception {
    String answer = OK + "radishpost-hop-result: handed-back NO_TARGET\r\nConnection: x-a\r\n";
    try (RawTarget target =
            new RawTarget(answer + "X-A: 1\r\nX-B: 2\r\nContent-Length: 0\r\n\r\n");
        EdgeFixture edge = new EdgeFixture(target.address())) {
      String got =
          edge.exchange(
              "GET /a HTTP/1.1\r\nHost: h\r\nConnection: close, x-c, idempotency-key\r\nX-C: 1\r\n"
                  + "Idempotency-Key: k\r\nVia: 1.1 b\r\nX-Forwarded-For: 1.2.3.4\r\n"
                  + "radishpost-hop-vm: vm-1\r\nTrailer: t\r\n\r\n");
      String request = target.heads.getFirst().toLowerCase(java.util.Locale.ROOT);
      assertFalse(got.contains("hop-") || got.contains("X-A"), got);
      assertTrue(got.contains("X-B: 2"), got);
      assertFalse(request.contains("hop-") || request.contains("x-c"), request);
      assertFalse(request.contains("trailer"), request);
      assertTrue(request.contains("idempotency-key: k"), request);
      assertTrue(request.contains("via: 1.1 b, 1.1 radishpost"), request);
      assertTrue(request.contains("x-forwarded-for: 1.2.3.4, 127.0.0.1"), request);
    }
  }

  @Test
  public void timedOutConnectionIsClosedAndNotUsedAgain() throws Exception {
    try (RawTarget target = new RawTarget(RawTarget.SILENT, WHOLE);
        EdgeFixture edge = new EdgeFixture(target.address())) {
      Sinks.One<Throwable> failure = Sinks.one();
      send(edge, target.address()).subscribe(reply -> {}, failure::tryEmitValue);
      awaitHeads(target, 1);
      edge.clock.advanceTimeBy(LIMIT);
      assertTrue(failure.asMono().block() instanceof ResponseTimeoutException);
      target.closed.take();
      assertTrue(edge.call("GET").endsWith("hello"));
      assertEquals(target.connections(), 2);
    }
  }

  @Test
  public void cancelledCallClosesItsConnection() throws Exception {
    try (RawTarget target = new RawTarget(RawTarget.SILENT);
        EdgeFixture edge = new EdgeFixture(target.address())) {
      Disposable running = send(edge, target.address()).subscribe();
      awaitHeads(target, 1);
      running.dispose();
      target.closed.take();
    }
  }

  @Test
  public void goneCallerCancelsItsCallAtTheTarget() throws Exception {
    try (RawTarget target = new RawTarget(RawTarget.SILENT, FIXED + "he" + RawTarget.SILENT);
        EdgeFixture edge = new EdgeFixture(target.address())) {
      for (int heads = 1; heads <= 2; heads++) {
        try (Socket caller = edge.connect()) {
          caller.getOutputStream().write("GET /a HTTP/1.1\r\nHost: h\r\n\r\n".getBytes());
          awaitHeads(target, heads);
        }
        target.closed.take();
      }
    }
  }

  @Test
  public void callIsSentOnceWhenItsConnectionDies() throws Exception {
    try (RawTarget target = new RawTarget(WHOLE, RawTarget.CLOSE, WHOLE);
        EdgeFixture edge = new EdgeFixture(target.address())) {
      edge.call("GET");
      assertTrue(edge.call("POST").contains("radishpost-outcome: unknown"));
      assertEquals(target.heads.size(), 2);
      assertEquals(target.connections(), 1);
    }
  }

  @Test
  public void notConnectedMeansThatNoByteWasSent() throws Exception {
    Endpoint free;
    try (RawTarget gone = new RawTarget()) {
      free = gone.address();
    }
    try (EdgeFixture edge = new EdgeFixture(free)) {
      assertTrue(edge.call("GET").contains("radishpost-outcome: not-run"));
    }
    SendAttempt sending = new SendAttempt();
    assertTrue(sending.begin());
    assertTrue(sending.failure(new Exception(), free) instanceof ConnectionLostException);
    SendAttempt waiting = new SendAttempt();
    assertTrue(waiting.failure(new Exception(), free) instanceof NotConnectedException);
    assertFalse(waiting.begin());
  }

  private static Mono<Reply> send(EdgeFixture edge, Endpoint target) {
    return edge.sender.send(target, RequestHead.get("/a"), CallBody.whole(new byte[0]), LIMIT);
  }

  private static void awaitHeads(RawTarget target, int count) {
    while (target.heads.size() < count) {
      Thread.onSpinWait();
    }
  }
}
