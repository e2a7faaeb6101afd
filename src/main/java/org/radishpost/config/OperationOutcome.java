package org.radishpost.config;

import java.util.List;

/**
 * What became of one operation.
 *
 * @param operationId the operation
 * @param version the offset of its first record
 * @param reasons why it was refused; none when it was accepted
 */
public record OperationOutcome(String operationId, long version, List<String> reasons) {
  /** The most reasons that are kept. */
  public static final int MAX_REASONS = 10;

  /** The longest reason that is kept, in characters. */
  public static final int MAX_REASON_CHARS = 200;

  /** Keeps the first reasons only, each cut to its bound. */
  public OperationOutcome {
    reasons = reasons.stream().limit(MAX_REASONS).map(OperationOutcome::truncate).toList();
  }

  /** Returns the answer to whoever wanted the change. */
  public PublishResult result() {
    return reasons.isEmpty()
        ? new PublishResult.Accepted(version)
        : new PublishResult.Refused(reasons);
  }

  private static String truncate(String reason) {
    return reason.length() <= MAX_REASON_CHARS ? reason : reason.substring(0, MAX_REASON_CHARS);
  }
}
