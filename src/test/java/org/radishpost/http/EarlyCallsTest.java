package org.radishpost.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/** Pipelined requests run at once, and their answers come in order. */
public class EarlyCallsTest {
  private static final int HANG_SECONDS = 20;
  private static final String LAST = " HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
  private static final String OTHER = " HTTP/1.1\r\nHost: h\r\n\r\n";

  private final BlockingQueue<String> heard = new LinkedBlockingQueue<>();

  /** Forgets what earlier tests heard. */
  @BeforeMethod
  public void forget() {
    heard.clear();
  }

  @Test
  public void laterRequestRunsWhileTheFirstIsNotAnswered() throws Exception {
    Sinks.One<Reply> first = Sinks.one();
    CallHandler handler =
        call -> {
          if (call.head().target().equals("/1")) {
            return first.asMono();
          }
          first.tryEmitValue(Replies.text(200, "<1>"));
          return Mono.just(Replies.text(200, "<2>"));
        };
    try (EdgeFixture edge = new EdgeFixture(handler)) {
      String answers = edge.exchange("GET /1" + OTHER + "GET /2" + LAST);
      assertTrue(answers.contains("<1>") && answers.contains("<2>"), answers);
      assertTrue(answers.indexOf("<1>") < answers.indexOf("<2>"), answers);
    }
  }

  @Test
  public void answersStayInOrderWhenLaterOnesAreReadyFirst() throws Exception {
    Sinks.One<Reply> first = Sinks.one();
    CallHandler handler =
        call ->
            switch (call.head().target()) {
              case "/1" -> first.asMono();
              case "/2" -> Mono.just(Replies.text(200, "<2>"));
              default -> {
                first.tryEmitValue(Replies.text(200, "<1>"));
                yield Mono.just(Replies.text(200, "<3>"));
              }
            };
    try (EdgeFixture edge = new EdgeFixture(handler)) {
      String answers = edge.exchange("GET /1" + OTHER + "GET /2" + OTHER + "GET /3" + LAST);
      assertEquals(answers.replaceAll("[^<]*(<.>)", "$1").replaceAll(">[^<]+$", ">"), "<1><2><3>");
    }
  }

  @Test
  public void callerThatLeavesEndsAllItsRequests() throws Exception {
    CallHandler handler =
        call ->
            Mono.<Reply>never()
                .doOnSubscribe(subscription -> heard.add("ran " + call.head().target()))
                .doOnCancel(() -> heard.add("ended " + call.head().target()));
    try (EdgeFixture edge = new EdgeFixture(handler)) {
      try (Socket socket = edge.connect()) {
        send(socket, "GET /1" + OTHER + "GET /2" + OTHER);
        assertEquals(List.of(next(), next()), List.of("ran /1", "ran /2"));
      }
      assertEquals(java.util.Set.of(next(), next()), java.util.Set.of("ended /1", "ended /2"));
    }
  }

  /**
   * A write must not begin before its turn, as its connection may close first; no read passes it.
   */
  @Test
  public void writesAndWhatFollowsThemWaitForTheirTurn() throws Exception {
    Sinks.One<Reply> first = Sinks.one();
    CallHandler handler =
        call -> {
          heard.add(call.head().target());
          return call.head().target().equals("/1")
              ? first.asMono()
              : Mono.just(Replies.text(200, "<2>"));
        };
    try (EdgeFixture edge = new EdgeFixture(handler);
        Socket socket = edge.connect()) {
      send(socket, "GET /1" + OTHER + "POST /2 HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n");
      send(socket, "GET /3" + LAST);
      assertEquals(next(), "/1");
      first.tryEmitValue(Replies.text(200, "<1>"));
      EdgeFixture.rest(socket);
      assertEquals(List.of(next(), next()), List.of("/2", "/3"));
    }
  }

  /** A graceful shutdown closes connections between requests, but not on one that runs already. */
  @Test
  public void connectionStaysOpenForRequestsThatRun() throws Exception {
    Sinks.One<Reply> first = Sinks.one();
    CallHandler handler =
        call -> {
          heard.add(call.head().target());
          return call.head().target().equals("/1")
              ? first.asMono()
              : Mono.just(Replies.text(200, "<" + call.head().target().substring(1) + ">"));
        };
    try (EdgeFixture edge = new EdgeFixture(handler);
        Socket socket = edge.connect()) {
      send(socket, "GET /1" + OTHER + "GET /2" + OTHER + "GET /3" + OTHER);
      assertEquals(List.of(next(), next(), next()), List.of("/1", "/2", "/3"));
      edge.keepAlive = false;
      first.tryEmitValue(Replies.text(200, "<1>"));
      String answers = EdgeFixture.rest(socket);
      assertTrue(answers.contains("<1>") && answers.contains("<3>"), answers);
      assertTrue(answers.indexOf("connection: close") > answers.indexOf("<2>"), answers);
    }
  }

  @Test
  public void nothingBeginsBehindRequestThatWillBeRefused() throws Exception {
    Sinks.One<Reply> first = Sinks.one();
    CallHandler handler =
        call -> {
          heard.add(call.head().target());
          return first.asMono();
        };
    try (EdgeFixture edge = new EdgeFixture(handler);
        Socket socket = edge.connect()) {
      send(socket, "GET /1" + OTHER + "GET /home" + OTHER + "GET /3" + OTHER);
      assertEquals(next(), "/1");
      first.tryEmitValue(Replies.text(200, "<1>"));
      EdgeFixture.rest(socket);
      assertTrue(heard.isEmpty(), heard.toString());
    }
  }

  private static void send(Socket socket, String text) throws Exception {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  private String next() throws InterruptedException {
    return heard.poll(HANG_SECONDS, TimeUnit.SECONDS);
  }
}
