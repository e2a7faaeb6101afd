package org.radishpost.feed;

import static org.radishpost.feed.TestOffsets.at;
import static org.radishpost.feed.TestOffsets.position;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.radishpost.lib.Endpoint;
import org.radishpost.lib.Place;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** A follower selects the nearest usable relay and otherwise reads the store itself. */
public class FollowerTest {
  private static final Endpoint SELF = new Endpoint("10.0.0.9", 1);
  private static final Endpoint NEAR_RELAY = new Endpoint("10.0.0.1", 1);
  private static final Endpoint FAR_RELAY = new Endpoint("10.0.1.1", 1);
  private static final long TICK_NANOS = 250_000_000L;

  private long now;
  private FakeReader reader;
  private FakeDialer dialer;
  private Follower follower;

  /** Creates a follower with a relay in its own region and one in another. */
  @BeforeMethod
  public void create() {
    now = 5_000_000_000L;
    reader = new FakeReader();
    dialer = new FakeDialer();
    follower =
        new Follower(
            Place.of("near", "near-a"),
            reader,
            dialer,
            () -> now,
            new SplittableRandom(1),
            (code, fields) -> reader.calls.add(code.name()));
    follower.setRelays(Optional.of(SELF), List.of(FAR_RELAY, NEAR_RELAY));
  }

  @Test
  public void followsTheNearestRelay() {
    followNearRelay();
    assertEquals(reader.calls, List.of("pause", "RELAY_FOLLOWED"));
    assertEquals(dialer.openLinks.keySet(), java.util.Set.of(NEAR_RELAY));
    assertEquals(
        dialer.openLinks.get(NEAR_RELAY).sent,
        List.of(new FeedMessage.Subscribe(position(10, 20))));
  }

  @Test
  public void appliesRecordsFromTheRelay() {
    followNearRelay();
    KeyedRecord record = new KeyedRecord(at(21), "t-1", Optional.empty());
    dialer
        .openLinks
        .get(NEAR_RELAY)
        .listener
        .received(new FeedMessage.Records(Feed.TARGETS, List.of(record)));
    assertEquals(reader.calls.getLast(), "TARGETS t-1");
  }

  @Test
  public void doesNotSubscribeToRelayThatIsBehind() {
    tick();
    receiveHello(NEAR_RELAY, "near");
    receiveHeartbeat(NEAR_RELAY, true, position(10, 19));
    tick();
    receiveHeartbeat(NEAR_RELAY, true, position(9, 30));
    assertEquals(dialer.openLinks.get(NEAR_RELAY).sent, List.of());
    receiveHeartbeat(NEAR_RELAY, true, position(10, 20));
    assertEquals(dialer.openLinks.get(NEAR_RELAY).sent.size(), 1);
    assertFalse(follower.isFollowing());
  }

  /**
   * After a pause of the VM, the follower receives a batch of heartbeats that the relay sent before
   * it received the subscription. Advancing to their positions would skip records.
   */
  @Test
  public void heartbeatSentBeforeSubscriptionDoesNotAdvancePosition() {
    tick();
    receiveHello(NEAR_RELAY, "near");
    receiveHeartbeat(NEAR_RELAY, true, position(10, 20));
    tick();
    receiveHeartbeat(NEAR_RELAY, true, position(10, 20));
    receiveHeartbeat(NEAR_RELAY, true, position(10, 25));
    assertEquals(reader.position, Optional.of(position(10, 20)));
    assertFalse(follower.isFollowing());
    receiveCompleteHeartbeat(NEAR_RELAY, position(10, 25));
    assertEquals(reader.position, Optional.of(position(10, 25)));
    assertTrue(follower.isFollowing());
  }

  @Test
  public void readsStoreWhenRelayTimesOut() {
    followNearRelay();
    tick();
    tick();
    assertTrue(follower.isFollowing());
    tick();
    assertFalse(follower.isFollowing());
    assertEquals(reader.calls.subList(2, 4), List.of("RELAY_LEFT", "resume"));
    assertTrue(dialer.openLinks.isEmpty());
  }

  @Test
  public void readsStoreWhenRelayCannotReachStore() {
    followNearRelay();
    receiveHeartbeat(NEAR_RELAY, false, position(10, 20));
    assertFalse(follower.isFollowing());
    assertEquals(reader.calls.getLast(), "resume");
  }

  @Test
  public void redialsAfterBackoffWhenConnectionIsClosed() {
    followNearRelay();
    dialer.openLinks.get(NEAR_RELAY).listener.closed();
    assertFalse(follower.isFollowing());
    int dials = dialer.dialCount;
    tick();
    assertEquals(dialer.dialCount, dials);
    now += 2_000_000_000L;
    tick();
    assertEquals(dialer.dialCount, dials + 2);
  }

  @Test
  public void ignoresMessagesFromDisconnectedRelay() {
    followNearRelay();
    RelayDialer.Listener disconnected = dialer.openLinks.get(NEAR_RELAY).listener;
    receiveHeartbeat(NEAR_RELAY, false, position(10, 20));
    disconnected.received(new FeedMessage.Heartbeat(true, position(99, 99), true));
    KeyedRecord record = new KeyedRecord(at(21), "t-1", Optional.empty());
    disconnected.received(new FeedMessage.Records(Feed.TARGETS, List.of(record)));
    assertEquals(reader.calls.getLast(), "resume");
    assertEquals(reader.position, Optional.of(position(10, 20)));
  }

  @Test
  public void backsOffWhenNoRelayIsReachable() {
    tick();
    List.copyOf(dialer.openLinks.values()).forEach(link -> link.listener.closed());
    int dials = dialer.dialCount;
    tick();
    tick();
    assertEquals(dialer.dialCount, dials);
  }

  @Test
  public void relayDoesNotFollowOtherRelays() {
    follower.setRelays(Optional.of(NEAR_RELAY), List.of(FAR_RELAY, NEAR_RELAY));
    tick();
    assertEquals(dialer.dialCount, 0);
    assertTrue(follower.isRelay());
  }

  @Test
  public void readsStoreWhenFollowerBecomesRelay() {
    followNearRelay();
    follower.setRelays(Optional.of(SELF), List.of(SELF));
    assertFalse(follower.isFollowing());
    assertEquals(reader.calls.getLast(), "resume");
  }

  @Test
  public void requestsSnapshotWhenItHasNoPosition() {
    reader.position = Optional.empty();
    tick();
    receiveHello(NEAR_RELAY, "near");
    receiveHeartbeat(NEAR_RELAY, true, position(0, 0));
    tick();
    receiveHeartbeat(NEAR_RELAY, true, position(0, 0));
    assertEquals(
        dialer.openLinks.get(NEAR_RELAY).sent, List.of(new FeedMessage.SubscribeWithSnapshot()));
    assertFalse(follower.isFollowing());
  }

  @Test
  public void prefersRelayThatReachesStoreOverNearerRelay() {
    tick();
    receiveHello(NEAR_RELAY, "near");
    receiveHello(FAR_RELAY, "far");
    receiveHeartbeat(NEAR_RELAY, false, position(10, 20));
    receiveHeartbeat(FAR_RELAY, true, position(10, 20));
    tick();
    assertEquals(dialer.openLinks.keySet(), java.util.Set.of(FAR_RELAY));
  }

  @Test
  public void startupLoadsSnapshotFromNearestRelay() {
    reader.position = Optional.empty();
    follower.start();
    receiveHello(NEAR_RELAY, "near");
    receiveHello(FAR_RELAY, "far");
    receiveHeartbeat(NEAR_RELAY, true, position(10, 20));
    receiveHeartbeat(FAR_RELAY, true, position(10, 20));
    tick();
    FakeDialer.FakeLink near = dialer.openLinks.get(NEAR_RELAY);
    assertEquals(near.sent, List.of(new FeedMessage.SubscribeWithSnapshot()));
    receiveHeartbeat(NEAR_RELAY, true, position(10, 21));
    assertEquals(reader.position, Optional.empty());
    near.listener.received(new FeedMessage.Snapshot(Feed.OPERATORS, List.of(), at(10)));
    near.listener.received(new FeedMessage.Snapshot(Feed.TARGETS, List.of(), at(21)));
    receiveCompleteHeartbeat(NEAR_RELAY, position(10, 21));
    assertEquals(
        reader.calls,
        List.of(
            "pause",
            "RELAY_FOLLOWED",
            "newest OPERATORS 0 before 10",
            "newest TARGETS 0 before 21"));
    assertTrue(follower.isFollowing());
  }

  @Test
  public void startupReadsStoreWhenNoRelayRespondsInTime() {
    follower.start();
    for (int i = 0; i < 3; i++) {
      tick();
      assertEquals(reader.calls, List.of());
    }
    tick();
    assertEquals(reader.calls, List.of("resume"));
    assertTrue(dialer.openLinks.isEmpty());
    tick();
    assertEquals(reader.calls, List.of("resume"));
  }

  @Test
  public void retriesRelaysWhileStoreIsUnavailable() {
    reader.position = Optional.empty();
    follower.start();
    for (int i = 0; i < 4; i++) {
      tick();
    }
    now += 2_000_000_000L;
    tick();
    receiveHello(NEAR_RELAY, "near");
    receiveHeartbeat(NEAR_RELAY, true, position(10, 20));
    tick();
    assertEquals(
        dialer.openLinks.get(NEAR_RELAY).sent, List.of(new FeedMessage.SubscribeWithSnapshot()));
  }

  @Test
  public void startupRedialsRelaysThatAreStarting() {
    reader.position = Optional.empty();
    follower.start();
    List.copyOf(dialer.openLinks.values()).forEach(link -> link.listener.closed());
    int dials = dialer.dialCount;
    tick();
    assertEquals(dialer.dialCount, dials + 2);
    receiveHello(FAR_RELAY, "far");
    receiveHeartbeat(FAR_RELAY, true, position(10, 20));
    tick();
    assertEquals(
        dialer.openLinks.get(FAR_RELAY).sent, List.of(new FeedMessage.SubscribeWithSnapshot()));
  }

  @Test
  public void startupReadsStoreWhenRelayClosesConnection() {
    follower.start();
    receiveHello(NEAR_RELAY, "near");
    receiveHeartbeat(NEAR_RELAY, true, position(10, 20));
    tick();
    dialer.openLinks.get(NEAR_RELAY).listener.closed();
    assertEquals(reader.calls, List.of("resume"));
  }

  @Test
  public void startupReadsStoreWhenRelayFailsDuringSnapshot() {
    follower.start();
    receiveHello(NEAR_RELAY, "near");
    receiveHeartbeat(NEAR_RELAY, true, position(10, 20));
    tick();
    FakeDialer.FakeLink near = dialer.openLinks.get(NEAR_RELAY);
    near.listener.received(new FeedMessage.Snapshot(Feed.OPERATORS, List.of(), at(10)));
    near.listener.closed();
    assertEquals(reader.calls.getLast(), "resume");
    assertFalse(follower.isFollowing());
  }

  @Test
  public void startingRelayReadsStore() {
    follower.setRelays(Optional.of(NEAR_RELAY), List.of(FAR_RELAY, NEAR_RELAY));
    follower.start();
    assertEquals(reader.calls, List.of("resume"));
    assertEquals(dialer.dialCount, 0);
  }

  /** The offsets of the relay are higher, but say nothing: the store has assigned them anew. */
  @Test
  public void doesNotSubscribeToRelayOfEarlierEra() {
    reader.position = Optional.of(new Position(new TopicOffset(2, 5), new TopicOffset(2, 6)));
    tick();
    receiveHello(NEAR_RELAY, "near");
    receiveHeartbeat(NEAR_RELAY, true, position(10, 20));
    tick();
    receiveHeartbeat(NEAR_RELAY, true, position(11, 21));
    assertEquals(dialer.openLinks.get(NEAR_RELAY).sent, List.of());
    Position restored = new Position(new TopicOffset(2, 5), new TopicOffset(2, 6));
    receiveHeartbeat(NEAR_RELAY, true, restored);
    assertEquals(
        dialer.openLinks.get(NEAR_RELAY).sent, List.of(new FeedMessage.Subscribe(restored)));
  }

  /** A VM that has not seen the return of the store must read what the relay cannot send. */
  @Test
  public void doesNotSubscribeToRelayOfLaterEra() {
    tick();
    receiveHello(NEAR_RELAY, "near");
    Position restored = new Position(new TopicOffset(2, 30), new TopicOffset(2, 30));
    receiveHeartbeat(NEAR_RELAY, true, restored);
    tick();
    receiveHeartbeat(NEAR_RELAY, true, restored);
    assertEquals(dialer.openLinks.get(NEAR_RELAY).sent, List.of());
  }

  @Test
  public void leavesRelayWhosePositionIsOfAnotherEra() {
    followNearRelay();
    receiveCompleteHeartbeat(
        NEAR_RELAY, new Position(new TopicOffset(2, 30), new TopicOffset(2, 30)));
    assertFalse(follower.isFollowing());
    assertEquals(reader.calls.getLast(), "resume");
    assertEquals(reader.position, Optional.of(position(10, 20)));
  }

  private void followNearRelay() {
    tick();
    receiveHello(NEAR_RELAY, "near");
    receiveHello(FAR_RELAY, "far");
    receiveHeartbeat(NEAR_RELAY, true, position(10, 20));
    receiveHeartbeat(FAR_RELAY, true, position(10, 20));
    tick();
    receiveHeartbeat(NEAR_RELAY, true, position(10, 20));
    receiveCompleteHeartbeat(NEAR_RELAY, position(10, 20));
    assertTrue(follower.isFollowing());
  }

  private void tick() {
    now += TICK_NANOS;
    follower.tick();
  }

  private void receiveHello(Endpoint relay, String region) {
    dialer
        .openLinks
        .get(relay)
        .listener
        .received(new FeedMessage.Hello(Place.of(region, region + "-b")));
  }

  private void receiveHeartbeat(Endpoint relay, boolean storeReachable, Position position) {
    dialer
        .openLinks
        .get(relay)
        .listener
        .received(new FeedMessage.Heartbeat(storeReachable, position, false));
  }

  private void receiveCompleteHeartbeat(Endpoint relay, Position position) {
    dialer.openLinks.get(relay).listener.received(new FeedMessage.Heartbeat(true, position, true));
  }
}
