package org.radishpost.config;

import java.util.List;

/** The result of publishing a change. */
public sealed interface PublishResult {
  /**
   * The change was accepted.
   *
   * @param version the version of the change
   */
  record Accepted(long version) implements PublishResult {}

  /**
   * The change was refused and will not be applied.
   *
   * @param reasons the reasons, each with the path of the faulty field
   */
  record Refused(List<String> reasons) implements PublishResult {
    /** Copies the list. */
    public Refused {
      reasons = List.copyOf(reasons);
    }
  }

  /**
   * The outcome is not yet known; the change may be accepted already or later. Publish it again
   * with the same operation ID to get the outcome.
   *
   * @param operationId the ID of the operation
   */
  record Unknown(String operationId) implements PublishResult {}
}
