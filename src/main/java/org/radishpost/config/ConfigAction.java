package org.radishpost.config;

import java.time.Duration;
import java.util.List;
import org.radishpost.events.EventCode;
import org.radishpost.events.EventField;
import org.radishpost.lib.VmId;
import org.radishpost.store.LogRecord;

/** An action that the caller of {@link ConfigReplica} must perform. */
public sealed interface ConfigAction {
  /**
   * Read the configuration stream. At most one of these reads is in flight at a time.
   *
   * @param fromOffset the first offset to read
   * @param longPoll the maximum time that the log may wait for a record
   * @param pause the pause before the read
   */
  record ReadLog(long fromOffset, Duration longPoll, Duration pause) implements ConfigAction {}

  /**
   * Read the snapshot stream without waiting for new records. At most one of these reads is in
   * flight at a time.
   *
   * @param fromOffset the first offset to read
   * @param maxRecords the maximum number of records to read
   * @param pause the pause before the read
   */
  record ReadSnapshots(long fromOffset, int maxRecords, Duration pause) implements ConfigAction {}

  /**
   * Append the record of an operation to the configuration stream.
   *
   * @param operationId the ID of the operation
   * @param payload the encoded record
   */
  record Append(String operationId, byte[] payload) implements ConfigAction {}

  /**
   * Append a snapshot to the snapshot stream.
   *
   * @param payload the encoded state
   */
  record AppendSnapshot(byte[] payload) implements ConfigAction {}

  /**
   * Request records from a peer.
   *
   * @param peer the peer
   * @param fromOffset the first offset to send
   */
  record RequestRecords(VmId peer, long fromOffset) implements ConfigAction {}

  /**
   * Send records to a peer.
   *
   * @param peer the peer
   * @param records the records, with consecutive offsets
   */
  record SendRecords(VmId peer, List<LogRecord> records) implements ConfigAction {}

  /**
   * Send the complete state to a peer.
   *
   * @param peer the peer
   * @param snapshot the encoded state
   */
  record SendSnapshot(VmId peer, byte[] snapshot) implements ConfigAction {}

  /**
   * Report the result of a publish request.
   *
   * @param requestId the ID of the request
   * @param result the result
   */
  record ReportResult(long requestId, PublishResult result) implements ConfigAction {}

  /**
   * Replace the current configuration of this VM.
   *
   * @param configuration the new configuration
   */
  record Install(Configuration configuration) implements ConfigAction {}

  /**
   * Emit an event.
   *
   * @param code the code of the event
   * @param fields the fields of the event
   */
  record EmitEvent(EventCode code, List<EventField> fields) implements ConfigAction {
    /** Returns the action for an event with the given fields. */
    static EmitEvent of(EventCode code, EventField... fields) {
      return new EmitEvent(code, List.of(fields));
    }
  }
}
