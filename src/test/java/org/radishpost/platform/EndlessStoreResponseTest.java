package org.radishpost.platform;

import static org.radishpost.feed.TestOffsets.at;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.atomic.AtomicInteger;
import org.radishpost.errors.PlatformDocumentException;
import org.radishpost.errors.StoreException;
import org.radishpost.http.EndlessResponse;
import org.radishpost.http.EndlessResponses;
import org.radishpost.http.EndlessServer;
import org.radishpost.http.Listener;
import org.radishpost.lib.Endpoint;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServer;
import reactor.netty.resources.LoopResources;
import reactor.test.scheduler.VirtualTimeScheduler;

/**
 * Tests that a read of the store ends without the help of a timeout when bytes come without end
 * from its address.
 */
public class EndlessStoreResponseTest {
  private LoopResources loops;

  /** Creates the threads. */
  @BeforeMethod
  public void start() {
    loops = LoopResources.create("endless-test", 1, true);
  }

  /** Releases the threads. */
  @AfterMethod
  public void stop() {
    loops.disposeLater(Duration.ZERO, Duration.ofSeconds(1)).block();
  }

  /** Returns all responses that never end. */
  @DataProvider
  public Object[][] responses() {
    return EndlessResponses.all();
  }

  private StoreClient client(Endpoint address) {
    return new StoreClient(address, VirtualTimeScheduler.create(), loops);
  }

  @Test(dataProvider = "responses")
  public void readWithoutEndIsEndedByLimits(EndlessResponse endless) throws Exception {
    try (EndlessServer server = new EndlessServer(endless, "")) {
      Mono<KeyedPage> page = client(server.address()).read("t", at(0), Duration.ZERO);
      assertFails(page);
      assertTrue(server.awaitSentBytes() < EndlessServer.MAX_BYTES);
    }
  }

  @Test(dataProvider = "responses")
  public void snapshotWithoutEndIsEndedByLimits(EndlessResponse endless) throws Exception {
    try (EndlessServer server = new EndlessServer(endless, "")) {
      assertFails(client(server.address()).readSnapshot("t", 1));
      assertTrue(server.awaitSentBytes() < EndlessServer.MAX_BYTES);
    }
  }

  private static void assertFails(Mono<KeyedPage> page) {
    ExecutionException error = expectThrows(ExecutionException.class, () -> page.toFuture().get());
    boolean typed =
        error.getCause() instanceof StoreException
            || error.getCause() instanceof PlatformDocumentException;
    assertTrue(typed, String.valueOf(error.getCause()));
  }

  /** Each page is complete, but another one always follows. */
  @Test
  public void snapshotOfEndlesslyManyPagesIsEndedByLimits() throws Exception {
    AtomicInteger pages = new AtomicInteger();
    Listener listener = new Listener(new Endpoint("127.0.0.1", 0));
    Endpoint address =
        listener.start(
            HttpServer.create()
                .runOn(loops)
                .handle(
                    (request, response) ->
                        response.sendByteArray(Mono.just(page(pages.incrementAndGet())))));
    ExecutionException error =
        expectThrows(
            ExecutionException.class, () -> client(address).readSnapshot("t", 1).toFuture().get());
    assertEquals(error.getCause().getClass(), StoreException.class);
    listener.stop().block();
  }

  private static byte[] page(int number) {
    String value = "YWFh".repeat(250_000);
    String json =
        """
        {"items":[{"key":"k%d","value":"%s","offset":%d}],"has-more":true,"end":9}\
        """
            .formatted(number, value, number);
    return json.getBytes(StandardCharsets.UTF_8);
  }
}
