package org.radishpost.config;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import org.radishpost.lib.VmId;

/**
 * Tracks the versions reported by peers and chooses a peer to request newer records from; not
 * thread-safe.
 */
final class PeerVersions {
  /** The timeout of a request to a peer, as a multiple of the peer request delay. */
  private static final int REQUEST_TIMEOUT_FACTOR = 4;

  private final ConfigReplicaOptions options;
  private final RandomGenerator random;
  private final Map<VmId, Long> versions = new TreeMap<>();
  private long newestVersion;
  private boolean requestPending;
  private long requestNanos;

  PeerVersions(ConfigReplicaOptions options, RandomGenerator random) {
    this.options = options;
    this.random = random;
  }

  void connected(VmId peer) {
    versions.putIfAbsent(peer, 0L);
  }

  void disconnected(VmId peer) {
    versions.remove(peer);
  }

  void versionReported(VmId peer, long version) {
    versions.merge(peer, version, Math::max);
    newestVersion = Math.max(newestVersion, version);
  }

  /** Returns the newest version that any peer has reported since the start. */
  long newestVersion() {
    return newestVersion;
  }

  int connectedCount() {
    return versions.size();
  }

  /** Processes a response, after which the next request may be sent immediately. */
  void responseReceived() {
    requestPending = false;
  }

  /**
   * Returns a random peer with a newer version to send a request to. Returns empty if there is none
   * or an earlier request is pending and has not timed out.
   */
  Optional<VmId> choosePeer(long version, long nowNanos) {
    long timeoutNanos = options.peerRequestDelay().multipliedBy(REQUEST_TIMEOUT_FACTOR).toNanos();
    if (requestPending && nowNanos - requestNanos < timeoutNanos) {
      return Optional.empty();
    }
    List<VmId> newer =
        versions.entrySet().stream()
            .filter(entry -> entry.getValue() > version)
            .map(Map.Entry::getKey)
            .toList();
    if (newer.isEmpty()) {
      return Optional.empty();
    }
    requestPending = true;
    requestNanos = nowNanos;
    return Optional.of(newer.get(random.nextInt(newer.size())));
  }
}
