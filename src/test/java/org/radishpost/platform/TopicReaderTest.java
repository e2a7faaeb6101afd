package org.radishpost.platform;

import static org.radishpost.feed.TestOffsets.at;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.radishpost.feed.Feed;
import org.radishpost.feed.KeyedRecord;
import org.radishpost.feed.Relay;
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
import org.testng.annotations.Test;
import reactor.core.publisher.Mono;
import reactor.netty.resources.LoopResources;

/** Reading a topic through outages, timeouts and deletions of the store. */
public class TopicReaderTest {
  private static final String TOPIC = WireNames.TARGET_TOPIC;
  private static final int TIMEOUT_SECONDS = 30;

  private final BlockingQueue<String> received = new LinkedBlockingQueue<>();
  private LoopResources loops;
  private KeyedStore store;
  private KeyedStoreServer server;
  private RuntimeClock clock;
  private StoreClient client;
  private TopicReader reader;

  /** Starts a store with one key. */
  @BeforeMethod
  public void start() throws Exception {
    received.clear();
    loops = LoopResources.create("topic-test", 2, true);
    store = new KeyedStore();
    store.put(TOPIC, "a", "1");
    server = new KeyedStoreServer(store, new Endpoint("127.0.0.1", 0), loops);
    Endpoint address = server.start();
    clock = new RuntimeClock().onDedicatedThread("topic-test");
    client = new StoreClient(address, clock, loops);
    reader = createReader(Duration.ofMillis(50));
  }

  private TopicReader createReader(Duration maxWait) {
    return new TopicReader(
        TOPIC,
        Feed.TARGETS,
        client,
        () -> new PollTiming(maxWait, Duration.ofMillis(5)),
        new RecordingTopicListener(received),
        new Relay(Place.of("k", "k-a"), TestBrokers.withoutTargets(), new CrashHistory(() -> 0)),
        era -> reader.startAnew(era),
        clock,
        (code, fields) -> received.add(code.name()));
  }

  /** Stops the reader and the store. */
  @AfterMethod
  public void stop() {
    Mono.fromRunnable(reader::pause).subscribeOn(clock).block();
    server.stop().block();
    loops.disposeLater(Duration.ZERO, Duration.ofSeconds(1)).block();
  }

  @Test
  public void readsSnapshotThenNewRecords() throws Exception {
    reader.resume();
    await("newest a=1");
    store.put(TOPIC, "b", "2");
    await("b=2");
    store.delete(TOPIC, "a");
    await("a dropped");
  }

  @Test
  public void rereadsSnapshotAfterRecordsWereDeleted() throws Exception {
    reader.resume();
    await("newest a=1");
    server.setFault(new StoreFault.ErrorResponse(503));
    await("lost");
    store.put(TOPIC, "b", "2");
    store.compact(TOPIC);
    server.setFault(new StoreFault.None());
    await("STORE_RESYNC");
    await("back");
    await("newest a=1 b=2");
  }

  @Test
  public void reportsOutageOnceAndKeepsState() throws Exception {
    reader.resume();
    await("newest a=1");
    server.setFault(new StoreFault.ClosedConnection());
    await("lost");
    awaitCalls(server.requestCount() + 3);
    server.setFault(new StoreFault.None());
    await("back");
    store.put(TOPIC, "c", "3");
    await("c=3");
  }

  @Test
  public void retriesReadThatTimedOut() throws Exception {
    server.setFault(new StoreFault.NoResponse());
    reader.resume();
    await("lost");
    server.setFault(new StoreFault.None());
    await("back");
    await("newest a=1");
  }

  /** A long poll that starts during an outage may never return, even after the store recovers. */
  @Test
  public void sendsNoLongPollWhileStoreIsLost() throws Exception {
    reader = createReader(Duration.ofHours(1));
    reader.resume();
    awaitCalls(2);
    server.setFault(new StoreFault.ErrorResponse(503));
    store.put(TOPIC, "b", "2");
    await("newest a=1");
    await("b=2");
    await("lost");
    server.setFault(new StoreFault.NoResponse());
    awaitCalls(server.requestCount() + 1);
    server.setFault(new StoreFault.None());
    await("back");
  }

  @Test
  public void snapshotFromAnotherVmReplacesFirstRead() throws Exception {
    KeyedRecord record = new KeyedRecord(at(0), "a", Optional.of(new byte[] {'9'}));
    Mono.fromRunnable(() -> reader.applySnapshot(List.of(record), at(1)))
        .subscribeOn(clock)
        .block();
    await("newest a=9");
    assertEquals(server.requestCount(), 0);
    Mono.fromRunnable(() -> reader.applySnapshot(List.of(), at(0))).subscribeOn(clock).block();
    store.put(TOPIC, "b", "2");
    Mono.fromRunnable(reader::resume).subscribeOn(clock).block();
    await("b=2");
  }

  @Test
  public void readsManyPagesAndKeysWithSpecialCharacters() throws Exception {
    for (int i = 0; i < 1_200; i++) {
      store.put(TOPIC, String.format("key %04d&x=%%1", i), "v");
    }
    reader.resume();
    String all = received.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    assertEquals(all.split("=v", -1).length - 1, 1_200);
  }

  private void awaitCalls(int minCalls) {
    while (server.requestCount() < minCalls) {
      Thread.onSpinWait();
    }
  }

  private void await(String expected) throws InterruptedException {
    String next = received.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    while (next != null && !next.equals(expected)) {
      boolean storeEvent = List.of("STORE_LOST", "STORE_REGAINED", "STORE_RESYNC").contains(next);
      assertTrue(storeEvent, "'" + next + "' was received instead of '" + expected + "'");
      next = received.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }
    assertEquals(next, expected);
  }
}
