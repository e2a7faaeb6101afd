package org.radishpost.link;

import java.util.List;
import java.util.Optional;
import org.radishpost.claims.ClaimOutcome;
import org.radishpost.claims.ClaimRequest;
import org.radishpost.claims.ClaimResult;
import org.radishpost.lib.Digest;
import org.radishpost.pool.PoolView;
import org.radishpost.store.LogRecord;

/**
 * A message between two VMs on an authenticated link. The components are sent in declaration order.
 */
public sealed interface LinkMessage {
  /**
   * Reports the sender's configuration version. Links deliver it when the version in the peer's
   * heartbeats changes.
   *
   * @param configVersion the version of the sender's active configuration
   */
  record Heartbeat(long configVersion) implements LinkMessage {}

  /** The sender is about to stop and accepts no new work. */
  record ShutdownNotice() implements LinkMessage {}

  /**
   * Reports the state of the sender's pools.
   *
   * @param views one view for each pool that the sender owns
   */
  record PoolViews(List<PoolView> views) implements LinkMessage {}

  /**
   * Notifies the sender of a hop that the call was sent to a target and that the rest of its body
   * may follow.
   *
   * @param hopSequence the sequence number of the hop on the session
   */
  record TargetAccepted(long hopSequence) implements LinkMessage {}

  /**
   * Requests records of the configuration stream.
   *
   * @param fromOffset the first offset to send
   */
  record FetchConfigRecords(long fromOffset) implements LinkMessage {}

  /**
   * Records of the configuration stream.
   *
   * @param records the records in the order of their offsets, without gaps
   */
  record ConfigRecords(List<LogRecord> records) implements LinkMessage {}

  /**
   * The complete configuration, for a peer that needs records that are no longer stored.
   *
   * @param snapshot the encoded snapshot
   */
  record ConfigSnapshot(byte[] snapshot) implements LinkMessage {}

  /**
   * Requests a claim from the owner of a shard of keys; the response is a {@link ClaimResponse}.
   *
   * @param request the requested claim
   * @param timeoutMillis the maximum wait for the claim
   */
  record AcquireClaim(ClaimRequest request, long timeoutMillis) implements LinkMessage {}

  /**
   * The response to {@link AcquireClaim} and {@link ClaimEnded}.
   *
   * @param result the result of the claim; ignored in the response to {@link ClaimEnded}
   */
  record ClaimResponse(ClaimResult result) implements LinkMessage {}

  /**
   * Reports to the owner of a shard how an attempt with a granted claim ended.
   *
   * @param request the claim
   * @param outcome the outcome, empty if the claim is withdrawn because the attempt was not sent
   */
  record ClaimEnded(ClaimRequest request, Optional<ClaimOutcome> outcome) implements LinkMessage {}

  /**
   * Reports a request that crashed a target.
   *
   * @param fingerprint the digest of the request
   * @param crashes the number of crashes that the sender has counted for the request
   */
  record SuspectReport(Digest fingerprint, int crashes) implements LinkMessage {}
}
