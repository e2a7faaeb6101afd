package org.radishpost.lib;

/** What a refusal says about the request it answers. */
public enum Verdict {
  /** No byte of the request reached a target, or the target itself said that it had shed it. */
  NOT_RUN("not-run"),
  /** The request may have run. */
  UNKNOWN("unknown");

  private final String wireName;

  Verdict(String wireName) {
    this.wireName = wireName;
  }

  /** Returns the form used in headers and problem documents. */
  public String wireName() {
    return wireName;
  }
}
