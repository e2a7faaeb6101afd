package org.radishpost.lib;

/** What a refusal says about the request it answers. */
public enum Verdict {
  /** No byte of the request reached a target, or the target itself said that it had shed it. */
  NOT_RUN("not-run"),
  /** The request may have run. */
  UNKNOWN("unknown");

  private final String text;

  Verdict(String text) {
    this.text = text;
  }

  /** Returns the form used in headers and problem documents. */
  public String text() {
    return text;
  }
}
