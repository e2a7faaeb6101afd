package org.radishpost.http;

import java.util.Arrays;

/** Provides the responses that never end to tests. */
public final class EndlessResponses {
  private EndlessResponses() {}

  /** Returns one row for each response. */
  public static Object[][] all() {
    return Arrays.stream(EndlessResponse.values())
        .map(response -> new Object[] {response})
        .toArray(Object[][]::new);
  }
}
