package org.radishpost.feed;

import static org.radishpost.feed.TestOffsets.at;
import static org.radishpost.feed.TestOffsets.position;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.radishpost.lib.Digest;
import org.radishpost.lib.Place;
import org.radishpost.placement.TargetId;
import org.radishpost.slots.SlotMessage;
import org.radishpost.slots.TestBrokers;
import org.radishpost.suspects.CrashHistory;
import org.radishpost.suspects.CrashId;
import org.radishpost.suspects.CrashReport;
import org.radishpost.suspects.CrashUpdate;
import org.radishpost.suspects.LostRequest;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** A relay sends a follower all records that it lacks, or closes the connection. */
public class RelayTest {
  private CrashHistory crashes;
  private Relay relay;
  private FakeLink follower;

  /** Creates a relay that has read a snapshot of both feeds. */
  @BeforeMethod
  public void create() {
    crashes = new CrashHistory(() -> 0);
    relay = new Relay(Place.of("k", "k-a"), TestBrokers.withoutTargets(), crashes);
    relay.publishSnapshot(Feed.OPERATORS, List.of(record(7)), at(10));
    relay.publishSnapshot(Feed.TARGETS, List.of(record(18), record(19)), at(20));
    relay.tick(true);
    follower = new FakeLink();
  }

  @Test
  public void sendsPlaceAndPositionOnConnect() {
    relay.connected(follower);
    assertEquals(
        follower.sent,
        List.of(
            new FeedMessage.Hello(Place.of("k", "k-a")),
            new FeedMessage.Heartbeat(true, position(10, 20), false)));
  }

  @Test
  public void sendsMissedRecordsThenNewOnes() {
    relay.publishRecords(
        Feed.TARGETS,
        List.of(record(20), record(21), record(22)),
        List.of(record(20), record(22)),
        at(25));
    relay.connected(follower);
    relay.received(follower, new FeedMessage.Subscribe(position(10, 21)));
    relay.publishRecords(Feed.TARGETS, List.of(record(25)), List.of(record(25)), at(30));
    assertEquals(
        follower.sent.subList(2, 5),
        List.of(
            new FeedMessage.Records(Feed.TARGETS, List.of(record(22))),
            new FeedMessage.Heartbeat(true, position(10, 25), true),
            new FeedMessage.Records(Feed.TARGETS, List.of(record(25)))));
  }

  /** A follower did not know the newest sequence number of a target that left. */
  @Test
  public void sendsMissedRenewals() {
    KeyedRecord renewed = new KeyedRecord(at(20), "t", Optional.of(new byte[] {1}));
    RenewalRecord renewal = new RenewalRecord(at(20), "t", 7);
    relay.publishRecords(Feed.TARGETS, List.of(renewed), List.of(renewal), at(21));
    relay.connected(follower);
    relay.received(follower, new FeedMessage.Subscribe(position(10, 20)));
    assertEquals(follower.sent.get(2), new FeedMessage.Records(Feed.TARGETS, List.of(renewal)));
  }

  @Test
  public void rejectsFollowerThatIsTooFarBehind() {
    relay.connected(follower);
    relay.received(follower, new FeedMessage.Subscribe(position(9, 20)));
    assertTrue(follower.closed);
    assertEquals(relay.followerCount(), 0);
  }

  @Test
  public void disconnectsFollowersWhenRecordsAreSkipped() {
    relay.connected(follower);
    relay.received(follower, new FeedMessage.Subscribe(position(10, 20)));
    relay.resetTo(Feed.TARGETS, at(500));
    assertTrue(follower.closed);
  }

  /** Until its connection is closed, such a follower must not take the new position for its own. */
  @Test
  public void followersOfEarlierEraAreNotAdvanced() {
    relay.connected(follower);
    relay.received(follower, new FeedMessage.Subscribe(position(10, 20)));
    relay.publishSnapshot(Feed.TARGETS, List.of(), new TopicOffset(2, 5));
    assertTrue(follower.closed);
    relay.tick(true);
    assertEquals(
        follower.sent.getLast(),
        new FeedMessage.Heartbeat(true, new Position(at(10), new TopicOffset(2, 5)), false));
  }

  @Test
  public void rejectsSubscriptionOfAnotherEra() {
    relay.publishSnapshot(Feed.TARGETS, List.of(), new TopicOffset(2, 5));
    relay.connected(follower);
    relay.received(follower, new FeedMessage.Subscribe(position(10, 20)));
    assertTrue(follower.closed);
    assertEquals(relay.followerCount(), 0);
  }

  @Test
  public void reportsUnreachableStoreAndRejectsSubscriptions() {
    relay.connected(follower);
    relay.tick(false);
    assertEquals(
        follower.sent.getLast(), new FeedMessage.Heartbeat(false, position(10, 20), false));
    relay.received(follower, new FeedMessage.Subscribe(position(10, 20)));
    assertTrue(follower.closed);
  }

  @Test
  public void sendsLatestRecordOfEachKeyAsSnapshot() {
    KeyedRecord first = new KeyedRecord(at(20), "t", Optional.of(new byte[] {1}));
    KeyedRecord updated = new KeyedRecord(at(21), "t", Optional.of(new byte[] {2}));
    KeyedRecord other = new KeyedRecord(at(22), "u", Optional.of(new byte[] {3}));
    KeyedRecord deleted = new KeyedRecord(at(23), "u", Optional.empty());
    relay.publishRecords(Feed.TARGETS, List.of(first), List.of(first), at(21));
    relay.publishRecords(
        Feed.TARGETS, List.of(updated, other, deleted), List.of(other, deleted), at(24));
    relay.connected(follower);
    relay.received(follower, new FeedMessage.SubscribeWithSnapshot());
    assertEquals(
        follower.sent.subList(2, 5),
        List.of(
            new FeedMessage.Snapshot(Feed.OPERATORS, List.of(), at(10)),
            new FeedMessage.Snapshot(Feed.TARGETS, List.of(updated), at(24)),
            new FeedMessage.Heartbeat(true, position(10, 24), true)));
    relay.publishRecords(Feed.OPERATORS, List.of(record(10)), List.of(record(10)), at(11));
    assertEquals(
        follower.sent.getLast(), new FeedMessage.Records(Feed.OPERATORS, List.of(record(10))));
  }

  @Test
  public void rejectsSnapshotRequestAfterSkippedRecords() {
    relay.resetTo(Feed.OPERATORS, at(15));
    relay.connected(follower);
    relay.received(follower, new FeedMessage.SubscribeWithSnapshot());
    assertTrue(follower.closed);
    assertEquals(relay.followerCount(), 0);
  }

  @Test
  public void rejectsSnapshotRequestWhenSnapshotIsTooLarge() {
    List<KeyedRecord> many = new ArrayList<>();
    for (int i = 0; i <= LatestRecords.MAX_SNAPSHOT_RECORDS; i++) {
      many.add(new KeyedRecord(at(i), "t-" + i, Optional.of(new byte[0])));
    }
    relay.publishSnapshot(Feed.TARGETS, many, at(many.size()));
    relay.connected(follower);
    relay.received(follower, new FeedMessage.SubscribeWithSnapshot());
    assertTrue(follower.closed);
  }

  @Test
  public void rejectsSnapshotRequestWhenStoreIsUnreachable() {
    relay.tick(false);
    relay.connected(follower);
    relay.received(follower, new FeedMessage.SubscribeWithSnapshot());
    assertTrue(follower.closed);
  }

  @Test
  public void dropsOldestRecordsBeyondLimit() {
    RecentFeedRecords recent = new RecentFeedRecords(2);
    recent.resetTo(at(5));
    recent.add(List.of(record(5), record(6), record(8)), at(9));
    assertEquals(recent.since(at(5)), Optional.empty());
    assertEquals(recent.since(at(6)), Optional.of(List.of(record(6), record(8))));
    assertEquals(recent.since(at(9)), Optional.of(List.of()));
  }

  @Test
  public void sendsKnownCrashesOnConnectAndForwardsNewOnesOnce() {
    LostRequest request = new LostRequest(Digest.of("r"), 0);
    crashes.recordCrash(new CrashId(new TargetId("t-1"), 0), 0, List.of(request));
    FakeLink other = new FakeLink();
    for (FakeLink link : List.of(follower, other)) {
      relay.connected(link);
      relay.received(link, new FeedMessage.Slots(new SlotMessage.Open()));
    }
    assertEquals(follower.sent.getLast(), new FeedMessage.Crashes(crashes.snapshot()));
    CrashUpdate update =
        new CrashUpdate(
            List.of(
                new CrashReport(
                    new CrashId(new TargetId("t-2"), 0),
                    0,
                    List.of(new CrashReport.Lost(request.fingerprint(), 0)))),
            List.of());
    int sentBefore = other.sent.size();
    relay.received(follower, new FeedMessage.Crashes(update));
    relay.received(follower, new FeedMessage.Crashes(update));
    assertEquals(
        other.sent.subList(sentBefore, other.sent.size()),
        List.of(new FeedMessage.Crashes(update)));
  }

  private static KeyedRecord record(long offset) {
    return new KeyedRecord(at(offset), "t-" + offset, Optional.empty());
  }

  private static final class FakeLink implements FeedLink {
    private final List<FeedMessage> sent = new ArrayList<>();
    private boolean closed;

    @Override
    public void send(FeedMessage message) {
      sent.add(message);
    }

    @Override
    public void close() {
      closed = true;
    }
  }
}
