package org.radishpost.config;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import org.radishpost.lib.VmId;

/** What the peers told of their versions, and whom to ask for more; not thread-safe. */
final class PeerVersions {
  private static final int ASK_PAUSES = 4;

  private final ConfigReplicaOptions options;
  private final RandomGenerator random;
  private final Map<VmId, Long> up = new TreeMap<>();
  private long toldVersion;
  private boolean asked;
  private long askedNanos;

  PeerVersions(ConfigReplicaOptions options, RandomGenerator random) {
    this.options = options;
    this.random = random;
  }

  void up(VmId peer) {
    up.putIfAbsent(peer, 0L);
  }

  void down(VmId peer) {
    up.remove(peer);
  }

  void told(VmId peer, long version) {
    up.merge(peer, version, Math::max);
    toldVersion = Math.max(toldVersion, version);
  }

  /** Returns the newest version that any peer told of since the start. */
  long toldVersion() {
    return toldVersion;
  }

  int count() {
    return up.size();
  }

  /** Forgets the last ask, since it was answered. */
  void answered() {
    asked = false;
  }

  /** Returns the peer to ask now for what comes after the version, if one has it. */
  Optional<VmId> ask(long version, long nowNanos) {
    long pauseNanos = options.behindLimit().multipliedBy(ASK_PAUSES).toNanos();
    if (asked && nowNanos - askedNanos < pauseNanos) {
      return Optional.empty();
    }
    List<VmId> newer =
        up.entrySet().stream()
            .filter(entry -> entry.getValue() > version)
            .map(Map.Entry::getKey)
            .toList();
    if (newer.isEmpty()) {
      return Optional.empty();
    }
    asked = true;
    askedNanos = nowNanos;
    return Optional.of(newer.get(random.nextInt(newer.size())));
  }
}
