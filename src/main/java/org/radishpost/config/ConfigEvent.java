package org.radishpost.config;

import java.time.Duration;
import java.util.List;
import org.radishpost.lib.VmId;
import org.radishpost.store.LogPage;
import org.radishpost.store.LogRecord;

/** An event that is passed to {@link ConfigReplica#handle}. */
public sealed interface ConfigEvent {
  /**
   * A read of the configuration stream succeeded.
   *
   * @param page the page that was read
   */
  record LogRead(LogPage page) implements ConfigEvent {}

  /** A read of the configuration stream failed. */
  record LogReadFailed() implements ConfigEvent {}

  /**
   * A read of the snapshot stream succeeded.
   *
   * @param page the page that was read
   */
  record SnapshotsRead(LogPage page) implements ConfigEvent {}

  /** A read of the snapshot stream failed. */
  record SnapshotsReadFailed() implements ConfigEvent {}

  /**
   * The record of an operation was appended.
   *
   * @param operationId the ID of the operation
   * @param record the appended record
   */
  record Appended(String operationId, LogRecord record) implements ConfigEvent {}

  /**
   * The record of an operation was not appended, or it is not known whether it was.
   *
   * @param operationId the ID of the operation
   */
  record AppendFailed(String operationId) implements ConfigEvent {}

  /**
   * The append of a snapshot succeeded or failed.
   *
   * @param confirmed whether the log confirmed the append
   */
  record SnapshotAppended(boolean confirmed) implements ConfigEvent {}

  /**
   * A link to a peer was established.
   *
   * @param peer the peer
   */
  record PeerConnected(VmId peer) implements ConfigEvent {}

  /**
   * The link to a peer was closed.
   *
   * @param peer the peer
   */
  record PeerDisconnected(VmId peer) implements ConfigEvent {}

  /**
   * A peer reported its version.
   *
   * @param peer the peer
   * @param version the version that the peer has
   */
  record PeerVersionReported(VmId peer, long version) implements ConfigEvent {}

  /**
   * A peer requested records.
   *
   * @param peer the peer
   * @param fromOffset the first offset to send
   */
  record PeerRecordsRequested(VmId peer, long fromOffset) implements ConfigEvent {}

  /**
   * A peer sent records.
   *
   * @param peer the peer
   * @param records the records, with consecutive offsets
   */
  record PeerRecordsReceived(VmId peer, List<LogRecord> records) implements ConfigEvent {}

  /**
   * A peer sent its complete state.
   *
   * @param peer the peer
   * @param snapshot the encoded state
   */
  record PeerSnapshotReceived(VmId peer, byte[] snapshot) implements ConfigEvent {}

  /**
   * A caller requested a change.
   *
   * @param requestId the ID under which the result is reported
   * @param operationId the ID of the operation
   * @param change the change
   * @param timeout the time after which the result is {@link PublishResult.Unknown}
   */
  record PublishRequested(long requestId, String operationId, ConfigChange change, Duration timeout)
      implements ConfigEvent {}

  /** A periodic event, sent every {@link ConfigReplicaOptions#tickInterval}. */
  record Tick() implements ConfigEvent {}
}
