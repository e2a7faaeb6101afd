package org.radishpost.platform;

import static org.radishpost.feed.TestOffsets.at;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.radishpost.feed.Feed;
import org.radishpost.feed.KeyedRecord;
import org.radishpost.feed.Relay;
import org.radishpost.feed.TopicOffset;
import org.radishpost.lib.Endpoint;
import org.radishpost.lib.Place;
import org.radishpost.node.RuntimeClock;
import org.radishpost.slots.TestBrokers;
import org.radishpost.standin.KeyedStore;
import org.radishpost.standin.KeyedStoreServer;
import org.radishpost.standin.StoreFault;
import org.radishpost.suspects.CrashHistory;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import reactor.core.publisher.Mono;
import reactor.netty.resources.LoopResources;

/**
 * A store that was restored from an earlier backup assigns offsets again. A reader must not take
 * the records at these offsets for known ones, nor wait for an offset of the past.
 */
public class RestoredStoreTest {
  private static final String TOPIC = WireNames.OPERATOR_TOPIC;
  private static final String OTHER_TOPIC = WireNames.TARGET_TOPIC;
  private static final int TIMEOUT_SECONDS = 20;

  private final BlockingQueue<String> received = new LinkedBlockingQueue<>();
  private final BlockingQueue<String> receivedOfOther = new LinkedBlockingQueue<>();
  private final BlockingQueue<String> events = new LinkedBlockingQueue<>();
  private LoopResources loops;
  private KeyedStore store;
  private KeyedStoreServer server;
  private RuntimeClock clock;
  private StoreClient client;
  private TopicReader reader;
  private TopicReader otherReader;

  /**
   * Starts a store with one key in each topic, which another client reads first: until all classes
   * are loaded, a read may take longer than its timeout.
   */
  @BeforeMethod
  public void start() throws Exception {
    received.clear();
    receivedOfOther.clear();
    events.clear();
    loops = LoopResources.create("restored-store-test", 2, true);
    store = new KeyedStore();
    store.put(TOPIC, "a", "1");
    store.put(OTHER_TOPIC, "z", "0");
    server = new KeyedStoreServer(store, new Endpoint("127.0.0.1", 0), loops);
    Endpoint address = server.start();
    clock = new RuntimeClock().onDedicatedThread("restored-store-test");
    new StoreClient(address, clock, loops).readSnapshot(TOPIC, 0).retry().block();
    client = new StoreClient(address, clock, loops);
    reader = createReader(TOPIC, Feed.OPERATORS, Duration.ofMillis(50), received);
    otherReader = createReader(OTHER_TOPIC, Feed.TARGETS, Duration.ZERO, receivedOfOther);
  }

  private TopicReader createReader(
      String topic, Feed feed, Duration maxWait, BlockingQueue<String> lines) {
    return new TopicReader(
        topic,
        feed,
        client,
        () -> new PollTiming(maxWait, Duration.ofMillis(5)),
        new RecordingTopicListener(lines),
        new Relay(Place.of("k", "k-a"), TestBrokers.withoutTargets(), new CrashHistory(() -> 0)),
        this::onNewEra,
        clock,
        (code, fields) -> events.add(code.name()));
  }

  private void onNewEra(long era) {
    reader.startAnew(era);
    otherReader.startAnew(era);
  }

  /** Stops the readers and the store. */
  @AfterMethod
  public void stop() {
    onClock(reader::pause);
    onClock(otherReader::pause);
    server.stop().block();
    loops.disposeLater(Duration.ZERO, Duration.ofSeconds(1)).block();
  }

  private void onClock(Runnable task) {
    Mono.fromRunnable(task).subscribeOn(clock).block();
  }

  /** Returns how many records are written after the return, before the next read. */
  @DataProvider
  public Object[][] recordsAfterReturn() {
    return new Object[][] {
      {"below the offset of the reader", 1},
      {"equal to the offset of the reader", 2},
      {"above the offset of the reader", 3},
    };
  }

  /** The reader has read up to offset 3; the backup ends at 1. */
  @Test(dataProvider = "recordsAfterReturn")
  public void recordsAtReassignedOffsetsAreRead(String end, int count) throws Exception {
    final KeyedStore.Backup backup = store.backup();
    readUpToOffset3();
    onClock(reader::pause);
    store.restore(backup);
    StringBuilder expected = new StringBuilder("restored a=1");
    for (int i = 1; i <= count; i++) {
      store.put(TOPIC, "n" + i, "new");
      expected.append(" n").append(i).append("=new");
    }
    onClock(reader::resume);
    await(expected.toString());
    store.put(TOPIC, "last", "x");
    await("last=x");
  }

  @Test
  public void readerThatWasPausedForTwoReturnsStartsAnew() throws Exception {
    final KeyedStore.Backup backup = store.backup();
    readUpToOffset3();
    onClock(reader::pause);
    store.restore(backup);
    store.put(TOPIC, "b", "lost again");
    store.restore(backup);
    store.put(TOPIC, "b", "2");
    store.put(TOPIC, "d", "4");
    onClock(reader::resume);
    await("restored a=1 b=2 d=4");
    assertEquals(client.newestEra(), 3);
  }

  /** The store returns from a second backup while the reader still reads the first one. */
  @Test
  public void secondReturnDuringRecoveryStartsAnew() throws Exception {
    final KeyedStore.Backup backup = store.backup();
    readUpToOffset3();
    server.setFault(new StoreFault.ClosedConnection());
    await("lost");
    store.restore(backup);
    server.setFault(new StoreFault.DelayedResponse(Duration.ofMillis(200)));
    int requests = server.requestCount();
    while (server.requestCount() < requests + 2) {
      Thread.onSpinWait();
    }
    store.restore(backup);
    store.put(TOPIC, "d", "4");
    store.put(TOPIC, "e", "5");
    server.setFault(new StoreFault.None());
    awaitEventually("restored a=1 d=4 e=5");
    store.put(TOPIC, "last", "x");
    await("last=x");
  }

  /** The long poll of one topic would end with the next record only. */
  @Test
  public void longPollEndsAsSoonAsOtherTopicFindsReturn() throws Exception {
    reader = createReader(TOPIC, Feed.OPERATORS, Duration.ofHours(1), received);
    final KeyedStore.Backup backup = store.backup();
    readUpToOffset3();
    onClock(otherReader::resume);
    assertEquals(receivedOfOther.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS), "newest z=0");
    int requests = server.requestCount();
    while (server.requestCount() < requests + 4) {
      Thread.onSpinWait();
    }
    server.setFault(new StoreFault.NoResponse());
    store.restore(backup);
    store.put(TOPIC, "b", "2");
    store.put(TOPIC, "d", "4");
    server.setFault(new StoreFault.None());
    awaitEventually("restored a=1 b=2 d=4");
  }

  @Test
  public void storeWithoutErasIsReadAsBefore() throws Exception {
    server.omitEra();
    readUpToOffset3();
    assertEquals(client.newestEra(), 0);
    assertEquals(reader.nextOffset(), Optional.of(new TopicOffset(0, 3)));
  }

  @Test
  public void returnAndRecoveryAreReportedOnce() throws Exception {
    final KeyedStore.Backup backup = store.backup();
    readUpToOffset3();
    store.restore(backup);
    await("restored a=1");
    store.put(TOPIC, "b", "2");
    await("b=2");
    List<String> reported = new ArrayList<>(events);
    reported.removeIf(event -> event.equals("STORE_RESYNC"));
    assertEquals(reported, List.of("STORE_RESTORED", "STORE_RECOVERED"));
  }

  /** A relay that has not seen the return sends a snapshot and records of the lost era. */
  @Test
  public void dataOfLostEraFromRelayIsIgnored() throws Exception {
    final KeyedStore.Backup backup = store.backup();
    readUpToOffset3();
    store.restore(backup);
    store.put(TOPIC, "b", "2");
    awaitEventually("restored a=1 b=2");
    KeyedRecord lost = new KeyedRecord(at(7), "lost", Optional.of(new byte[] {'9'}));
    onClock(reader::pause);
    onClock(() -> reader.applySnapshot(List.of(lost), at(8)));
    onClock(() -> reader.applyRecords(List.of(lost)));
    onClock(() -> reader.advanceTo(at(9)));
    assertEquals(reader.nextOffset(), Optional.of(new TopicOffset(2, 2)));
    assertTrue(received.isEmpty(), received.toString());
  }

  /** A relay that has seen the return sends a snapshot of the new era, with a lower offset. */
  @Test
  public void snapshotOfNewEraFromRelayReplacesLostOne() throws Exception {
    readUpToOffset3();
    onClock(reader::pause);
    KeyedRecord record = new KeyedRecord(new TopicOffset(2, 1), "a", Optional.of(new byte[] {'1'}));
    onClock(() -> reader.applySnapshot(List.of(record), new TopicOffset(2, 2)));
    await("restored a=1");
    assertEquals(reader.nextOffset(), Optional.of(new TopicOffset(2, 2)));
  }

  private void readUpToOffset3() throws InterruptedException {
    onClock(reader::resume);
    await("newest a=1");
    store.put(TOPIC, "b", "2");
    await("b=2");
    store.put(TOPIC, "c", "3");
    await("c=3");
  }

  private void await(String expected) throws InterruptedException {
    assertEquals(received.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS), expected);
  }

  /** Waits for a line and leaves out all lines before it. */
  private void awaitEventually(String expected) throws InterruptedException {
    String line = received.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    while (line != null && !line.equals(expected)) {
      line = received.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }
    assertEquals(line, expected);
  }
}
