package org.radishpost.config;

import java.util.List;

/**
 * The outcome of a publish operation.
 *
 * @param operationId the ID of the operation
 * @param version the offset of its first record
 * @param reasons the reasons why the change was refused, empty if it was accepted
 */
public record OperationOutcome(String operationId, long version, List<String> reasons) {
  /** The maximum number of stored reasons. */
  public static final int MAX_REASONS = 10;

  /** The maximum length of a stored reason. */
  public static final int MAX_REASON_CHARS = 200;

  /** Truncates the list and each reason to the maximum lengths. */
  public OperationOutcome {
    reasons = reasons.stream().limit(MAX_REASONS).map(OperationOutcome::truncate).toList();
  }

  /** Returns the result to report for the publish request. */
  public PublishResult result() {
    return reasons.isEmpty()
        ? new PublishResult.Accepted(version)
        : new PublishResult.Refused(reasons);
  }

  private static String truncate(String reason) {
    return reason.length() <= MAX_REASON_CHARS ? reason : reason.substring(0, MAX_REASON_CHARS);
  }
}
