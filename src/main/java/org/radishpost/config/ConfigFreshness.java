package org.radishpost.config;

import java.time.Duration;

/**
 * How current the configuration of this VM is; part of the readiness and status of the VM.
 *
 * @param state the overall state
 * @param version the current version on this VM
 * @param newestKnownVersion the newest version reported by the log or a peer
 * @param timeSinceLogContact the time since the last successful read of the log, or since the start
 * @param connectedPeers the number of peers with an established link
 */
public record ConfigFreshness(
    State state,
    long version,
    long newestKnownVersion,
    Duration timeSinceLogContact,
    int connectedPeers) {
  /** The overall state of the freshness. */
  public enum State {
    /** Since its start, the VM has never caught up with the newest known version. */
    STARTING,
    /**
     * The log was read recently, and the VM has not lacked the newest known version for longer than
     * {@link ConfigReplicaOptions#maxRetryPause}.
     */
    FRESH,
    /**
     * The VM has lacked the newest known version for longer than {@link
     * ConfigReplicaOptions#maxRetryPause}.
     */
    BEHIND,
    /** The log is unreachable. The VM receives changes only from its peers. */
    PEERS_ONLY,
    /** The log is unreachable and no peer is connected. The VM receives no changes. */
    ISOLATED
  }

  /** Returns whether the configuration is current enough for the VM to accept calls. */
  public boolean mayServe() {
    return state != State.STARTING;
  }
}
