package org.radishpost.http;

import java.util.Set;

/**
 * The statuses from which a caller concludes that its request has not run and never will, so that
 * it sends the request again. A response to a request that may have run must have another status.
 */
public final class NotRunStatus {
  private static final Set<Integer> STATUSES = Set.of(408, 421, 429, 503);

  private NotRunStatus() {}

  /** Returns whether a caller concludes from the status that its request has not run. */
  public static boolean includes(int status) {
    return STATUSES.contains(status);
  }
}
