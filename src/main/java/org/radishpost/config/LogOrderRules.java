package org.radishpost.config;

import java.util.Optional;
import org.radishpost.store.LogRecord;

/** Applies records in log order and keeps the original versions in snapshots. */
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
