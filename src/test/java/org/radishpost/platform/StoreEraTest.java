package org.radishpost.platform;

import static org.radishpost.feed.TestOffsets.at;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Base64;
import java.util.List;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.ExecutionException;
import org.radishpost.errors.OutdatedResponseException;
import org.radishpost.errors.StoreException;
import org.radishpost.feed.KeyedRecord;
import org.radishpost.feed.TopicOffset;
import org.radishpost.lib.Endpoint;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.resources.LoopResources;
import reactor.test.scheduler.VirtualTimeScheduler;

/** Tests that only responses of the newest era of the store are used. */
public class StoreEraTest {
  private final Queue<CannedResponse> responses = new ArrayDeque<>();
  private LoopResources loops;
  private DisposableServer server;
  private StoreClient client;

  private record CannedResponse(int status, Optional<String> era, byte[] body) {}

  /** Starts a store that sends the prepared responses in order. */
  @BeforeMethod
  public void start() {
    responses.clear();
    loops = LoopResources.create("era-test", 1, true);
    server =
        HttpServer.create()
            .runOn(loops)
            .host("127.0.0.1")
            .port(0)
            .handle(
                (request, response) -> {
                  CannedResponse next = responses.remove();
                  next.era().ifPresent(era -> response.header(WireNames.STORE_ERA, era));
                  return response.status(next.status()).sendByteArray(Mono.just(next.body()));
                })
            .bindNow();
    Endpoint address = new Endpoint("127.0.0.1", server.port());
    client = new StoreClient(address, VirtualTimeScheduler.create(), loops);
  }

  /** Releases the threads. */
  @AfterMethod
  public void stop() {
    server.disposeNow();
    loops.disposeLater(Duration.ZERO, Duration.ofSeconds(1)).block();
  }

  /** It arrives on another connection than the response that named the new era. */
  @Test
  public void lateResponseOfEarlierEraIsDroppedAndCounted() throws Exception {
    respond(200, "2", emptyPage(5));
    respond(200, "1", emptyPage(9));
    assertEquals(read("a", at(5)).nextOffset(), new TopicOffset(2, 5));
    assertTrue(readError("b", at(9)) instanceof OutdatedResponseException);
    assertEquals(client.outdatedResponses(), 1);
    assertEquals(client.newestEra(), 2);
  }

  /** Its records may have been deleted in the earlier era only. */
  @Test
  public void lateDeletionOfEarlierEraIsDropped() {
    respond(410, "1", new byte[0]);
    assertTrue(readError("a", new TopicOffset(2, 5)) instanceof OutdatedResponseException);
  }

  @Test
  public void pagesOfDifferentErasAreNotOneSnapshot() throws Exception {
    respond(200, "1", snapshotPage("lost", true, 9));
    respond(200, "2", snapshotPage("other", false, 4));
    respond(200, "2", snapshotPage("kept", false, 4));
    KeyedPage page = client.readSnapshot("a", 0).toFuture().get();
    assertEquals(page.nextOffset(), new TopicOffset(2, 4));
    assertEquals(page.records().stream().map(KeyedRecord::key).toList(), List.of("kept"));
  }

  @Test
  public void snapshotOfEarlierEraThanRelayNamedIsDropped() {
    respond(200, "1", snapshotPage("lost", false, 9));
    ExecutionException error =
        expectThrows(ExecutionException.class, () -> client.readSnapshot("a", 2).toFuture().get());
    assertTrue(error.getCause() instanceof OutdatedResponseException);
  }

  @Test
  public void responseWithoutEraBelongsToKnownEra() throws Exception {
    responses.add(new CannedResponse(200, Optional.empty(), emptyPage(5)));
    assertEquals(read("a", new TopicOffset(4, 5)).nextOffset(), new TopicOffset(4, 5));
  }

  @Test
  public void eraThatIsNoNumberIsRejected() {
    respond(200, "second", emptyPage(5));
    Throwable error = readError("a", at(5));
    assertTrue(error instanceof StoreException, error.toString());
  }

  private void respond(int status, String era, byte[] body) {
    responses.add(new CannedResponse(status, Optional.of(era), body));
  }

  private KeyedPage read(String topic, TopicOffset from) throws Exception {
    return client.read(topic, from, Duration.ZERO).toFuture().get();
  }

  private Throwable readError(String topic, TopicOffset from) {
    return expectThrows(ExecutionException.class, () -> read(topic, from)).getCause();
  }

  private static byte[] emptyPage(long end) {
    return ByteBuffer.allocate(2 * Long.BYTES).putLong(end).putLong(0).array();
  }

  private static byte[] snapshotPage(String key, boolean hasMore, long end) {
    String value = Base64.getEncoder().encodeToString(key.getBytes(StandardCharsets.UTF_8));
    String items = "{\"key\":\"" + key + "\",\"value\":\"" + value + "\",\"offset\":1}";
    return ("{\"items\":[" + items + "],\"has-more\":" + hasMore + ",\"end\":" + end + "}")
        .getBytes(StandardCharsets.UTF_8);
  }
}
