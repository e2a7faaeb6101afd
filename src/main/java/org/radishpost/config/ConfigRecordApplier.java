package org.radishpost.config;

import java.util.List;
import org.radishpost.errors.ManifestException;
import org.radishpost.store.LogRecord;

/** Applies records of the configuration stream to a state; thread-safe. */
public final class ConfigRecordApplier {
  private final ConfigRecordCodec codec;
  private final ConfigChangeRules changeRules;

  /**
   * Creates an applier.
   *
   * @param codec the codec of the records
   * @param changeRules the rules that decide which changes are accepted
   */
  public ConfigRecordApplier(ConfigRecordCodec codec, ConfigChangeRules changeRules) {
    this.codec = codec;
    this.changeRules = changeRules;
  }

  /**
   * Returns the state after the record. A malformed record and a repeated record of an operation
   * change only the version and the time.
   */
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
    List<String> refusalReasons = changeRules.refusalReasons(before, decoded.change());
    ConfigState after =
        refusalReasons.isEmpty()
            ? advanced.withChange(decoded.change(), record.offset())
            : advanced;
    return after.withOutcome(
        new OperationOutcome(decoded.operationId(), record.offset(), refusalReasons));
  }
}
