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

/** Tests that pipelined requests run concurrently and that responses stay in request order. */
public class PipeliningHandlerTest {
  private static final int WAIT_SECONDS = 20;
  private static final String CLOSE_REQUEST_END =
      " HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
  private static final String REQUEST_END = " HTTP/1.1\r\nHost: h\r\n\r\n";

  private final BlockingQueue<String> events = new LinkedBlockingQueue<>();

  /** Removes the events of earlier tests. */
  @BeforeMethod
  public void clearEvents() {
    events.clear();
  }

  @Test
  public void laterRequestRunsBeforeFirstResponse() throws Exception {
    Sinks.One<Response> first = Sinks.one();
    CallHandler handler =
        call -> {
          if (call.head().target().equals("/1")) {
            return first.asMono();
          }
          first.tryEmitValue(Responses.text(200, "<1>"));
          return Mono.just(Responses.text(200, "<2>"));
        };
    try (EdgeFixture edge = new EdgeFixture(handler)) {
      String responses = edge.exchange("GET /1" + REQUEST_END + "GET /2" + CLOSE_REQUEST_END);
      assertTrue(responses.contains("<1>") && responses.contains("<2>"), responses);
      assertTrue(responses.indexOf("<1>") < responses.indexOf("<2>"), responses);
    }
  }

  @Test
  public void responsesStayInRequestOrder() throws Exception {
    Sinks.One<Response> first = Sinks.one();
    CallHandler handler =
        call ->
            switch (call.head().target()) {
              case "/1" -> first.asMono();
              case "/2" -> Mono.just(Responses.text(200, "<2>"));
              default -> {
                first.tryEmitValue(Responses.text(200, "<1>"));
                yield Mono.just(Responses.text(200, "<3>"));
              }
            };
    try (EdgeFixture edge = new EdgeFixture(handler)) {
      String responses =
          edge.exchange(
              "GET /1" + REQUEST_END + "GET /2" + REQUEST_END + "GET /3" + CLOSE_REQUEST_END);
      assertEquals(
          responses.replaceAll("[^<]*(<.>)", "$1").replaceAll(">[^<]+$", ">"), "<1><2><3>");
    }
  }

  @Test
  public void callerDisconnectCancelsAllItsCalls() throws Exception {
    CallHandler handler =
        call ->
            Mono.<Response>never()
                .doOnSubscribe(subscription -> events.add("started " + call.head().target()))
                .doOnCancel(() -> events.add("cancelled " + call.head().target()));
    try (EdgeFixture edge = new EdgeFixture(handler)) {
      try (Socket socket = edge.connect()) {
        send(socket, "GET /1" + REQUEST_END + "GET /2" + REQUEST_END);
        assertEquals(List.of(nextEvent(), nextEvent()), List.of("started /1", "started /2"));
      }
      assertEquals(
          java.util.Set.of(nextEvent(), nextEvent()),
          java.util.Set.of("cancelled /1", "cancelled /2"));
    }
  }

  /**
   * A write must not start early, because the connection may close before its turn. No read may
   * overtake a write.
   */
  @Test
  public void writesAndLaterRequestsAreNotStartedEarly() throws Exception {
    Sinks.One<Response> first = Sinks.one();
    CallHandler handler =
        call -> {
          events.add(call.head().target());
          return call.head().target().equals("/1")
              ? first.asMono()
              : Mono.just(Responses.text(200, "<2>"));
        };
    try (EdgeFixture edge = new EdgeFixture(handler);
        Socket socket = edge.connect()) {
      send(
          socket,
          "GET /1" + REQUEST_END + "POST /2 HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n");
      send(socket, "GET /3" + CLOSE_REQUEST_END);
      assertEquals(nextEvent(), "/1");
      first.tryEmitValue(Responses.text(200, "<1>"));
      EdgeFixture.readToEnd(socket);
      assertEquals(List.of(nextEvent(), nextEvent()), List.of("/2", "/3"));
    }
  }

  /**
   * During a graceful shutdown the edge closes connections between requests. It must not close a
   * connection on which a later request is already running.
   */
  @Test
  public void connectionStaysOpenForRunningRequests() throws Exception {
    Sinks.One<Response> first = Sinks.one();
    CallHandler handler =
        call -> {
          events.add(call.head().target());
          return call.head().target().equals("/1")
              ? first.asMono()
              : Mono.just(Responses.text(200, "<" + call.head().target().substring(1) + ">"));
        };
    try (EdgeFixture edge = new EdgeFixture(handler);
        Socket socket = edge.connect()) {
      send(socket, "GET /1" + REQUEST_END + "GET /2" + REQUEST_END + "GET /3" + REQUEST_END);
      assertEquals(List.of(nextEvent(), nextEvent(), nextEvent()), List.of("/1", "/2", "/3"));
      edge.keepAlive = false;
      first.tryEmitValue(Responses.text(200, "<1>"));
      String responses = EdgeFixture.readToEnd(socket);
      assertTrue(responses.contains("<1>") && responses.contains("<3>"), responses);
      assertTrue(responses.indexOf("connection: close") > responses.indexOf("<2>"), responses);
    }
  }

  @Test
  public void nothingStartsEarlyBehindRefusedRequest() throws Exception {
    Sinks.One<Response> first = Sinks.one();
    CallHandler handler =
        call -> {
          events.add(call.head().target());
          return first.asMono();
        };
    try (EdgeFixture edge = new EdgeFixture(handler);
        Socket socket = edge.connect()) {
      send(socket, "GET /1" + REQUEST_END + "GET /home" + REQUEST_END + "GET /3" + REQUEST_END);
      assertEquals(nextEvent(), "/1");
      first.tryEmitValue(Responses.text(200, "<1>"));
      EdgeFixture.readToEnd(socket);
      assertTrue(events.isEmpty(), events.toString());
    }
  }

  private static void send(Socket socket, String text) throws Exception {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  private String nextEvent() throws InterruptedException {
    return events.poll(WAIT_SECONDS, TimeUnit.SECONDS);
  }
}
