package org.radishpost.config;

import java.util.Optional;
import org.radishpost.store.LogRecord;

/** The rules that keep all replicas alike; an interface so that tests can break them. */
interface ReplicationRules {
  /** Tells whether the record comes next after the state. */
  boolean appliesNext(ConfigState state, LogRecord record);

  /** Returns the state to go on with after another replica's state was read, if it is newer. */
  Optional<ConfigState> stateToAdopt(ConfigState own, ConfigState other);

  /**
   * Returns what a snapshot of the state says.
   *
   * @param state the state
   * @param newestKnownVersion the newest version that the replica was told of
   */
  ConfigState stateForSnapshot(ConfigState state, long newestKnownVersion);
}
