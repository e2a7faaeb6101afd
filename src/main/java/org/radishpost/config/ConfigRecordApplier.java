package org.radishpost.config;

import java.util.List;
import org.radishpost.errors.ManifestException;
import org.radishpost.store.LogRecord;

/** Applies the records of the configuration stream to a state, one after the other; thread-safe. */
public final class ConfigRecordApplier {
  private final ConfigRecordCodec codec;
  private final ConfigChangeRules changeRules;

  /**
   * Creates a fold.
   *
   * @param codec the form of the records
   * @param changeRules which changes are accepted
   */
  public ConfigRecordApplier(ConfigRecordCodec codec, ConfigChangeRules changeRules) {
    this.codec = codec;
    this.changeRules = changeRules;
  }

  /** Returns the state after the record; a record that cannot be read changes nothing. */
  public ConfigState apply(ConfigState before, LogRecord record) {
    ConfigState advanced = before.advancedTo(record.offset(), record.timeMillis());
    ConfigRecord decoded;
    try {
      decoded = codec.decode(record.payload());
    } catch (ManifestException e) {
      return advanced;
    }
    if (before.outcome(decoded.operationId()).isPresent()) {
      return advanced;
    }
    List<String> reasons = changeRules.refusalReasons(before, decoded.change());
    ConfigState after =
        reasons.isEmpty() ? advanced.withChange(decoded.change(), record.offset()) : advanced;
    return after.withOutcome(new OperationOutcome(decoded.operationId(), record.offset(), reasons));
  }
}
