package org.radishpost.link;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import org.radishpost.lib.VmId;
import org.radishpost.store.VmEntry;

/**
 * The links to one peer: the open links, the preferred one, and whether to dial.
 *
 * <p>Modified by the control thread only; {@link #preferred} and {@link #session} are thread-safe.
 *
 * <p>When two VMs dial each other at the same time, two links are open for a short time. Both ends
 * then send on the link that was dialed by the VM with the smaller ID, or on the newest of several
 * such links. The VM that dialed one of the other links releases it.
 */
final class PeerLinks {
  private static final int MAX_RECENT_SESSIONS = 4;

  /** The last event that was emitted about the state of the peer's links. */
  enum AnnouncedState {
    /** None, or {@link PeerEvent.Released}. */
    NONE,
    /** {@link PeerEvent.Up}. */
    UP,
    /** {@link PeerEvent.Down}. */
    DOWN
  }

  final VmId id;
  volatile TrafficCounter traffic = new TrafficCounter();
  final ReconnectBackoff backoff;
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

  PeerLinks(VmId self, VmId id, ReconnectBackoff backoff) {
    this.id = id;
    this.backoff = backoff;
    boolean ownDialsPreferred = self.compareTo(id) < 0;
    this.preference =
        Comparator.comparing((Link link) -> link.dialer() == ownDialsPreferred)
            .thenComparing(Link::openedNanos);
  }

  /** Returns the link to send on, if one is open. */
  Optional<Link> preferred() {
    return Optional.ofNullable(preferred);
  }

  /** Returns the session with that ID, also if a newer session recently replaced it. */
  Optional<LinkSession> session(String sessionId) {
    return recentSessions.stream()
        .filter(session -> session.id().equals(sessionId))
        .map(LinkSession.class::cast)
        .findFirst();
  }

  /** Returns the traffic of the links. */
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

  /** Removes a link; returns false if it was removed before. */
  boolean remove(Link link) {
    boolean removed = openLinks.remove(link);
    lastRoundTripNanos = link.health().roundTripNanos();
    selectPreferred();
    return removed;
  }

  /** Returns whether this VM needs a link to the peer. */
  boolean isLinkNeeded(long nowNanos) {
    return dialTarget.isPresent()
        && !shuttingDown
        && (persistent || onDemandUntilNanos - nowNanos > 0);
  }

  /** Returns whether to dial the peer now. */
  boolean shouldDial(long nowNanos) {
    return isLinkNeeded(nowNanos)
        && openLinks.isEmpty()
        && !dialing
        && backoff.mayConnect(nowNanos);
  }

  /** Resets the backoff once the preferred link has been open for longer than the given time. */
  void resetBackoffIfStable(long nowNanos, long stableNanos) {
    if (preferred().filter(link -> nowNanos - link.openedNanos() > stableNanos).isPresent()) {
      backoff.reset();
    }
  }

  /**
   * Returns the links to release: those dialed by this VM that are superseded or no longer needed.
   * Does not return links with pending requests, links opened in the last {@code idleNanos}, and a
   * preferred link that was used in that time.
   */
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
