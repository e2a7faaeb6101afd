package org.radishpost.direct;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.radishpost.events.EventCode;
import org.radishpost.feed.FeedLink;
import org.radishpost.feed.FeedMessage;
import org.radishpost.feed.RelayDialer;
import org.radishpost.lib.Endpoint;
import org.radishpost.lib.Place;
import org.radishpost.lib.RegionName;
import org.radishpost.lib.ZoneName;
import org.radishpost.placement.TargetId;
import org.radishpost.slots.SlotMessage;
import org.radishpost.slots.SlotOutcome;
import org.radishpost.slots.SlotRefusalReason;
import org.radishpost.suspects.CrashHistory;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import reactor.test.scheduler.VirtualTimeScheduler;

/** Tests which broker a VM asks, and what it does when the broker does not reply. */
public class SlotClientTest {
  private static final Endpoint LOCAL = new Endpoint("10.0.0.1", 1);
  private static final Endpoint REMOTE = new Endpoint("10.0.0.2", 1);
  private static final Place LOCAL_PLACE = Place.of("k", "k-a");
  private static final Place REMOTE_PLACE = Place.of("l", "l-a");
  private static final RegionName REGION = LOCAL_PLACE.region();

  private final Map<Endpoint, FakeRelay> relays = new HashMap<>();
  private VirtualTimeScheduler clock;
  private SlotClient client;
  private List<SlotReply> replies;
  private List<EventCode> events;

  /** Connects a client to two relays. */
  @BeforeMethod
  public void connect() {
    relays.clear();
    replies = new ArrayList<>();
    events = new ArrayList<>();
    clock = VirtualTimeScheduler.create();
    client =
        new SlotClient(
            new ZoneName("k-a"),
            (relay, listener) -> new FakeRelay(relay, listener),
            clock,
            new SplittableRandom(1),
            (code, fields) -> events.add(code),
            new CrashHistory(() -> clock.now(TimeUnit.NANOSECONDS)));
    client.setRelays(List.of(LOCAL, REMOTE));
    relays.get(LOCAL).listener.received(new FeedMessage.Hello(LOCAL_PLACE));
    relays.get(REMOTE).listener.received(new FeedMessage.Hello(REMOTE_PLACE));
  }

  private void request() {
    client
        .request(
            new SlotDemand(
                REGION,
                TestCalls.SERVICE,
                "r",
                Set.of(),
                Duration.ofMillis(300),
                Duration.ofMillis(500),
                false,
                Duration.ofSeconds(2)))
        .subscribe(replies::add);
  }

  @Test
  public void relayOfTheRegionIsAsked() {
    request();
    assertEquals(relays.get(LOCAL).requests(), 1);
    assertEquals(relays.get(REMOTE).requests(), 0);
  }

  @Test
  public void offeredSlotIsReturnedOnce() {
    request();
    TargetId target = new TargetId("t");
    relays
        .get(LOCAL)
        .reply(
            new SlotMessage.Offer(
                1, List.of(new SlotMessage.OfferedTarget(target, Optional.empty()))));
    OfferedSlots slots = ((SlotReply.Offered) replies.getFirst()).slots();
    slots.release(target, SlotOutcome.SUCCEEDED, Duration.ZERO, Optional.empty());
    slots.release(target, SlotOutcome.FAILED, Duration.ZERO, Optional.empty());
    slots.cancel();
    assertEquals(
        relays.get(LOCAL).sent.getLast(),
        new SlotMessage.Release(1, target, SlotOutcome.SUCCEEDED, Duration.ZERO, Optional.empty()));
  }

  @Test
  public void queuedRequestWaitsForItsSlot() {
    request();
    relays.get(LOCAL).reply(new SlotMessage.Queued(1));
    clock.advanceTimeBy(Duration.ofMillis(499));
    assertEquals(replies, List.of());
    relays.get(LOCAL).reply(new SlotMessage.Refusal(1, SlotRefusalReason.FULL));
    assertEquals(replies, List.of(new SlotReply.Full()));
  }

  @Test
  public void otherRelayIsAskedWhileTheNearestDoesNotReply() {
    request();
    clock.advanceTimeBy(Duration.ofMillis(100));
    assertEquals(replies, List.of(new SlotReply.Unavailable()));
    assertTrue(relays.get(LOCAL).closed);
    assertEquals(
        events,
        List.of(EventCode.BROKER_CONNECTED, EventCode.BROKER_CONNECTED, EventCode.BROKER_LOST));
    request();
    assertEquals(relays.get(REMOTE).requests(), 1);
  }

  @Test
  public void closedConnectionIsOpenedAgain() {
    FakeRelay first = relays.get(LOCAL);
    request();
    first.listener.closed();
    assertEquals(replies, List.of(new SlotReply.Unavailable()));
    clock.advanceTimeBy(Duration.ofSeconds(2));
    client.tick();
    assertTrue(relays.get(LOCAL) != first);
    relays.get(LOCAL).listener.received(new FeedMessage.Hello(LOCAL_PLACE));
    request();
    assertEquals(relays.get(LOCAL).requests(), 1);
  }

  /** A relay that has started again numbers nothing itself: the numbers are those of this VM. */
  @Test
  public void lateOfferOfEarlierConnectionIsNotOfferOfLaterRequest() {
    FakeRelay first = relays.get(LOCAL);
    request();
    first.listener.closed();
    clock.advanceTimeBy(Duration.ofSeconds(2));
    client.tick();
    relays.get(LOCAL).listener.received(new FeedMessage.Hello(LOCAL_PLACE));
    request();
    SlotMessage.Offer late =
        new SlotMessage.Offer(
            1, List.of(new SlotMessage.OfferedTarget(new TargetId("t"), Optional.empty())));
    first.reply(late);
    relays.get(LOCAL).reply(late);
    assertEquals(replies, List.of(new SlotReply.Unavailable()));
    relays.get(LOCAL).reply(new SlotMessage.Refusal(2, SlotRefusalReason.FULL));
    assertEquals(replies.getLast(), new SlotReply.Full());
  }

  private static SlotMessage.Offer offer(long id, String target) {
    return new SlotMessage.Offer(
        id, List.of(new SlotMessage.OfferedTarget(new TargetId(target), Optional.empty())));
  }

  private static List<String> offeredTargets(SlotReply reply) {
    return ((SlotReply.Offered) reply)
        .slots().targets().stream().map(target -> target.target().value()).toList();
  }

  @Test
  public void repliesInOtherOrderReachTheirRequests() {
    request();
    request();
    FakeRelay relay = relays.get(LOCAL);
    relay.reply(offer(2, "b"));
    relay.reply(new SlotMessage.Queued(2));
    relay.reply(offer(1, "a"));
    assertEquals(offeredTargets(replies.get(0)), List.of("b"));
    assertEquals(offeredTargets(replies.get(1)), List.of("a"));
  }

  @Test
  public void repeatedReplyIsNotReplyToNextRequest() {
    request();
    FakeRelay relay = relays.get(LOCAL);
    relay.reply(offer(1, "a"));
    request();
    relay.reply(offer(1, "a"));
    relay.reply(new SlotMessage.Refusal(1, SlotRefusalReason.FULL));
    assertEquals(replies.size(), 1);
    relay.reply(offer(2, "b"));
    assertEquals(offeredTargets(replies.get(1)), List.of("b"));
  }

  @Test
  public void connectionWithoutFirstMessageIsClosed() {
    FakeRelay first = relays.get(LOCAL);
    first.listener.closed();
    clock.advanceTimeBy(Duration.ofSeconds(2));
    client.tick();
    FakeRelay silent = relays.get(LOCAL);
    clock.advanceTimeBy(Duration.ofSeconds(3));
    client.tick();
    assertTrue(silent.closed);
  }

  @Test
  public void cancelledRequestIsWithdrawn() {
    client
        .request(
            new SlotDemand(
                REGION,
                TestCalls.SERVICE,
                "r",
                Set.of(),
                Duration.ZERO,
                Duration.ZERO,
                false,
                Duration.ZERO))
        .subscribe()
        .dispose();
    assertEquals(relays.get(LOCAL).sent.getLast(), new SlotMessage.Cancel(1));
  }

  @Test
  public void removedRelayIsNotAsked() {
    client.setRelays(List.of());
    assertTrue(relays.get(LOCAL).closed);
    assertFalse(client.available(REGION));
  }

  /** A relay whose replies are sent by the test. */
  private final class FakeRelay implements FeedLink {
    private final RelayDialer.Listener listener;
    private final List<SlotMessage> sent = new ArrayList<>();
    private boolean closed;

    private FakeRelay(Endpoint address, RelayDialer.Listener listener) {
      this.listener = listener;
      relays.put(address, this);
    }

    private void reply(SlotMessage message) {
      listener.received(new FeedMessage.Slots(message));
    }

    private long requests() {
      return sent.stream().filter(SlotMessage.Request.class::isInstance).count();
    }

    @Override
    public void send(FeedMessage message) {
      sent.add(((FeedMessage.Slots) message).message());
    }

    @Override
    public void close() {
      closed = true;
    }
  }
}
