package org.radishpost.config;

import java.util.Optional;
import org.radishpost.store.LogRecord;

/** Order on the log decides, and a snapshot bears the versions of what it holds. */
final class LogOrderRules implements ReplicationRules {
  @Override
  public boolean appliesNext(ConfigState state, LogRecord record) {
    return record.offset() == state.version() + 1;
  }

  @Override
  public Optional<ConfigState> stateToAdopt(ConfigState own, ConfigState other) {
    return other.version() > own.version() ? Optional.of(other) : Optional.empty();
  }

  @Override
  public ConfigState stateForSnapshot(ConfigState state, long newestKnownVersion) {
    return state;
  }
}
