package org.radishpost.config;

import java.util.List;
import org.radishpost.errors.ManifestException;
import org.radishpost.store.LogRecord;

/** Applies the records of the configuration stream to a state, one after the other; thread-safe. */
public final class ConfigFold {
  private final ConfigRecordCodec codec;
  private final ConfigVerdicts verdicts;

  /**
   * Creates a fold.
   *
   * @param codec the form of the records
   * @param verdicts which changes are accepted
   */
  public ConfigFold(ConfigRecordCodec codec, ConfigVerdicts verdicts) {
    this.codec = codec;
    this.verdicts = verdicts;
  }

  /** Returns the state after the record; a record that cannot be read changes nothing. */
  public ConfigState apply(ConfigState before, LogRecord record) {
    ConfigState moved = before.skipped(record.offset(), record.timeMillis());
    ConfigRecord wanted;
    try {
      wanted = codec.decode(record.payload());
    } catch (ManifestException e) {
      return moved;
    }
    if (before.outcome(wanted.operationId()).isPresent()) {
      return moved;
    }
    List<String> reasons = verdicts.reasons(before, wanted.change());
    ConfigState after = reasons.isEmpty() ? moved.with(wanted.change(), record.offset()) : moved;
    return after.remembering(new OperationOutcome(wanted.operationId(), record.offset(), reasons));
  }
}
