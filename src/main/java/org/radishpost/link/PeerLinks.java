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
  private static final int MAX_RECENT_SESSIONS = 4;

  /** What was last announced of the peer. */
  enum AnnouncedState {
    /** Nothing, or that the links were released. */
    NONE,
    /** That it is up. */
    UP,
    /** That it is down. */
    DOWN
  }

  final VmId id;
  volatile TrafficCounter traffic = new TrafficCounter();
  final Backoff backoff;
  AnnouncedState announced = AnnouncedState.NONE;
  Optional<VmEntry> dialTarget = Optional.empty();
  boolean persistent;
  boolean dialing;
  boolean shuttingDown;
  long onDemandUntilNanos;
  long lastLinkClosedNanos;
  long lastRoundTripNanos;
  private final Comparator<Link> preference;
  private final List<Link> openLinks = new CopyOnWriteArrayList<>();
  private final CopyOnWriteArrayList<MacSession> recentSessions = new CopyOnWriteArrayList<>();
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
  Optional<LinkSession> session(String sessionId) {
    return recentSessions.stream()
        .filter(session -> session.id().equals(sessionId))
        .map(LinkSession.class::cast)
        .findFirst();
  }

  /** Returns what went over the links. */
  PeerTraffic snapshot() {
    return traffic.snapshot(id, preferred().map(link -> link.health().roundTripNanos()).orElse(0L));
  }

  List<Link> openLinks() {
    return List.copyOf(openLinks);
  }

  void add(Link link) {
    openLinks.add(link);
    recentSessions.addFirst(link.session());
    if (recentSessions.size() > MAX_RECENT_SESSIONS) {
      recentSessions.removeLast();
    }
    selectPreferred();
  }

  /** Removes a link; false when it was removed before. */
  boolean remove(Link link) {
    boolean removed = openLinks.remove(link);
    lastRoundTripNanos = link.health().roundTripNanos();
    selectPreferred();
    return removed;
  }

  /** Tells whether this VM wants a link to the peer. */
  boolean isLinkNeeded(long nowNanos) {
    return dialTarget.isPresent()
        && !shuttingDown
        && (persistent || onDemandUntilNanos - nowNanos > 0);
  }

  /** Tells whether a link is to be opened now. */
  boolean shouldDial(long nowNanos) {
    return isLinkNeeded(nowNanos)
        && openLinks.isEmpty()
        && !dialing
        && backoff.mayConnect(nowNanos);
  }

  /** Lets the next try start without a wait once a link has stood for a time. */
  void resetBackoffIfStable(long nowNanos, long stableNanos) {
    if (preferred().filter(link -> nowNanos - link.openedNanos() > stableNanos).isPresent()) {
      backoff.reset();
    }
  }

  /** Returns the links that this VM has dialed and that are of no use. */
  List<Link> unneededLinks(long nowNanos, long idleNanos) {
    return openLinks.stream()
        .filter(Link::dialer)
        .filter(link -> link != preferred || !isLinkNeeded(nowNanos))
        .filter(link -> !link.hasPendingRequests() && nowNanos - link.openedNanos() > idleNanos)
        .filter(link -> link != preferred || idle(link, nowNanos, idleNanos))
        .toList();
  }

  private static boolean idle(Link link, long nowNanos, long idleNanos) {
    return nowNanos - link.health().lastUseNanos() > idleNanos;
  }

  private void selectPreferred() {
    preferred = openLinks.stream().max(preference).orElse(null);
  }
}
