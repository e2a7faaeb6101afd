package org.radishpost.config;

import java.util.Optional;
import org.radishpost.store.LogRecord;

/** Order on the log decides, and a snapshot bears the versions of what it holds. */
final class LogOrderRules implements ReplicaRules {
  @Override
  public boolean comesNext(ConfigState state, LogRecord record) {
    return record.offset() == state.version() + 1;
  }

  @Override
  public Optional<ConfigState> adopted(ConfigState own, ConfigState other) {
    return other.version() > own.version() ? Optional.of(other) : Optional.empty();
  }

  @Override
  public ConfigState carried(ConfigState state, long toldVersion) {
    return state;
  }
}
