package org.radishpost.feed;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.radishpost.events.EventCode;
import org.radishpost.events.EventField;
import org.radishpost.events.EventSink;
import org.radishpost.lib.Endpoint;
import org.radishpost.lib.Place;

/**
 * Decides whether this VM reads the store itself or follows a relay.
 *
 * <p>This VM follows the nearest relay as long as the relay sends heartbeats and reports that it
 * reaches the store. Otherwise this VM reads the store itself immediately: the loss of a relay
 * causes additional requests to the store, but no stale data. VMs need not agree on the set of
 * relays. Confined to one thread, except {@link #isFollowing()}.
 */
public final class Follower {
  /** Time without a message after which a relay is considered lost; several heartbeat intervals. */
  static final long RELAY_TIMEOUT_NANOS = 700_000_000L;

  /** Time for the relays to report their place before the nearest one is selected. */
  private static final long SELECTION_DELAY_NANOS = 250_000_000L;

  /** Time to find a relay after the start before this VM reads the store itself. */
  private static final long STARTUP_TIMEOUT_NANOS = 1_000_000_000L;

  private static final long RETRY_DELAY_NANOS = 1_000_000_000L;
  private static final long RETRY_JITTER_NANOS = 500_000_000L;

  private final Place self;
  private final FeedReader reader;
  private final RelayDialer dialer;
  private final LongSupplier nowNanos;
  private final RandomGenerator random;
  private final EventSink events;
  private final Map<Endpoint, Candidate> candidates = new HashMap<>();
  private Optional<Endpoint> ownAddress = Optional.empty();
  private List<Endpoint> relays = List.of();
  private Optional<Candidate> selected = Optional.empty();
  private volatile boolean following;
  private boolean starting;
  private long startupDeadlineNanos;
  private long selectAtNanos;
  private long retryAtNanos;

  /**
   * Creates a follower without a relay.
   *
   * @param self the region and zone of this VM
   * @param reader reads the store and applies records from a relay
   * @param dialer opens connections to relays
   * @param nowNanos the monotonic clock
   * @param random the source of jitter for retries
   * @param events receives events
   */
  public Follower(
      Place self,
      FeedReader reader,
      RelayDialer dialer,
      LongSupplier nowNanos,
      RandomGenerator random,
      EventSink events) {
    this.self = self;
    this.reader = reader;
    this.dialer = dialer;
    this.nowNanos = nowNanos;
    this.random = random;
    this.events = events;
    this.retryAtNanos = nowNanos.getAsLong();
  }

  /**
   * Sets the relays. If this VM is one of them, it stops following and reads the store itself.
   *
   * @param ownRelayAddress the address at which this VM serves as a relay
   * @param relayAddresses the addresses of the relays
   */
  public void setRelays(Optional<Endpoint> ownRelayAddress, List<Endpoint> relayAddresses) {
    ownAddress = ownRelayAddress;
    relays = List.copyOf(relayAddresses);
    if (following && isRelay()) {
      disconnect("this VM is a relay now");
    }
  }

  /**
   * Connects to the relays in order to follow one of them. Starts reading the store instead if this
   * VM is a relay, if there are no relays, or if no relay is followed before the startup timeout.
   */
  public void start() {
    if (isRelay() || relays.isEmpty()) {
      reader.resume();
      return;
    }
    starting = true;
    startupDeadlineNanos = nowNanos.getAsLong() + STARTUP_TIMEOUT_NANOS;
    dial(nowNanos.getAsLong());
  }

  /** Returns whether this VM follows a relay instead of reading the store; thread-safe. */
  public boolean isFollowing() {
    return following;
  }

  /** Returns whether this VM is in the list of relays. */
  public boolean isRelay() {
    return ownAddress.filter(relays::contains).isPresent();
  }

  /** Checks timeouts, selects a relay and retries connections; called periodically. */
  public void tick() {
    long now = nowNanos.getAsLong();
    if (selected.isPresent()) {
      if (now - selected.get().lastReceivedNanos > RELAY_TIMEOUT_NANOS) {
        disconnect("no message from the relay within the timeout");
      }
    } else if (!candidates.isEmpty()) {
      if (now - selectAtNanos >= 0) {
        selectRelay();
      }
    } else if ((starting || now - retryAtNanos >= 0) && !isRelay()) {
      dial(now);
    }
    if (starting && now - startupDeadlineNanos >= 0) {
      abandonStartup();
    }
  }

  private void dial(long now) {
    selectAtNanos = starting ? now : now + SELECTION_DELAY_NANOS;
    scheduleRetry();
    relays.forEach(relay -> candidates.put(relay, new Candidate(relay, now)));
    List.copyOf(candidates.values()).forEach(Candidate::dial);
  }

  /** Closes all connections and reads the store, because no relay has sent data in time. */
  private void abandonStartup() {
    List<Candidate> connected = new ArrayList<>(candidates.values());
    selected.ifPresent(connected::add);
    selected = Optional.empty();
    candidates.clear();
    connected.forEach(Candidate::close);
    scheduleRetry();
    startReadingStore();
  }

  private void startReadingStore() {
    starting = false;
    reader.resume();
  }

  private void selectRelay() {
    selected =
        candidates.values().stream()
            .filter(candidate -> candidate.storeReachable && candidate.place.isPresent())
            .min(Comparator.comparing(candidate -> self.distanceTo(candidate.place.get())));
    List<Candidate> others = new ArrayList<>(candidates.values());
    selected.ifPresent(others::remove);
    candidates.clear();
    others.forEach(Candidate::close);
    if (selected.isEmpty()) {
      scheduleRetry();
    } else if (reader.position().isEmpty()) {
      selected.get().subscribe(new FeedMessage.SubscribeWithSnapshot());
    }
  }

  private void disconnect(String reason) {
    Candidate relay = selected.orElseThrow();
    selected = Optional.empty();
    relay.close();
    scheduleRetry();
    if (starting) {
      startReadingStore();
    }
    if (!following) {
      return;
    }
    following = false;
    events.emit(
        EventCode.RELAY_LEFT,
        EventField.of("relay", relay.address),
        EventField.of("why", reason),
        EventField.of(
            "heardMsAgo",
            TimeUnit.NANOSECONDS.toMillis(nowNanos.getAsLong() - relay.lastReceivedNanos)),
        nextField());
    reader.resume();
  }

  private void scheduleRetry() {
    retryAtNanos = nowNanos.getAsLong() + RETRY_DELAY_NANOS + random.nextLong(RETRY_JITTER_NANOS);
  }

  private void onHeartbeat(Candidate relay, FeedMessage.Heartbeat heartbeat) {
    relay.lastReceivedNanos = nowNanos.getAsLong();
    relay.storeReachable = heartbeat.storeReachable();
    if (!isSelected(relay)) {
      return;
    }
    if (!heartbeat.storeReachable()) {
      disconnect("the relay cannot reach the store");
    } else if (heartbeat.allSent()) {
      followTo(relay, heartbeat.position());
    } else if (!relay.subscribed
        && reader.position().filter(heartbeat.position()::covers).isPresent()) {
      relay.subscribe(new FeedMessage.Subscribe(reader.position().get()));
    }
  }

  /** Follows the relay to its position, or leaves it if that is of another era than the data. */
  private void followTo(Candidate relay, Position position) {
    if (reader.position().filter(position::sameEras).isEmpty()) {
      disconnect("the data of the relay is of another era of the store");
      return;
    }
    reader.advanceTo(position);
    follow(relay);
  }

  private void onSnapshot(Candidate relay, FeedMessage.Snapshot snapshot) {
    if (isSelected(relay)) {
      follow(relay);
      reader.applySnapshot(snapshot.feed(), snapshot.records(), snapshot.nextOffset());
    }
  }

  private void follow(Candidate relay) {
    if (following) {
      return;
    }
    following = true;
    starting = false;
    reader.pause();
    events.emit(
        EventCode.RELAY_FOLLOWED,
        EventField.of("relay", relay.address),
        EventField.of("zone", relay.place.orElseThrow().zone()),
        nextField());
  }

  private EventField nextField() {
    return EventField.of("next", reader.position().map(Position::toString).orElse("none"));
  }

  private boolean isSelected(Candidate candidate) {
    return selected.isPresent() && selected.get() == candidate;
  }

  /** A connection to a relay that may be selected. */
  private final class Candidate implements RelayDialer.Listener {
    private final Endpoint address;
    private FeedLink link;
    private Optional<Place> place = Optional.empty();
    private boolean storeReachable;
    private boolean subscribed;
    private boolean closed;
    private long lastReceivedNanos;

    private Candidate(Endpoint address, long nowNanos) {
      this.address = address;
      this.lastReceivedNanos = nowNanos;
    }

    private void dial() {
      link = dialer.dial(address, this);
    }

    private void subscribe(FeedMessage message) {
      subscribed = true;
      link.send(message);
    }

    private void close() {
      closed = true;
      link.close();
    }

    @Override
    public void received(FeedMessage message) {
      if (closed) {
        return;
      }
      switch (message) {
        case FeedMessage.Hello hello -> place = Optional.of(hello.place());
        case FeedMessage.Heartbeat heartbeat -> onHeartbeat(this, heartbeat);
        case FeedMessage.Records records -> {
          lastReceivedNanos = nowNanos.getAsLong();
          reader.applyRecords(records.feed(), records.records());
        }
        case FeedMessage.Snapshot snapshot -> {
          lastReceivedNanos = nowNanos.getAsLong();
          onSnapshot(this, snapshot);
        }
        case FeedMessage.Slots unexpected -> close();
        case FeedMessage.Crashes unexpected -> close();
        case FeedMessage.Subscribe unexpected -> close();
        case FeedMessage.SubscribeWithSnapshot unexpected -> close();
      }
    }

    @Override
    public void closed() {
      if (closed) {
        return;
      }
      closed = true;
      candidates.remove(address);
      if (isSelected(this)) {
        disconnect("the relay closed the connection");
      }
    }
  }
}
