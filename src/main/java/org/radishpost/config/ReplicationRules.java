package org.radishpost.config;

import java.util.Optional;
import org.radishpost.store.LogRecord;

/** The rules that keep all replicas consistent; an interface so that tests can replace them. */
interface ReplicationRules {
  /** Returns whether the record is the next one to apply to the state. */
  boolean appliesNext(ConfigState state, LogRecord record);

  /** Returns the state to adopt from another replica's state, empty to keep the current state. */
  Optional<ConfigState> stateToAdopt(ConfigState own, ConfigState other);

  /**
   * Returns the state to write to a snapshot.
   *
   * @param state the current state of the replica
   * @param newestKnownVersion the newest version reported by the log or a peer
   */
  ConfigState stateForSnapshot(ConfigState state, long newestKnownVersion);
}
