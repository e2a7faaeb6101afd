package org.radishpost.config;

import java.time.Duration;
import java.util.List;
import org.radishpost.events.EventCode;
import org.radishpost.events.EventField;
import org.radishpost.lib.VmId;
import org.radishpost.store.LogRecord;

/** What {@link ConfigReplica} wants done. */
public sealed interface ConfigAction {
  /**
   * Read the configuration stream; one read is under way at a time.
   *
   * @param fromOffset the first offset wanted
   * @param longPoll how long the log may wait for a record
   * @param pause the pause before the read
   */
  record ReadLog(long fromOffset, Duration longPoll, Duration pause) implements ConfigAction {}

  /**
   * Read the snapshot stream without waiting for records; one read is under way at a time.
   *
   * @param fromOffset the first offset wanted
   * @param maxRecords the most records wanted
   * @param pause the pause before the read
   */
  record ReadSnapshots(long fromOffset, int maxRecords, Duration pause) implements ConfigAction {}

  /**
   * Append the record of an operation to the configuration stream.
   *
   * @param operationId the operation
   * @param payload the record
   */
  record Append(String operationId, byte[] payload) implements ConfigAction {}

  /**
   * Append a snapshot to the snapshot stream.
   *
   * @param payload the encoded state
   */
  record AppendSnapshot(byte[] payload) implements ConfigAction {}

  /**
   * Ask a peer for records.
   *
   * @param peer the peer
   * @param fromOffset the first offset wanted
   */
  record RequestRecords(VmId peer, long fromOffset) implements ConfigAction {}

  /**
   * Send records to a peer.
   *
   * @param peer the peer
   * @param records the records, without gaps
   */
  record SendRecords(VmId peer, List<LogRecord> records) implements ConfigAction {}

  /**
   * Send the whole state to a peer.
   *
   * @param peer the peer
   * @param snapshot the encoded state
   */
  record SendSnapshot(VmId peer, byte[] snapshot) implements ConfigAction {}

  /**
   * Give the answer to a wish for a change.
   *
   * @param requestId the number of the wish
   * @param result the answer
   */
  record ReportResult(long requestId, PublishResult result) implements ConfigAction {}

  /**
   * Work with another configuration from now on.
   *
   * @param configuration what is in force
   */
  record Install(Configuration configuration) implements ConfigAction {}

  /**
   * Emit an event.
   *
   * @param code the event
   * @param fields its fields
   */
  record EmitEvent(EventCode code, List<EventField> fields) implements ConfigAction {
    /** Returns the action for an event with fields. */
    static EmitEvent of(EventCode code, EventField... fields) {
      return new EmitEvent(code, List.of(fields));
    }
  }
}
