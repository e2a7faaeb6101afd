package org.radishpost.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.radishpost.errors.RadishpostException;
import org.radishpost.lib.Endpoint;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** Tests that a late copy of a response is never taken for the response to a later request. */
public class LateResponseTest {
  private static final Duration TIMEOUT = Duration.ofSeconds(20);

  private SenderFixture fixture;

  /** Creates a sender with the options of an entry. */
  @BeforeMethod
  public void createSender() {
    fixture = new SenderFixture("late-response-test");
  }

  /** Closes the connections and threads. */
  @AfterMethod
  public void close() {
    fixture.close();
  }

  /**
   * The caller repeats a request with the same ID while a copy of the first response is on its way.
   */
  @Test
  public void lateSuccessOfFirstTryIsNotResponseToSecondTry() throws Exception {
    try (RepeatingTarget target = new RepeatingTarget(RepeatingTarget.Ids.ALL)) {
      assertEquals(call(target, "GET", "a"), "200 1");
      assertEquals(call(target, "GET", "a"), "500 2");
    }
  }

  /** The same ID returns after others. */
  @Test
  public void lateSuccessOfMuchEarlierTryIsNotResponseToNextTry() throws Exception {
    try (RepeatingTarget target = new RepeatingTarget(RepeatingTarget.Ids.ALL)) {
      assertEquals(call(target, "GET", "a"), "200 1");
      assertEquals(call(target, "GET", "b"), "500 2");
      assertEquals(call(target, "GET", "a"), "500 3");
    }
  }

  @Test
  public void sameIdTwiceAtOnceGetsBothResponses() throws Exception {
    try (RepeatingTarget target = new RepeatingTarget(RepeatingTarget.Ids.ALL)) {
      List<String> results =
          Flux.merge(send(target, "GET", "a"), send(target, "GET", "a"))
              .collectSortedList()
              .block(TIMEOUT);
      assertEquals(results, List.of("200 1", "500 2"));
      assertEquals(target.connectionCount(), 2);
    }
  }

  /** More tries than connections: each try replaces one that has carried the ID. */
  @Test
  public void sameIdManyTimesAtOnceIsAnsweredOverNewConnections() throws Exception {
    int tries = 5 * SenderFixture.MAX_CONNECTIONS;
    try (RepeatingTarget target = new RepeatingTarget(RepeatingTarget.Ids.ALL)) {
      List<String> results =
          Flux.range(0, tries)
              .flatMap(number -> send(target, "GET", "a"), SenderFixture.MAX_CONNECTIONS)
              .distinct()
              .collectList()
              .block(TIMEOUT);
      assertEquals(results.size(), tries);
      assertEquals(target.connectionCount(), tries);
    }
  }

  @Test
  public void lateSuccessWithoutIdIsNotResponseToNextRequest() throws Exception {
    try (RepeatingTarget target = new RepeatingTarget(RepeatingTarget.Ids.FIRST_ONLY)) {
      assertEquals(call(target, "GET", "a"), "200 1");
      assertEquals(call(target, "GET", "b"), "ConnectionLostException");
      assertEquals(call(target, "GET", "b"), "500 3");
    }
  }

  @Test
  public void responseWithoutIdFailsAtOnce() throws Exception {
    try (RepeatingTarget target = new RepeatingTarget(RepeatingTarget.Ids.NONE)) {
      assertEquals(call(target, "GET", "a"), "ConnectionLostException");
      assertEquals(call(target, "GET", "b"), "ConnectionLostException");
    }
  }

  /** Returns the methods of two requests in a row. */
  @DataProvider
  public Object[][] methods() {
    return new Object[][] {
      {"HEAD", "GET", "200 ", "500 2"},
      {"GET", "HEAD", "200 1", "500 "},
      {"HEAD", "HEAD", "200 ", "500 "},
    };
  }

  /** The codec takes a copy of the response to a HEAD request for a response with a body. */
  @Test(dataProvider = "methods")
  public void lateResponseToHeadLeavesNextResponseWhole(
      String firstMethod, String secondMethod, String firstResult, String secondResult)
      throws Exception {
    try (RepeatingTarget target = new RepeatingTarget(RepeatingTarget.Ids.ALL)) {
      assertEquals(call(target, firstMethod, "a"), firstResult);
      assertEquals(call(target, secondMethod, "b"), secondResult);
    }
  }

  /** A HEAD request must not cost the idle connections, whose loss makes a target look lost. */
  @Test
  public void headRequestLeavesOtherConnectionsOpen() throws Exception {
    try (RepeatingTarget target = new RepeatingTarget(RepeatingTarget.Ids.ALL)) {
      List<Endpoint> closed = new CopyOnWriteArrayList<>();
      fixture.sender().closedAddresses().subscribe(closed::add);
      call(target, "GET", "a");
      call(target, "HEAD", "b");
      call(target, "GET", "c");
      call(target, "HEAD", "d");
      assertEquals(target.connectionCount(), 3);
      assertEquals(closed, List.of());
    }
  }

  private String call(RepeatingTarget target, String method, String id) throws Exception {
    fixture.awaitIdleConnections();
    return send(target, method, id).block(TIMEOUT);
  }

  private Mono<String> send(RepeatingTarget target, String method, String id) {
    RequestHead get = RequestHead.get("/a").withField("x-request-id", id);
    RequestHead head = new RequestHead(method, get.target(), get.headers());
    return fixture
        .sender()
        .send(target.address(), head, CallBody.buffered(new byte[0]), TIMEOUT)
        .flatMap(LateResponseTest::text)
        .onErrorResume(
            error -> {
              assertTrue(error instanceof RadishpostException, error.toString());
              return Mono.just(error.getClass().getSimpleName());
            });
  }

  private static Mono<String> text(Response response) {
    return response
        .body()
        .map(LateResponseTest::take)
        .reduce(response.status() + " ", String::concat);
  }

  private static String take(ByteBuf bytes) {
    try {
      return bytes.toString(StandardCharsets.ISO_8859_1);
    } finally {
      bytes.release();
    }
  }
}
