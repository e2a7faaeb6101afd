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
  static final long SILENCE_NANOS = 700_000_000L;

  /** How long relays have to say where they are before one is chosen. */
  private static final long CHOICE_WAIT_NANOS = 250_000_000L;

  /** How long a VM that has just started asks for a relay before it reads the store. */
  private static final long START_PATIENCE_NANOS = 1_000_000_000L;

  private static final long RETRY_NANOS = 1_000_000_000L;
  private static final long RETRY_SPREAD_NANOS = 500_000_000L;

  private final Place self;
  private final FeedReader reader;
  private final RelayDialer dialer;
  private final LongSupplier nowNanos;
  private final RandomGenerator random;
  private final EventSink events;
  private final Map<Endpoint, Candidate> candidates = new HashMap<>();
  private Optional<Endpoint> address = Optional.empty();
  private List<Endpoint> relays = List.of();
  private Optional<Candidate> chosen = Optional.empty();
  private volatile boolean following;
  private boolean starting;
  private long startEndsNanos;
  private long chooseNanos;
  private long retryNanos;

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
    this.retryNanos = nowNanos.getAsLong();
  }

  /**
   * Sets which VMs are relays; one of them never follows another.
   *
   * @param own the address at which this VM serves as a relay
   * @param newest the addresses of the relays
   */
  public void relays(Optional<Endpoint> own, List<Endpoint> newest) {
    address = own;
    relays = List.copyOf(newest);
    if (following && isRelay()) {
      leave("this VM is a relay now");
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
    startEndsNanos = nowNanos.getAsLong() + START_PATIENCE_NANOS;
    dial(nowNanos.getAsLong());
  }

  /** Tells whether a relay is followed, so that the store isn't read; from any thread. */
  public boolean following() {
    return following;
  }

  /** Tells whether others may take this VM for a relay. */
  public boolean isRelay() {
    return address.filter(relays::contains).isPresent();
  }

  /** Lets time pass. */
  public void tick() {
    long now = nowNanos.getAsLong();
    if (chosen.isPresent()) {
      if (now - chosen.get().heardNanos > SILENCE_NANOS) {
        leave("the relay is silent");
      }
    } else if (!candidates.isEmpty()) {
      if (now - chooseNanos >= 0) {
        choose();
      }
    } else if ((starting || now - retryNanos >= 0) && !isRelay()) {
      dial(now);
    }
    if (starting && now - startEndsNanos >= 0) {
      giveUpStart();
    }
  }

  private void dial(long now) {
    chooseNanos = starting ? now : now + CHOICE_WAIT_NANOS;
    retryLater();
    relays.forEach(relay -> candidates.put(relay, new Candidate(relay, now)));
    List.copyOf(candidates.values()).forEach(Candidate::dial);
  }

  /** No relay has told what it knows in time. */
  private void giveUpStart() {
    List<Candidate> asked = new ArrayList<>(candidates.values());
    chosen.ifPresent(asked::add);
    chosen = Optional.empty();
    candidates.clear();
    asked.forEach(Candidate::close);
    retryLater();
    readStore();
  }

  private void readStore() {
    starting = false;
    reader.resume();
  }

  private void choose() {
    chosen =
        candidates.values().stream()
            .filter(candidate -> candidate.fresh && candidate.place.isPresent())
            .min(Comparator.comparing(candidate -> self.distanceTo(candidate.place.get())));
    List<Candidate> others = new ArrayList<>(candidates.values());
    chosen.ifPresent(others::remove);
    candidates.clear();
    others.forEach(Candidate::close);
    if (chosen.isEmpty()) {
      retryLater();
    } else if (reader.position().isEmpty()) {
      chosen.get().subscribe(new FeedMessage.SubscribeAnew());
    }
  }

  private void leave(String why) {
    Candidate left = chosen.orElseThrow();
    chosen = Optional.empty();
    left.close();
    retryLater();
    if (starting) {
      readStore();
    }
    if (!following) {
      return;
    }
    following = false;
    events.emit(
        EventCode.RELAY_LEFT,
        EventField.of("relay", left.relay),
        EventField.of("why", why),
        EventField.of(
            "heardMsAgo", TimeUnit.NANOSECONDS.toMillis(nowNanos.getAsLong() - left.heardNanos)));
    reader.resume();
  }

  private void retryLater() {
    retryNanos = nowNanos.getAsLong() + RETRY_NANOS + random.nextLong(RETRY_SPREAD_NANOS);
  }

  private void beat(Candidate relay, FeedMessage.Beat beat) {
    relay.heardNanos = nowNanos.getAsLong();
    relay.fresh = beat.fresh();
    if (!isChosen(relay)) {
      return;
    }
    if (!beat.fresh()) {
      leave("the relay does not hear from the store");
    } else if (beat.complete()) {
      reader.advance(beat.upTo());
      follow(relay);
    } else if (!relay.subscribed && reader.position().filter(beat.upTo()::covers).isPresent()) {
      relay.subscribe(new FeedMessage.Subscribe(reader.position().get()));
    }
  }

  private void newest(Candidate relay, FeedMessage.Newest newest) {
    if (isChosen(relay)) {
      follow(relay);
      reader.newest(newest.feed(), newest.records(), newest.next());
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
        EventField.of("relay", relay.relay),
        EventField.of("zone", relay.place.orElseThrow().zone()));
  }

  private boolean isChosen(Candidate candidate) {
    return chosen.isPresent() && chosen.get() == candidate;
  }

  /** A relay that this VM is connected to. */
  private final class Candidate implements RelayDialer.Listener {
    private final Endpoint relay;
    private FeedLink link;
    private Optional<Place> place = Optional.empty();
    private boolean fresh;
    private boolean subscribed;
    private boolean over;
    private long heardNanos;

    private Candidate(Endpoint relay, long nowNanos) {
      this.relay = relay;
      this.heardNanos = nowNanos;
    }

    private void dial() {
      link = dialer.dial(relay, this);
    }

    private void subscribe(FeedMessage message) {
      subscribed = true;
      link.send(message);
    }

    private void close() {
      over = true;
      link.close();
    }

    @Override
    public void received(FeedMessage message) {
      if (over) {
        return;
      }
      switch (message) {
        case FeedMessage.Hello hello -> place = Optional.of(hello.place());
        case FeedMessage.Beat beat -> beat(this, beat);
        case FeedMessage.Records records -> {
          heardNanos = nowNanos.getAsLong();
          reader.records(records.feed(), records.records());
        }
        case FeedMessage.Newest newest -> {
          heardNanos = nowNanos.getAsLong();
          newest(this, newest);
        }
        case FeedMessage.Subscribe unasked -> close();
        case FeedMessage.SubscribeAnew unasked -> close();
      }
    }

    @Override
    public void closed() {
      if (over) {
        return;
      }
      over = true;
      candidates.remove(relay);
      if (isChosen(this)) {
        leave("the relay closed the connection");
      }
    }
  }
}
