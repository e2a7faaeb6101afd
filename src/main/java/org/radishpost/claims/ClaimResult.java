package org.radishpost.claims;

/** What became of a claim. */
public sealed interface ClaimResult {
  /** The attempt is the first for its key: it alone may send, once. */
  record Granted() implements ClaimResult {}

  /**
   * An earlier attempt ran and its outcome is known.
   *
   * @param outcome the outcome
   */
  record Completed(ClaimOutcome outcome) implements ClaimResult {}

  /** An earlier attempt holds the key and its outcome is not known. */
  record Held() implements ClaimResult {}

  /**
   * The key cannot be claimed, and whether it ever ran is not known, as its claim may have expired.
   */
  record KeyTooOld() implements ClaimResult {}

  /** The key bears a time in the future or was used with another request; nothing was claimed. */
  record KeyMisused() implements ClaimResult {}

  /** The log could not be reached in time; this attempt must not send and will not be granted. */
  record Unavailable() implements ClaimResult {}
}
