package org.radishpost.feed;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.radishpost.lib.Place;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** A relay sends each follower all that it misses, or turns it away. */
public class RelayTest {
  private Relay relay;
  private Noted follower;

  /** Creates a relay that has read the first records of both feeds in bulk. */
  @BeforeMethod
  public void create() {
    relay = new Relay(Place.of("k", "k-a"));
    relay.restarted(Feed.OPERATORS, 10);
    relay.restarted(Feed.TARGETS, 20);
    relay.tick(true);
    follower = new Noted();
  }

  @Test
  public void saysWhereItIsAndHowFar() {
    relay.connected(follower);
    assertEquals(
        follower.sent,
        List.of(
            new FeedMessage.Hello(Place.of("k", "k-a")),
            new FeedMessage.Beat(true, new Position(10, 20), false)));
  }

  @Test
  public void sendsWhatIsMissingThenWhatComes() {
    relay.published(Feed.TARGETS, List.of(record(20), record(22)), 25);
    relay.connected(follower);
    relay.received(follower, new FeedMessage.Subscribe(new Position(10, 21)));
    relay.published(Feed.TARGETS, List.of(record(25)), 30);
    assertEquals(
        follower.sent.subList(2, 5),
        List.of(
            new FeedMessage.Records(Feed.TARGETS, List.of(record(22))),
            new FeedMessage.Beat(true, new Position(10, 25), true),
            new FeedMessage.Records(Feed.TARGETS, List.of(record(25)))));
  }

  @Test
  public void followerThatIsTooFarBehindIsTurnedAway() {
    relay.connected(follower);
    relay.received(follower, new FeedMessage.Subscribe(new Position(9, 20)));
    assertTrue(follower.closed);
    assertEquals(relay.followers(), 0);
  }

  @Test
  public void followersAreLetGoWhenRecordsWereSkipped() {
    relay.connected(follower);
    relay.received(follower, new FeedMessage.Subscribe(new Position(10, 20)));
    relay.restarted(Feed.TARGETS, 500);
    assertTrue(follower.closed);
  }

  @Test
  public void relayThatDoesNotHearFromTheStoreSaysSo() {
    relay.connected(follower);
    relay.tick(false);
    assertEquals(follower.sent.getLast(), new FeedMessage.Beat(false, new Position(10, 20), false));
    relay.received(follower, new FeedMessage.Subscribe(new Position(10, 20)));
    assertTrue(follower.closed);
  }

  @Test
  public void oldRecordsAreForgotten() {
    RecentRecords recent = new RecentRecords(2);
    recent.restart(5);
    recent.add(List.of(record(5), record(6), record(8)), 9);
    assertEquals(recent.since(5), Optional.empty());
    assertEquals(recent.since(6), Optional.of(List.of(record(6), record(8))));
    assertEquals(recent.since(9), Optional.of(List.of()));
  }

  private static KeyedRecord record(long offset) {
    return new KeyedRecord(offset, "t-" + offset, Optional.empty());
  }

  private static final class Noted implements FeedLink {
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
