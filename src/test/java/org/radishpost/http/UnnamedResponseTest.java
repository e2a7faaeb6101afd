package org.radishpost.http;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import java.util.Optional;
import java.util.stream.IntStream;
import org.radishpost.errors.RadishpostException;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;
import reactor.core.scheduler.Schedulers;
import reactor.netty.resources.LoopResources;

/**
 * Tests that a response is not delivered together with another one by a client of a server whose
 * responses do not name their requests.
 */
public class UnnamedResponseTest {
  private static final Duration TIMEOUT = Duration.ofSeconds(20);
  private static final String FAILED = "ConnectionLostException";
  private static final String REFUSAL = LateServer.response("503 Busy", "no");
  private static final String PAGE = LateServer.responseWithoutLength("200 OK", "page");

  private LoopResources loops;
  private Scheduler clock;
  private HttpSender sender;

  /** Creates a sender without a correlation field. */
  @BeforeClass
  public void createSender() {
    loops = LoopResources.create("unnamed-response-test", 1, true);
    clock = Schedulers.newSingle("unnamed-response-test", true);
    sender =
        new HttpSender(
            new SenderOptions("test", 8, TIMEOUT, TIMEOUT, Optional.empty(), true), clock, loops);
  }

  /** Closes the connections and threads. */
  @AfterClass(alwaysRun = true)
  public void close() {
    sender.close().block();
    loops.disposeLater().block();
    clock.dispose();
  }

  /** Returns responses without a length, and what their server sends behind them. */
  @DataProvider
  public Object[][] secondResponses() {
    return new Object[][] {
      {PAGE + PAGE},
      {PAGE + ScriptedTarget.PAUSE + PAGE},
      {PAGE + REFUSAL},
      {PAGE + "HTT" + ScriptedTarget.PAUSE + REFUSAL.substring(3)},
      {PAGE + REFUSAL.substring(0, 30)},
      {LateServer.responseWithoutLength("200 OK", "") + REFUSAL},
    };
  }

  @Test(dataProvider = "secondResponses")
  public void secondResponseIsNotPartOfBodyWithoutLength(String bytes) throws Exception {
    assertEquals(callTo(bytes), FAILED);
  }

  /** Returns heads that are cut, with another response behind them. */
  @DataProvider
  public Object[][] cutHeads() {
    String head = "HTTP/1.1 200 OK\r\nServer: s\r\nContent-Type: text/plain\r\nAge: 1\r\n\r\n";
    return IntStream.rangeClosed(1, head.length() - 1)
        .mapToObj(length -> new Object[] {head.substring(0, length) + REFUSAL})
        .toArray(Object[][]::new);
  }

  /** The codec makes one head of both, with the status of the first. */
  @Test(dataProvider = "cutHeads")
  public void statusOfResponseThatWasCutIsNotStatusOfNext(String bytes) throws Exception {
    assertEquals(callTo(bytes), FAILED);
  }

  /** Returns bodies that quote responses, or have no length. */
  @DataProvider
  public Object[][] wholeBodies() {
    return new Object[][] {
      {LateServer.response("200 OK", REFUSAL), "200 " + REFUSAL.length()},
      {LateServer.response("200 OK", PAGE + PAGE), "200 " + 2 * PAGE.length()},
      {PAGE, "200 4"},
    };
  }

  @Test(dataProvider = "wholeBodies")
  public void wholeBodyIsDelivered(String bytes, String expected) throws Exception {
    assertEquals(callTo(bytes), expected);
  }

  private String callTo(String bytes) throws Exception {
    try (ScriptedTarget server = new ScriptedTarget(bytes + ScriptedTarget.THEN_CLOSE)) {
      return sender
          .send(server.address(), RequestHead.get("/a"), CallBody.buffered(new byte[0]), TIMEOUT)
          .flatMap(new ResponseBuffering(new ByteBudget(1_000_000))::bufferIfSmall)
          .map(response -> response.status() + " " + response.headers().get("content-length", "?"))
          .onErrorResume(
              RadishpostException.class, error -> Mono.just(error.getClass().getSimpleName()))
          .block(TIMEOUT);
    }
  }
}
