package org.radishpost.config;

import java.util.Optional;
import org.radishpost.store.LogRecord;

/** The rules that keep all replicas alike; an interface so that tests can break them. */
interface ReplicaRules {
  /** Tells whether the record comes next after the state. */
  boolean comesNext(ConfigState state, LogRecord record);

  /** Returns the state to go on with after another replica's state was read, if it is newer. */
  Optional<ConfigState> adopted(ConfigState own, ConfigState other);

  /**
   * Returns what a snapshot of the state says.
   *
   * @param state the state
   * @param toldVersion the newest version that the replica was told of
   */
  ConfigState carried(ConfigState state, long toldVersion);
}
