package org.radishpost.link;

import java.util.List;
import java.util.Optional;
import org.radishpost.claims.ClaimOutcome;
import org.radishpost.claims.ClaimRequest;
import org.radishpost.claims.ClaimResult;
import org.radishpost.lib.Digest;
import org.radishpost.pool.PoolView;
import org.radishpost.store.LogRecord;

/** What VMs say to each other over a link once both have proved themselves. */
public sealed interface LinkMessage {
  /**
   * Sign of life.
   *
   * @param configVersion the version of the configuration that the sender has in force
   */
  record Heartbeat(long configVersion) implements LinkMessage {}

  /** The sender is about to stop and takes no new work. */
  record ShutdownNotice() implements LinkMessage {}

  /**
   * What the sender's pools look like.
   *
   * @param views one for each pool that the sender owns
   */
  record PoolViews(List<PoolView> views) implements LinkMessage {}

  /**
   * The call with this number has been sent to a target: the rest of its body may follow.
   *
   * @param hopSequence the number of the call on the session
   */
  record CallDispatched(long hopSequence) implements LinkMessage {}

  /**
   * Asks for records of the configuration stream.
   *
   * @param fromOffset the first offset wanted
   */
  record FetchConfigRecords(long fromOffset) implements LinkMessage {}

  /**
   * Records of the configuration stream, in the order of their offsets without gaps.
   *
   * @param records the records
   */
  record ConfigRecords(List<LogRecord> records) implements LinkMessage {}

  /**
   * The whole state of the configuration, for a peer that lacks records which are gone.
   *
   * @param snapshot the encoded snapshot
   */
  record ConfigSnapshot(byte[] snapshot) implements LinkMessage {}

  /**
   * Asks the owner of a shard of keys for a claim; answered by {@link ClaimResponse}.
   *
   * @param request the claim
   * @param timeoutMillis the longest wait
   */
  record AcquireClaim(ClaimRequest request, long timeoutMillis) implements LinkMessage {}

  /**
   * The answer to {@link AcquireClaim}.
   *
   * @param result the answer
   */
  record ClaimResponse(ClaimResult result) implements LinkMessage {}

  /**
   * Tells the owner of a shard how a granted attempt ended.
   *
   * @param request the claim
   * @param outcome the outcome, empty when the claim is withdrawn unsent
   */
  record ClaimEnded(ClaimRequest request, Optional<ClaimOutcome> outcome) implements LinkMessage {}

  /**
   * A request has crashed a target.
   *
   * @param fingerprint the digest of the request
   * @param crashes the crashes that the sender has counted for it
   */
  record SuspectReport(Digest fingerprint, int crashes) implements LinkMessage {}
}
