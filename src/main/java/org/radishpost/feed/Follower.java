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
 * <p>It follows the nearest relay as long as that relay is heard and hears from the store; at the
 * first doubt it reads the store itself, so a lost relay costs calls and not freshness. Views of
 * who is a relay need not agree. Confined to one thread.
 */
public final class Follower {
  /** How long a relay may be silent; its heartbeats come several times as often. */
  static final long RELAY_TIMEOUT_NANOS = 700_000_000L;

  /** How long relays have to say where they are before one is chosen. */
  private static final long SELECTION_DELAY_NANOS = 250_000_000L;

  /** How long a VM that has just started asks for a relay before it reads the store. */
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
   * Creates one that reads the store itself.
   *
   * @param self where this VM runs
   * @param reader reads the store
   * @param dialer opens connections to relays
   * @param nowNanos the runtime's monotonic clock
   * @param random spreads the attempts of many VMs
   * @param events where events go
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
   * Sets which VMs are relays; one of them never follows another.
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
   * Begins: asks a relay for all that it knows, and reads the store if none answers soon or this VM
   * is a relay itself.
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

  /** Tells whether a relay is followed, so that the store isn't read; from any thread. */
  public boolean isFollowing() {
    return following;
  }

  /** Tells whether others may take this VM for a relay. */
  public boolean isRelay() {
    return ownAddress.filter(relays::contains).isPresent();
  }

  /** Lets time pass. */
  public void tick() {
    long now = nowNanos.getAsLong();
    if (selected.isPresent()) {
      if (now - selected.get().lastReceivedNanos > RELAY_TIMEOUT_NANOS) {
        disconnect("the relay is silent");
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

  /** No relay has told what it knows in time. */
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
            TimeUnit.NANOSECONDS.toMillis(nowNanos.getAsLong() - relay.lastReceivedNanos)));
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
      disconnect("the relay does not hear from the store");
    } else if (heartbeat.allSent()) {
      reader.advanceTo(heartbeat.position());
      follow(relay);
    } else if (!relay.subscribed
        && reader.position().filter(heartbeat.position()::covers).isPresent()) {
      relay.subscribe(new FeedMessage.Subscribe(reader.position().get()));
    }
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
        EventField.of("zone", relay.place.orElseThrow().zone()));
  }

  private boolean isSelected(Candidate candidate) {
    return selected.isPresent() && selected.get() == candidate;
  }

  /** A relay that this VM is connected to. */
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
