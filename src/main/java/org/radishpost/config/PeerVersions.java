package org.radishpost.config;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import org.radishpost.lib.VmId;

/** What the peers told of their versions, and whom to ask for more; not thread-safe. */
final class PeerVersions {
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

  /** Returns the newest version that any peer told of since the start. */
  long newestVersion() {
    return newestVersion;
  }

  int connectedCount() {
    return versions.size();
  }

  /** Forgets the last ask, since it was answered. */
  void responseReceived() {
    requestPending = false;
  }

  /** Returns the peer to ask now for what comes after the version, if one has it. */
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
