package org.radishpost.direct;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.radishpost.events.EventCode;
import org.radishpost.events.EventField;
import org.radishpost.events.EventSink;
import org.radishpost.feed.FeedLink;
import org.radishpost.feed.FeedMessage;
import org.radishpost.feed.RelayDialer;
import org.radishpost.lib.Endpoint;
import org.radishpost.lib.Place;
import org.radishpost.lib.RegionName;
import org.radishpost.lib.ZoneName;
import org.radishpost.slots.SlotMessage;
import org.radishpost.slots.SlotRefusalReason;
import org.radishpost.suspects.CrashHistory;
import org.radishpost.suspects.CrashUpdate;
import reactor.core.Disposable;
import reactor.core.Disposables;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;
import reactor.core.scheduler.Scheduler;

/**
 * The connection of this VM to one broker, which is opened again after it was closed.
 *
 * <p>A connection without a reply in time is closed, because it may have become silent for good.
 * The broker is not asked for a while then, so that calls are not delayed by it. Confined to the
 * clock's thread.
 */
final class BrokerConnection {
  /** A request is acknowledged within a round trip and this time. */
  private static final Duration REPLY_TIMEOUT = Duration.ofMillis(50);

  /** Maximum time from opening a connection until the first message of the relay. */
  private static final long MAX_OPENING_NANOS = TimeUnit.SECONDS.toNanos(2);

  private static final long PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  /** Spreads the VMs, so that they do not return to a broker at the same time. */
  private static final long PAUSE_JITTER_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);

  private final Endpoint address;
  private final ZoneName zone;
  private final RelayDialer dialer;
  private final Scheduler clock;
  private final RandomGenerator random;
  private final EventSink events;
  private final CrashHistory crashes;
  private final Map<Long, PendingRequest> pending = new HashMap<>();
  private Optional<Connection> current = Optional.empty();
  private long lastRequestId;
  private long pausedUntilNanos;

  /**
   * Creates a connection that is not open yet.
   *
   * @param address the address of the relay
   * @param zone the zone of this VM
   * @param dialer opens the connection
   * @param clock provides time and timers
   * @param random the source of jitter for retries
   * @param events receives an event when the broker becomes available or unavailable
   * @param crashes the crashes that this VM knows, exchanged with the relay
   */
  BrokerConnection(
      Endpoint address,
      ZoneName zone,
      RelayDialer dialer,
      Scheduler clock,
      RandomGenerator random,
      EventSink events,
      CrashHistory crashes) {
    this.address = address;
    this.zone = zone;
    this.dialer = dialer;
    this.clock = clock;
    this.random = random;
    this.events = events;
    this.crashes = crashes;
    this.pausedUntilNanos = clock.now(TimeUnit.NANOSECONDS);
  }

  /** Opens the connection if it is closed and the pause after its end is over. */
  void tick(long nowNanos) {
    current
        .filter(connection -> connection.silent(nowNanos))
        .ifPresent(connection -> connection.close("no message from the relay"));
    if (current.isEmpty() && nowNanos - pausedUntilNanos >= 0) {
      Connection connection = new Connection();
      current = Optional.of(connection);
      connection.open();
    }
  }

  /** Returns whether the broker can be asked now. */
  boolean usable(long nowNanos) {
    return nowNanos - pausedUntilNanos >= 0 && place().isPresent();
  }

  /** Returns whether the relay runs in the region. */
  boolean isIn(RegionName region) {
    return place().filter(place -> place.region().equals(region)).isPresent();
  }

  /** Returns the rank of the relay among those that can stand in for the relay of a region. */
  int rank(RegionName region) {
    return (address + "/" + region.value()).hashCode();
  }

  private Optional<Place> place() {
    return current.flatMap(connection -> connection.place);
  }

  /** Requests a slot. */
  Mono<SlotReply> request(SlotDemand demand) {
    return Mono.create(sink -> start(demand, sink));
  }

  /** Closes the connection for good. */
  void close() {
    current.ifPresent(connection -> connection.close("the relay is no longer listed"));
  }

  /** Sends an update to the relay. Without an open connection, it is part of what is sent later. */
  void sendUpdate(CrashUpdate update) {
    if (place().isPresent()) {
      current.get().link.send(new FeedMessage.Crashes(update));
    }
  }

  private void start(SlotDemand demand, MonoSink<SlotReply> sink) {
    long id = ++lastRequestId;
    PendingRequest request = new PendingRequest(sink, demand.maxWait());
    pending.put(id, request);
    request.timeout.update(schedule(REPLY_TIMEOUT, () -> timedOut(id)));
    sink.onCancel(() -> withdraw(id));
    send(
        new SlotMessage.Request(
            id,
            demand.region(),
            demand.service(),
            demand.route(),
            zone,
            demand.excluded(),
            demand.respondWithin(),
            demand.maxWait(),
            demand.hasAlternative(),
            demand.lifetime()));
  }

  private void withdraw(long id) {
    PendingRequest request = pending.remove(id);
    if (request != null) {
      request.timeout.dispose();
      send(new SlotMessage.Cancel(id));
    }
  }

  private void timedOut(long id) {
    PendingRequest request = pending.get(id);
    withdraw(id);
    request.sink.success(new SlotReply.Unavailable());
    current.ifPresent(connection -> connection.close("no reply in time"));
  }

  private void pause() {
    pausedUntilNanos =
        clock.now(TimeUnit.NANOSECONDS) + PAUSE_NANOS + random.nextLong(PAUSE_JITTER_NANOS);
  }

  private void send(SlotMessage message) {
    current.ifPresent(connection -> connection.link.send(new FeedMessage.Slots(message)));
  }

  private Disposable schedule(Duration delay, Runnable task) {
    return clock.schedule(task, delay.toMillis(), TimeUnit.MILLISECONDS);
  }

  private void received(SlotMessage message) {
    switch (message) {
      case SlotMessage.Queued queued -> queued(queued.id());
      case SlotMessage.Offer offer -> offered(offer);
      case SlotMessage.Refusal refusal -> complete(refusal.id(), reply(refusal.reason()));
      case SlotMessage.Open unexpected -> {}
      case SlotMessage.Request unexpected -> {}
      case SlotMessage.Cancel unexpected -> {}
      case SlotMessage.Release unexpected -> {}
    }
  }

  private void queued(long id) {
    PendingRequest request = pending.get(id);
    if (request != null) {
      Duration timeout = request.maxWait.plus(REPLY_TIMEOUT);
      request.timeout.update(schedule(timeout, () -> timedOut(id)));
    }
  }

  private void offered(SlotMessage.Offer offer) {
    complete(offer.id(), new SlotReply.Offered(new OfferedSlots(offer, this::send)));
  }

  private static SlotReply reply(SlotRefusalReason reason) {
    return switch (reason) {
      case FULL -> new SlotReply.Full();
      case NO_TARGET -> new SlotReply.Unavailable();
    };
  }

  private void complete(long id, SlotReply reply) {
    PendingRequest request = pending.remove(id);
    if (request != null) {
      request.timeout.dispose();
      request.sink.success(reply);
    }
  }

  private void closed(Connection connection, String reason) {
    if (current.filter(connection::equals).isEmpty()) {
      return;
    }
    if (connection.place.isPresent()) {
      events.emit(
          EventCode.BROKER_LOST,
          EventField.of("relay", address),
          EventField.of("pending", pending.size()),
          EventField.of("why", reason));
    }
    current = Optional.empty();
    pause();
    List<Long> lost = List.copyOf(pending.keySet());
    lost.forEach(id -> complete(id, new SlotReply.Unavailable()));
  }

  /** A request without a reply. */
  private static final class PendingRequest {
    private final MonoSink<SlotReply> sink;
    private final Duration maxWait;
    private final Disposable.Swap timeout = Disposables.swap();

    private PendingRequest(MonoSink<SlotReply> sink, Duration maxWait) {
      this.sink = sink;
      this.maxWait = maxWait;
    }
  }

  /** One TCP connection to the relay. */
  private final class Connection implements RelayDialer.Listener {
    private final long openedNanos = clock.now(TimeUnit.NANOSECONDS);
    private Optional<Place> place = Optional.empty();
    private FeedLink link;

    private void open() {
      link = dialer.dial(address, this);
    }

    private boolean silent(long nowNanos) {
      return place.isEmpty() && nowNanos - openedNanos >= MAX_OPENING_NANOS;
    }

    private void close(String reason) {
      link.close();
      BrokerConnection.this.closed(this, reason);
    }

    @Override
    public void received(FeedMessage message) {
      switch (message) {
        case FeedMessage.Hello hello -> {
          place = Optional.of(hello.place());
          events.emit(
              EventCode.BROKER_CONNECTED,
              EventField.of("relay", address),
              EventField.of("zone", hello.place().zone()));
          link.send(new FeedMessage.Slots(new SlotMessage.Open()));
          sendKnownCrashes();
        }
        case FeedMessage.Slots slots -> BrokerConnection.this.received(slots.message());
        case FeedMessage.Crashes received -> crashes.merge(received.update());
        case FeedMessage.Heartbeat ignored -> {}
        case FeedMessage.Subscribe ignored -> {}
        case FeedMessage.SubscribeWithSnapshot ignored -> {}
        case FeedMessage.Records ignored -> {}
        case FeedMessage.Snapshot ignored -> {}
      }
    }

    private void sendKnownCrashes() {
      CrashUpdate known = crashes.snapshot();
      if (!known.isEmpty()) {
        link.send(new FeedMessage.Crashes(known));
      }
    }

    @Override
    public void closed() {
      BrokerConnection.this.closed(this, "the connection was closed");
    }
  }
}
