package org.radishpost.config;

import java.time.Duration;
import java.util.List;
import org.radishpost.lib.VmId;
import org.radishpost.store.LogPage;
import org.radishpost.store.LogRecord;

/** What {@link ConfigReplica} is told. */
public sealed interface ConfigEvent {
  /**
   * A read of the configuration stream was answered.
   *
   * @param page the answer
   */
  record LogRead(LogPage page) implements ConfigEvent {}

  /** A read of the configuration stream failed. */
  record LogReadFailed() implements ConfigEvent {}

  /**
   * A read of the snapshot stream was answered.
   *
   * @param page the answer
   */
  record SnapshotsRead(LogPage page) implements ConfigEvent {}

  /** A read of the snapshot stream failed. */
  record SnapshotsReadFailed() implements ConfigEvent {}

  /**
   * The record of an operation has landed.
   *
   * @param operationId the operation
   * @param record the record
   */
  record Appended(String operationId, LogRecord record) implements ConfigEvent {}

  /**
   * The record of an operation has not landed, or nobody knows.
   *
   * @param operationId the operation
   */
  record AppendFailed(String operationId) implements ConfigEvent {}

  /**
   * The append of a snapshot has ended, whichever way.
   *
   * @param confirmed whether it is known to have landed
   */
  record SnapshotAppended(boolean confirmed) implements ConfigEvent {}

  /**
   * A link to a peer stands.
   *
   * @param peer the peer
   */
  record PeerConnected(VmId peer) implements ConfigEvent {}

  /**
   * The link to a peer is gone.
   *
   * @param peer the peer
   */
  record PeerDisconnected(VmId peer) implements ConfigEvent {}

  /**
   * A peer told which version it has.
   *
   * @param peer the peer
   * @param version the version
   */
  record PeerVersionReported(VmId peer, long version) implements ConfigEvent {}

  /**
   * A peer asks for records.
   *
   * @param peer the peer
   * @param fromOffset the first offset wanted
   */
  record PeerRecordsRequested(VmId peer, long fromOffset) implements ConfigEvent {}

  /**
   * A peer sent records.
   *
   * @param peer the peer
   * @param records the records
   */
  record PeerRecordsReceived(VmId peer, List<LogRecord> records) implements ConfigEvent {}

  /**
   * A peer sent its whole state.
   *
   * @param peer the peer
   * @param snapshot the encoded state
   */
  record PeerSnapshotReceived(VmId peer, byte[] snapshot) implements ConfigEvent {}

  /**
   * Somebody wants a change.
   *
   * @param requestId the number under which the answer is given
   * @param operationId the operation
   * @param change the change
   * @param timeout the longest wait for the answer
   */
  record PublishRequested(long requestId, String operationId, ConfigChange change, Duration timeout)
      implements ConfigEvent {}

  /** Time has passed; wanted about every {@link ConfigReplicaOptions#tickInterval}. */
  record Tick() implements ConfigEvent {}
}
