package org.radishpost.platform;

import static org.radishpost.feed.TestOffsets.at;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import org.radishpost.errors.StoreException;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import reactor.netty.resources.LoopResources;
import reactor.test.scheduler.VirtualTimeScheduler;

/** Tests that a late response of the store is never taken for the response to a later read. */
public class LateStoreResponseTest {
  private LoopResources loops;
  private VirtualTimeScheduler clock;

  /** Creates the threads. */
  @BeforeMethod
  public void start() {
    loops = LoopResources.create("late-store-test", 1, true);
    clock = VirtualTimeScheduler.create();
  }

  /** Releases the threads. */
  @AfterMethod
  public void stop() {
    loops.disposeLater(Duration.ZERO, Duration.ofSeconds(1)).block();
  }

  private StoreClient client(RepeatingStore store) {
    return new StoreClient(store.address(), clock, loops);
  }

  private List<String> read(StoreClient client, String topic, long from) throws Exception {
    awaitIdleConnections();
    return values(client.read(topic, at(from), Duration.ZERO).toFuture().get());
  }

  /** Waits until the only thread has returned the connections of earlier reads to their pool. */
  private void awaitIdleConnections() throws Exception {
    loops.onClient(true).next().submit(() -> {}).get();
  }

  private static List<String> values(KeyedPage page) {
    return page.records().stream()
        .map(record -> new String(record.value().orElseThrow(), StandardCharsets.ISO_8859_1))
        .toList();
  }

  /** The two topics are read over the same connections in turn. */
  @Test
  public void latePageOfOneTopicIsNotPageOfAnother() throws Exception {
    try (RepeatingStore store = new RepeatingStore(RepeatingStore.First.PAGE)) {
      StoreClient client = client(store);
      assertEquals(read(client, "a", 2), List.of("a2", "a3"));
      assertEquals(read(client, "b", 2), List.of("b2", "b3"));
    }
  }

  /** A page does not name its offsets, so its records would be applied a second time. */
  @Test
  public void latePageIsNotNextPageOfItsTopic() throws Exception {
    try (RepeatingStore store = new RepeatingStore(RepeatingStore.First.PAGE)) {
      StoreClient client = client(store);
      assertEquals(read(client, "a", 2), List.of("a2", "a3"));
      ExecutionException error = expectThrows(ExecutionException.class, () -> read(client, "a", 4));
      assertTrue(error.getCause() instanceof StoreException, error.toString());
      assertEquals(read(client, "a", 4), List.of());
    }
  }

  /** The offsets of a page that ends before its topic could be those of the next read. */
  @Test
  public void latePartialPageIsNotNextPageOfItsTopic() throws Exception {
    try (RepeatingStore store = new RepeatingStore(RepeatingStore.First.PARTIAL_PAGE)) {
      StoreClient client = client(store);
      assertEquals(read(client, "a", 1), List.of("a1"));
      assertEquals(read(client, "a", 2), List.of("a2", "a3"));
    }
  }

  @Test
  public void lateRefusalDoesNotFailNextRead() throws Exception {
    try (RepeatingStore store = new RepeatingStore(RepeatingStore.First.REFUSAL)) {
      StoreClient client = client(store);
      expectThrows(ExecutionException.class, () -> read(client, "a", 2));
      assertEquals(read(client, "a", 2), List.of("a2", "a3"));
    }
  }

  @Test
  public void pageAfterTimeoutIsNotPageOfNextRead() throws Exception {
    try (RepeatingStore store = new RepeatingStore(RepeatingStore.First.SILENCE)) {
      StoreClient client = client(store);
      CompletableFuture<KeyedPage> silent = client.read("a", at(0), Duration.ZERO).toFuture();
      store.awaitRequest();
      clock.advanceTimeBy(Duration.ofSeconds(1));
      expectThrows(ExecutionException.class, silent::get);
      assertEquals(read(client, "a", 2), List.of("a2", "a3"));
    }
  }
}
