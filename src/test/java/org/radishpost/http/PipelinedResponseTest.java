package org.radishpost.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.regex.Pattern;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/** Tests that callers get the responses to their own requests when these look alike. */
public class PipelinedResponseTest {
  private static final String FIELDS = " HTTP/1.1\r\nHost: h\r\nX-Request-Id: same\r\n";
  private static final String GET = "GET /a" + FIELDS + "\r\n";
  private static final String HEAD = "HEAD /a" + FIELDS + "\r\n";
  private static final String LAST_GET = "GET /a" + FIELDS + "Connection: close\r\n\r\n";
  private static final Pattern NOT_NUMBERS = Pattern.compile("[^<>]*(<\\d>)?[^<>]*");

  private final BlockingQueue<Sinks.One<Response>> calls = new LinkedBlockingQueue<>();

  /** Removes the calls of earlier tests. */
  @BeforeMethod
  public void clearCalls() {
    calls.clear();
  }

  private Mono<Response> handle(Call call) {
    Sinks.One<Response> response = Sinks.one();
    calls.add(response);
    return response.asMono();
  }

  private static Response response(int number) {
    return Responses.text(200, "<" + number + ">");
  }

  /** Returns the bodies of responses, which are numbers in angle brackets. */
  private static String bodies(String responses) {
    return NOT_NUMBERS.matcher(responses).replaceAll("$1");
  }

  private static void send(Socket socket, String text) throws Exception {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  /** The second response arrives last and has no body, the first one arrives after the third. */
  @Test
  public void equalRequestsOnOneConnectionGetTheirOwnResponses() throws Exception {
    try (EdgeFixture edge = new EdgeFixture(this::handle);
        Socket socket = edge.connect()) {
      send(socket, GET + HEAD + GET + LAST_GET);
      List<Sinks.One<Response>> started =
          List.of(calls.take(), calls.take(), calls.take(), calls.take());
      started.get(2).tryEmitValue(response(3));
      started.get(0).tryEmitValue(response(1));
      started.get(3).tryEmitValue(response(4));
      started.get(1).tryEmitValue(response(2));
      String responses = EdgeFixture.readToEnd(socket);
      assertEquals(bodies(responses), "<1><3><4>", responses);
      assertEquals(responses.split("HTTP/1.1 200", -1).length - 1, 4, responses);
    }
  }

  @Test
  public void equalRequestsOnTwoConnectionsGetTheirOwnResponses() throws Exception {
    try (EdgeFixture edge = new EdgeFixture(this::handle);
        Socket first = edge.connect();
        Socket second = edge.connect()) {
      send(first, LAST_GET);
      final Sinks.One<Response> firstCall = calls.take();
      send(second, LAST_GET);
      calls.take().tryEmitValue(response(2));
      assertEquals(bodies(EdgeFixture.readToEnd(second)), "<2>");
      firstCall.tryEmitValue(response(1));
      assertEquals(bodies(EdgeFixture.readToEnd(first)), "<1>");
    }
  }

  /** A call that started early and failed must not get the response of an equal one behind it. */
  @Test
  public void responseToFailedRequestIsNotThatOfEqualRequestBehindIt() throws Exception {
    try (EdgeFixture edge = new EdgeFixture(this::handle);
        Socket socket = edge.connect()) {
      send(socket, GET + GET + LAST_GET);
      List<Sinks.One<Response>> started = List.of(calls.take(), calls.take(), calls.take());
      started.get(1).tryEmitError(new IllegalStateException("the call failed"));
      started.get(2).tryEmitValue(response(3));
      started.get(0).tryEmitValue(response(1));
      String responses = EdgeFixture.readToEnd(socket);
      assertTrue(bodies(responses).startsWith("<1>"), responses);
      assertFalse(responses.substring(responses.indexOf("<1>")).contains(" 200 "), responses);
    }
  }

  /** Returns requests whose last call ends without a response. */
  @DataProvider
  public Object[][] requests() {
    return new Object[][] {{"alone", ""}, {"behind another", GET}};
  }

  /** The library would send an empty success in its place. */
  @Test(dataProvider = "requests")
  public void callThatEndsWithoutResponseIsNotSuccess(String name, String before) throws Exception {
    try (EdgeFixture edge = new EdgeFixture(this::handle);
        Socket socket = edge.connect()) {
      send(socket, before + LAST_GET);
      if (!before.isEmpty()) {
        calls.take().tryEmitValue(response(1));
      }
      calls.take().tryEmitEmpty();
      String responses = EdgeFixture.readToEnd(socket);
      String last = responses.substring(responses.indexOf("<1>") + 1);
      assertFalse(last.contains(" 200 "), responses);
    }
  }
}
