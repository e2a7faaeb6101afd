package org.radishpost.link;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import org.radishpost.lib.VmId;
import org.radishpost.store.VmEntry;

/**
 * The links to one peer: which stand, which one is used, and whether one more is to be opened.
 *
 * <p>Changed by the control thread only; {@link #preferred} and {@link #session} may be read by
 * any.
 *
 * <p>Two VMs that dial each other at once have two links for a moment. Both ends send over the one
 * that the VM with the smaller identity has dialed, of several the newest; the dialer of another
 * one releases it.
 */
final class PeerLinks {
  private static final int KEPT_SESSIONS = 4;

  /** What was last announced of the peer. */
  enum Announced {
    /** Nothing, or that the links were released. */
    NOTHING,
    /** That it is up. */
    UP,
    /** That it is down. */
    DOWN
  }

  final VmId id;
  volatile TrafficCounter traffic = new TrafficCounter();
  final Backoff backoff;
  Announced announced = Announced.NOTHING;
  Optional<VmEntry> target = Optional.empty();
  boolean kept;
  boolean dialing;
  boolean farewell;
  long demandUntilNanos;
  long lostNanos;
  long roundTripNanos;
  private final Comparator<Link> preference;
  private final List<Link> standing = new CopyOnWriteArrayList<>();
  private final CopyOnWriteArrayList<KeyedSession> sessions = new CopyOnWriteArrayList<>();
  private volatile Link preferred;

  PeerLinks(VmId self, VmId id, Backoff backoff) {
    this.id = id;
    this.backoff = backoff;
    boolean ownDialsPreferred = self.compareTo(id) < 0;
    this.preference =
        Comparator.comparing((Link link) -> link.dialer() == ownDialsPreferred)
            .thenComparing(Link::openedNanos);
  }

  /** Returns the link to be used, while one stands. */
  Optional<Link> preferred() {
    return Optional.ofNullable(preferred);
  }

  /** Returns the session of that name, also one that another has lately replaced. */
  Optional<LinkSession> session(String name) {
    return sessions.stream()
        .filter(session -> session.id().equals(name))
        .map(LinkSession.class::cast)
        .findFirst();
  }

  /** Returns what went over the links. */
  PeerTraffic snapshot() {
    return traffic.snapshot(id, preferred().map(link -> link.health().roundTripNanos()).orElse(0L));
  }

  List<Link> standing() {
    return List.copyOf(standing);
  }

  void add(Link link) {
    standing.add(link);
    sessions.addFirst(link.session());
    if (sessions.size() > KEPT_SESSIONS) {
      sessions.removeLast();
    }
    choose();
  }

  /** Removes a link; false when it was removed before. */
  boolean remove(Link link) {
    boolean removed = standing.remove(link);
    roundTripNanos = link.health().roundTripNanos();
    choose();
    return removed;
  }

  /** Tells whether this VM wants a link to the peer. */
  boolean wanted(long nowNanos) {
    return target.isPresent() && !farewell && (kept || demandUntilNanos - nowNanos > 0);
  }

  /** Tells whether a link is to be opened now. */
  boolean shouldDial(long nowNanos) {
    return wanted(nowNanos) && standing.isEmpty() && !dialing && backoff.mayTry(nowNanos);
  }

  /** Lets the next try start without a wait once a link has stood for a time. */
  void forgiveFailures(long nowNanos, long standingNanos) {
    if (preferred().filter(link -> nowNanos - link.openedNanos() > standingNanos).isPresent()) {
      backoff.succeeded();
    }
  }

  /** Returns the links that this VM has dialed and that are of no use. */
  List<Link> useless(long nowNanos, long graceNanos) {
    return standing.stream()
        .filter(Link::dialer)
        .filter(link -> link != preferred || !wanted(nowNanos))
        .filter(link -> !link.busy() && nowNanos - link.openedNanos() > graceNanos)
        .filter(link -> link != preferred || idle(link, nowNanos, graceNanos))
        .toList();
  }

  private static boolean idle(Link link, long nowNanos, long graceNanos) {
    return nowNanos - link.health().lastUseNanos() > graceNanos;
  }

  private void choose() {
    preferred = standing.stream().max(preference).orElse(null);
  }
}
