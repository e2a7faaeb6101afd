package org.radishpost.lib;

/** Whether a refused request may have run. */
public enum Verdict {
  /**
   * The request has not run: no byte of it reached a target, or the target reported that it shed
   * the request.
   */
  NOT_RUN("not-run"),
  /** The request may have run. */
  UNKNOWN("unknown");

  private final String wireName;

  Verdict(String wireName) {
    this.wireName = wireName;
  }

  /** Returns the name used in header fields and problem documents. */
  public String wireName() {
    return wireName;
  }
}
