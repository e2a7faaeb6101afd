package org.radishpost.claims;

/** What became of a claim. */
public sealed interface ClaimAnswer {
  /** The attempt is the first for its key: it alone may send, once. */
  record Granted() implements ClaimAnswer {}

  /**
   * An earlier attempt ran and its outcome is known.
   *
   * @param outcome the outcome
   */
  record Settled(ClaimOutcome outcome) implements ClaimAnswer {}

  /** An earlier attempt holds the key and its outcome is not known. */
  record Held() implements ClaimAnswer {}

  /**
   * The key cannot be claimed, and whether it ever ran is not known, as its claim may have expired.
   */
  record KeyTooOld() implements ClaimAnswer {}

  /** The key bears a time in the future or was used with another request; nothing was claimed. */
  record KeyMisused() implements ClaimAnswer {}

  /** The log could not be reached in time; this attempt must not send and will not be granted. */
  record Unavailable() implements ClaimAnswer {}
}
