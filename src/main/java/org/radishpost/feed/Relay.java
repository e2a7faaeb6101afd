package org.radishpost.feed;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.radishpost.lib.Place;

/**
 * Passes the records that this VM reads on to the VMs that follow it.
 *
 * <p>It keeps the newest record of each key, for a VM that has just started, and the records of
 * late: a follower that is further behind reads the store itself until it has caught up. Confined
 * to one thread.
 */
public final class Relay implements FeedPublisher {
  private static final int RECENT_RECORDS = 4_096;

  private final Place place;
  private final RecentRecords operators = new RecentRecords(RECENT_RECORDS);
  private final RecentRecords targets = new RecentRecords(RECENT_RECORDS);
  private final NewestRecords newestOperators = new NewestRecords();
  private final NewestRecords newestTargets = new NewestRecords();
  private final Set<FeedLink> links = new HashSet<>();
  private final Set<FeedLink> subscribed = new HashSet<>();
  private boolean fresh;

  /**
   * Creates a relay without followers.
   *
   * @param place where this VM runs
   */
  public Relay(Place place) {
    this.place = place;
  }

  /** Takes a new connection of a VM that may follow. */
  public void connected(FeedLink link) {
    links.add(link);
    link.send(new FeedMessage.Hello(place));
    beat(link);
  }

  /** Takes note that a connection was closed. */
  public void closed(FeedLink link) {
    links.remove(link);
    subscribed.remove(link);
  }

  /** Takes a message of a VM that may follow. */
  public void received(FeedLink link, FeedMessage message) {
    switch (message) {
      case FeedMessage.Subscribe subscribe -> subscribe(link, subscribe.from());
      case FeedMessage.SubscribeAnew anew -> subscribeAnew(link);
      case FeedMessage.Hello unasked -> link.close();
      case FeedMessage.Beat unasked -> link.close();
      case FeedMessage.Records unasked -> link.close();
      case FeedMessage.Newest unasked -> link.close();
    }
  }

  private void subscribeAnew(FeedLink link) {
    Optional<List<KeyedRecord>> allOperators = newestOperators.all();
    Optional<List<KeyedRecord>> allTargets = newestTargets.all();
    if (!fresh || allOperators.isEmpty() || allTargets.isEmpty()) {
      link.close();
      return;
    }
    subscribed.add(link);
    link.send(new FeedMessage.Newest(Feed.OPERATORS, allOperators.get(), operators.next()));
    link.send(new FeedMessage.Newest(Feed.TARGETS, allTargets.get(), targets.next()));
    beat(link);
  }

  private void subscribe(FeedLink link, Position from) {
    Optional<List<KeyedRecord>> operatorsSince = operators.since(from.operators());
    Optional<List<KeyedRecord>> targetsSince = targets.since(from.targets());
    if (!fresh || operatorsSince.isEmpty() || targetsSince.isEmpty()) {
      link.close();
      return;
    }
    subscribed.add(link);
    sendRecords(link, Feed.OPERATORS, operatorsSince.get());
    sendRecords(link, Feed.TARGETS, targetsSince.get());
    beat(link);
  }

  @Override
  public void published(
      Feed feed, List<KeyedRecord> records, List<KeyedRecord> changes, long next) {
    recent(feed).add(changes, next);
    newest(feed).add(records);
    List.copyOf(subscribed).forEach(link -> sendRecords(link, feed, changes));
  }

  @Override
  public void began(Feed feed, List<KeyedRecord> newest, long next) {
    restarted(feed, next);
    newest(feed).begin(newest);
  }

  @Override
  public void restarted(Feed feed, long next) {
    recent(feed).restart(next);
    newest(feed).forget();
    List.copyOf(subscribed).forEach(FeedLink::close);
  }

  /**
   * Lets time pass: sends a heartbeat to every connection.
   *
   * @param nowFresh whether this VM has heard from the store just now
   */
  public void tick(boolean nowFresh) {
    fresh = nowFresh;
    List.copyOf(links).forEach(this::beat);
  }

  /** Returns how many VMs follow. */
  public int followers() {
    return subscribed.size();
  }

  private void beat(FeedLink link) {
    Position upTo = new Position(operators.next(), targets.next());
    link.send(new FeedMessage.Beat(fresh, upTo, subscribed.contains(link)));
  }

  private RecentRecords recent(Feed feed) {
    return switch (feed) {
      case OPERATORS -> operators;
      case TARGETS -> targets;
    };
  }

  private NewestRecords newest(Feed feed) {
    return switch (feed) {
      case OPERATORS -> newestOperators;
      case TARGETS -> newestTargets;
    };
  }

  private static void sendRecords(FeedLink link, Feed feed, List<KeyedRecord> records) {
    if (!records.isEmpty()) {
      link.send(new FeedMessage.Records(feed, records));
    }
  }
}
