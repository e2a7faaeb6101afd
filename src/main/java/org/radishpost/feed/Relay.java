package org.radishpost.feed;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.radishpost.lib.Place;
import org.radishpost.slots.SlotBroker;
import org.radishpost.slots.SlotLink;
import org.radishpost.slots.SlotMessage;
import org.radishpost.suspects.CrashHistory;
import org.radishpost.suspects.CrashUpdate;

/**
 * Forwards the records that this VM reads from the store to its followers, offers the slots of the
 * targets of its region to all VMs, and informs all VMs of crashed targets.
 *
 * <p>The relay keeps the latest record of each key, as a snapshot for VMs that are starting, and a
 * bounded number of recent records. A follower that needs older records is disconnected and reads
 * the store itself until it has caught up. Confined to one thread.
 */
public final class Relay implements FeedPublisher {
  private static final int MAX_RECENT_RECORDS = 4_096;

  private final Place place;
  private final RecentFeedRecords recentOperators = new RecentFeedRecords(MAX_RECENT_RECORDS);
  private final RecentFeedRecords recentTargets = new RecentFeedRecords(MAX_RECENT_RECORDS);
  private final LatestRecords latestOperators = new LatestRecords();
  private final LatestRecords latestTargets = new LatestRecords();
  private final Set<FeedLink> links = new HashSet<>();
  private final Set<FeedLink> subscribers = new HashSet<>();
  private final Map<FeedLink, SlotLink> slotLinks = new HashMap<>();
  private final SlotBroker broker;
  private final CrashHistory crashes;
  private boolean storeReachable;

  /**
   * Creates a relay without followers.
   *
   * @param place the region and zone of this VM
   * @param broker offers the slots of the targets of this region
   * @param crashes the crashes of targets that this VM knows; the relay forwards what is added
   */
  public Relay(Place place, SlotBroker broker, CrashHistory crashes) {
    this.place = place;
    this.broker = broker;
    this.crashes = crashes;
    crashes.addListener((update, local) -> forward(update));
  }

  /** Handles a new connection from a VM, which may subscribe later. */
  public void connected(FeedLink link) {
    links.add(link);
    link.send(new FeedMessage.Hello(place));
    sendHeartbeat(link);
  }

  /** Removes a connection that was closed. */
  public void closed(FeedLink link) {
    links.remove(link);
    subscribers.remove(link);
    Optional.ofNullable(slotLinks.remove(link)).ifPresent(broker::closed);
  }

  /** Handles a message from a connected VM; an unexpected message closes the connection. */
  public void received(FeedLink link, FeedMessage message) {
    switch (message) {
      case FeedMessage.Subscribe subscribe -> subscribe(link, subscribe.from());
      case FeedMessage.SubscribeWithSnapshot request -> subscribeWithSnapshot(link);
      case FeedMessage.Slots slots -> receivedSlots(link, slots.message());
      case FeedMessage.Crashes received -> crashes.merge(received.update());
      case FeedMessage.Hello unexpected -> link.close();
      case FeedMessage.Heartbeat unexpected -> link.close();
      case FeedMessage.Records unexpected -> link.close();
      case FeedMessage.Snapshot unexpected -> link.close();
    }
  }

  private void receivedSlots(FeedLink link, SlotMessage message) {
    links.remove(link);
    if (!slotLinks.containsKey(link)) {
      slotLinks.put(link, toSlotLink(link));
      sendKnownCrashes(link);
    }
    broker.received(slotLinks.get(link), message);
  }

  private void sendKnownCrashes(FeedLink link) {
    CrashUpdate known = crashes.snapshot();
    if (!known.isEmpty()) {
      link.send(new FeedMessage.Crashes(known));
    }
  }

  private void forward(CrashUpdate update) {
    List.copyOf(slotLinks.keySet()).forEach(link -> link.send(new FeedMessage.Crashes(update)));
  }

  private static SlotLink toSlotLink(FeedLink link) {
    return message -> link.send(new FeedMessage.Slots(message));
  }

  private void subscribeWithSnapshot(FeedLink link) {
    Optional<List<KeyedRecord>> operatorsSnapshot = latestOperators.snapshot();
    Optional<List<KeyedRecord>> targetsSnapshot = latestTargets.snapshot();
    if (!storeReachable || operatorsSnapshot.isEmpty() || targetsSnapshot.isEmpty()) {
      link.close();
      return;
    }
    subscribers.add(link);
    link.send(
        new FeedMessage.Snapshot(
            Feed.OPERATORS, operatorsSnapshot.get(), recentOperators.nextOffset()));
    link.send(
        new FeedMessage.Snapshot(Feed.TARGETS, targetsSnapshot.get(), recentTargets.nextOffset()));
    sendHeartbeat(link);
  }

  private void subscribe(FeedLink link, Position from) {
    Optional<List<FeedRecord>> operatorsSince = recentOperators.since(from.operators());
    Optional<List<FeedRecord>> targetsSince = recentTargets.since(from.targets());
    if (!storeReachable || operatorsSince.isEmpty() || targetsSince.isEmpty()) {
      link.close();
      return;
    }
    subscribers.add(link);
    sendRecords(link, Feed.OPERATORS, operatorsSince.get());
    sendRecords(link, Feed.TARGETS, targetsSince.get());
    sendHeartbeat(link);
  }

  @Override
  public void publishRecords(
      Feed feed,
      List<KeyedRecord> records,
      List<? extends FeedRecord> forwarded,
      TopicOffset nextOffset) {
    recent(feed).add(forwarded, nextOffset);
    latest(feed).add(records);
    List.copyOf(subscribers).forEach(link -> sendRecords(link, feed, forwarded));
  }

  @Override
  public void publishSnapshot(Feed feed, List<KeyedRecord> snapshot, TopicOffset nextOffset) {
    resetTo(feed, nextOffset);
    latest(feed).reset(snapshot);
  }

  @Override
  public void resetTo(Feed feed, TopicOffset nextOffset) {
    recent(feed).resetTo(nextOffset);
    latest(feed).clear();
    List<FeedLink> disconnected = List.copyOf(subscribers);
    subscribers.clear();
    disconnected.forEach(FeedLink::close);
  }

  /**
   * Sends a heartbeat on every connection that is not used for slots; called periodically.
   *
   * @param nowReachable whether the store has responded to this VM recently
   */
  public void tick(boolean nowReachable) {
    storeReachable = nowReachable;
    broker.tick();
    List.copyOf(links).forEach(this::sendHeartbeat);
  }

  /** Returns the number of followers. */
  public int followerCount() {
    return subscribers.size();
  }

  private void sendHeartbeat(FeedLink link) {
    Position position = new Position(recentOperators.nextOffset(), recentTargets.nextOffset());
    link.send(new FeedMessage.Heartbeat(storeReachable, position, subscribers.contains(link)));
  }

  private RecentFeedRecords recent(Feed feed) {
    return switch (feed) {
      case OPERATORS -> recentOperators;
      case TARGETS -> recentTargets;
    };
  }

  private LatestRecords latest(Feed feed) {
    return switch (feed) {
      case OPERATORS -> latestOperators;
      case TARGETS -> latestTargets;
    };
  }

  private static void sendRecords(FeedLink link, Feed feed, List<? extends FeedRecord> records) {
    if (!records.isEmpty()) {
      link.send(new FeedMessage.Records(feed, List.copyOf(records)));
    }
  }
}
