package org.radishpost.direct;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.radishpost.config.Configuration;
import org.radishpost.feed.FeedCodec;
import org.radishpost.feed.FeedLink;
import org.radishpost.feed.FeedMessage;
import org.radishpost.feed.Relay;
import org.radishpost.feed.RelayDialer;
import org.radishpost.lib.Endpoint;
import org.radishpost.lib.Place;
import org.radishpost.placement.RouteServiceTimes;
import org.radishpost.placement.Target;
import org.radishpost.placement.TargetDirectory;
import org.radishpost.slots.SlotBroker;
import org.radishpost.suspects.CrashHistory;
import reactor.test.scheduler.VirtualTimeScheduler;

/** Relays with brokers of slots, and the network between them and the entries, in virtual time. */
final class SimulatedRelays {
  private static final Duration TICK_INTERVAL = Duration.ofMillis(250);

  private final VirtualTimeScheduler clock;
  private final Map<Endpoint, Place> places = new LinkedHashMap<>();
  private final Map<Endpoint, Relay> relays = new HashMap<>();
  private final Set<Endpoint> silent = new HashSet<>();

  /**
   * Creates one relay at each place.
   *
   * @param relayPlaces the places of the relays
   * @param registered the targets that the relays know
   */
  SimulatedRelays(
      List<Place> relayPlaces,
      List<Target> registered,
      VirtualTimeScheduler clock,
      SplittableRandom random) {
    this.clock = clock;
    for (Place place : relayPlaces) {
      Endpoint address = new Endpoint("10.9.0.1", 7000 + relays.size());
      Relay relay =
          new Relay(
              place,
              broker(registered, random.split()),
              new CrashHistory(() -> clock.now(TimeUnit.NANOSECONDS)));
      places.put(address, place);
      relays.put(address, relay);
      clock.schedulePeriodically(
          () -> relay.tick(true), 0, TICK_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
    }
  }

  private SlotBroker broker(List<Target> registered, SplittableRandom random) {
    TargetDirectory directory = new TargetDirectory((code, fields) -> {});
    directory.replaceAll(registered, clock.now(TimeUnit.NANOSECONDS));
    return new SlotBroker(
        directory,
        () -> new Configuration(1, Map.of(), Set.of()),
        new RouteServiceTimes(),
        () -> clock.now(TimeUnit.NANOSECONDS),
        (delayNanos, task) -> clock.schedule(task, delayNanos, TimeUnit.NANOSECONDS),
        random);
  }

  List<Endpoint> addresses() {
    return List.copyOf(places.keySet());
  }

  /** Makes some relays silent: connections stay open, but no message passes any more. */
  void silence(int count) {
    silent.addAll(addresses().subList(0, count));
  }

  /** Lets messages pass again on the connections that are opened from now on. */
  void restoreAll() {
    silent.clear();
  }

  /** Returns a dialer for an entry at a place. */
  RelayDialer dialer(Place entry) {
    return (address, listener) -> {
      boolean sameRegion = places.get(address).region().equals(entry.region());
      Duration delay = SimulatedTarget.roundTrip(sameRegion).dividedBy(2);
      ToEntry toEntry = new ToEntry(address, listener, delay);
      deliver(address, delay, () -> relays.get(address).connected(toEntry));
      return new ToRelay(address, toEntry, delay);
    };
  }

  private void deliver(Endpoint address, Duration delay, Runnable task) {
    clock.schedule(
        () -> {
          if (!silent.contains(address)) {
            task.run();
          }
        },
        delay.toNanos(),
        TimeUnit.NANOSECONDS);
  }

  /** Returns the message as it arrives after encoding and decoding. */
  private static FeedMessage transferred(FeedMessage message) {
    try {
      return FeedCodec.decode(FeedCodec.encode(message));
    } catch (org.radishpost.errors.LinkException e) {
      throw new IllegalStateException(e);
    }
  }

  /** The end of a connection at a relay. */
  private final class ToEntry implements FeedLink {
    private final Endpoint address;
    private final RelayDialer.Listener listener;
    private final Duration delay;

    private ToEntry(Endpoint address, RelayDialer.Listener listener, Duration delay) {
      this.address = address;
      this.listener = listener;
      this.delay = delay;
    }

    @Override
    public void send(FeedMessage message) {
      FeedMessage transferred = transferred(message);
      deliver(address, delay, () -> listener.received(transferred));
    }

    @Override
    public void close() {
      deliver(address, delay, listener::closed);
    }
  }

  /** The end of a connection at an entry. */
  private final class ToRelay implements FeedLink {
    private final Endpoint address;
    private final ToEntry other;
    private final Duration delay;

    private ToRelay(Endpoint address, ToEntry other, Duration delay) {
      this.address = address;
      this.other = other;
      this.delay = delay;
    }

    @Override
    public void send(FeedMessage message) {
      FeedMessage transferred = transferred(message);
      deliver(address, delay, () -> relays.get(address).received(other, transferred));
    }

    @Override
    public void close() {
      deliver(address, delay, () -> relays.get(address).closed(other));
    }
  }
}
