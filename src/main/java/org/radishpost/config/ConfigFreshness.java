package org.radishpost.config;

import java.time.Duration;

/**
 * How well this VM knows the configuration, for its readiness and its status.
 *
 * @param state the short of it
 * @param version the version in force here
 * @param newestKnownVersion the newest version that the log or a peer has told of
 * @param timeSinceLogContact the time since the log was last heard, or since the start
 * @param connectedPeers the peers whose links stand
 */
public record ConfigFreshness(
    State state,
    long version,
    long newestKnownVersion,
    Duration timeSinceLogContact,
    int connectedPeers) {
  /** The kinds of knowledge. */
  public enum State {
    /** The VM has never known a configuration as new as any it was told of. */
    STARTING,
    /** The log was heard a short time ago and nothing is missing. */
    FRESH,
    /** A newer version has been told of for longer than a read takes. */
    BEHIND,
    /** The log is out of reach; changes come from peers, if they have any. */
    PEERS_ONLY,
    /** Neither the log nor a peer is heard; changes do not come through. */
    ISOLATED
  }

  /** Tells whether the VM may take calls. */
  public boolean mayServe() {
    return state != State.STARTING;
  }
}
