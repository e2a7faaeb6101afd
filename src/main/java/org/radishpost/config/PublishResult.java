package org.radishpost.config;

import java.util.List;

/** The truthful answer to a wish for a change. */
public sealed interface PublishResult {
  /**
   * The change is in force.
   *
   * @param version its version
   */
  record Accepted(long version) implements PublishResult {}

  /**
   * The change is not and will not be in force.
   *
   * @param reasons why, one fault each, with its path
   */
  record Refused(List<String> reasons) implements PublishResult {
    /** Copies the list. */
    public Refused {
      reasons = List.copyOf(reasons);
    }
  }

  /**
   * The change may come into force; ask again with the same operation id.
   *
   * @param operationId the operation
   */
  record Unknown(String operationId) implements PublishResult {}
}
