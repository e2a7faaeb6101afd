package org.radishpost.platform;

import static org.radishpost.feed.TestOffsets.at;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.ExecutionException;
import org.radishpost.errors.PlatformDocumentException;
import org.radishpost.errors.StoreException;
import org.radishpost.http.LateServer;
import org.radishpost.http.MalformedHeads;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import reactor.core.publisher.Mono;
import reactor.netty.resources.LoopResources;
import reactor.test.scheduler.VirtualTimeScheduler;

/** Tests that a page of the store without a length is an error if another response follows it. */
public class SecondStoreResponseTest {
  private static final String RECORD = "\1k" + "value that quotes HTTP/1.1 200 OK";
  private static final String SNAPSHOT = "{\"items\":[],\"has-more\":false,\"end\":7}";

  private LoopResources loops;

  /** Creates the threads. */
  @BeforeMethod
  public void start() {
    loops = LoopResources.create("second-store-test", 1, true);
  }

  /** Releases the threads. */
  @AfterMethod(alwaysRun = true)
  public void stop() {
    loops.disposeLater(Duration.ZERO, Duration.ofSeconds(1)).block();
  }

  /** Returns what the store sends behind a page without a length. */
  @DataProvider
  public Object[][] secondResponses() {
    return new Object[][] {
      {LateServer.response("503 Busy", "")},
      {LateServer.response("200 OK", page(1))},
      {LateServer.responseWithoutLength("200 OK", SNAPSHOT)},
    };
  }

  private static String page(int recordCount) {
    ByteBuffer page = ByteBuffer.allocate(1_024).putLong(recordCount).putLong(0);
    for (int i = 0; i < recordCount; i++) {
      page.putInt(RECORD.length()).put(RECORD.getBytes(StandardCharsets.ISO_8859_1));
    }
    return new String(page.array(), 0, page.position(), StandardCharsets.ISO_8859_1);
  }

  @Test(dataProvider = "secondResponses")
  public void snapshotBeforeSecondResponseIsError(String second) throws Exception {
    String bytes = LateServer.responseWithoutLength("200 OK", SNAPSHOT) + second;
    assertFails(bytes, store -> store.readSnapshot("t", 1));
  }

  @Test(dataProvider = "secondResponses")
  public void pageBeforeSecondResponseIsError(String second) throws Exception {
    String bytes = LateServer.responseWithoutLength("200 OK", page(1)) + second;
    assertFails(bytes, store -> store.read("t", at(0), Duration.ZERO));
  }

  /** The record takes its missing bytes from the response behind the page. */
  @Test
  public void recordThatWasCutIsNotFilledBySecondResponse() throws Exception {
    String cut = page(1).substring(0, page(1).length() - RECORD.length() + 4);
    String second = LateServer.response("503 B", "");
    String filling = second.substring(0, RECORD.length() - 4);
    String bytes = LateServer.responseWithoutLength("200 OK", cut) + filling;
    assertFails(bytes, store -> store.read("t", at(0), Duration.ZERO));
  }

  @Test
  public void pageWithoutLengthIsRead() throws Exception {
    String bytes = LateServer.responseWithoutLength("200 OK", page(2));
    assertEquals(read(bytes, store -> store.read("t", at(0), Duration.ZERO)).records().size(), 2);
  }

  @Test
  public void snapshotWithoutLengthIsRead() throws Exception {
    String bytes = LateServer.responseWithoutLength("200 OK", SNAPSHOT);
    assertEquals(read(bytes, store -> store.readSnapshot("t", 1)).nextOffset(), at(7));
  }

  @Test
  public void pageWithLengthMayQuoteResponse() throws Exception {
    String bytes = LateServer.response("200 OK", page(2));
    assertEquals(read(bytes, store -> store.read("t", at(0), Duration.ZERO)).records().size(), 2);
  }

  /** Returns pages whose head is malformed. */
  @DataProvider
  public Object[][] malformedPages() {
    return MalformedHeads.rows(LateServer.response("200 OK", page(1)));
  }

  @Test(dataProvider = "malformedPages")
  public void pageWithMalformedHeadIsError(String bytes) throws Exception {
    assertFails(bytes, store -> store.read("t", at(0), Duration.ZERO));
  }

  /** Returns snapshots whose head is malformed. */
  @DataProvider
  public Object[][] malformedSnapshots() {
    return MalformedHeads.rows(LateServer.response("200 OK", SNAPSHOT));
  }

  @Test(dataProvider = "malformedSnapshots")
  public void snapshotWithMalformedHeadIsError(String bytes) throws Exception {
    assertFails(bytes, store -> store.readSnapshot("t", 1));
  }

  private void assertFails(String bytes, Read read) {
    ExecutionException error = expectThrows(ExecutionException.class, () -> read(bytes, read));
    boolean typed =
        error.getCause() instanceof StoreException
            || error.getCause() instanceof PlatformDocumentException;
    assertTrue(typed, String.valueOf(error.getCause()));
  }

  private KeyedPage read(String bytes, Read read) throws Exception {
    try (LateServer server = new LateServer(head -> LateServer.Answer.last(bytes))) {
      StoreClient store = new StoreClient(server.address(), VirtualTimeScheduler.create(), loops);
      return read.from(store).toFuture().get();
    }
  }

  /** Reads something from a store. */
  private interface Read {
    Mono<KeyedPage> from(StoreClient store);
  }
}
