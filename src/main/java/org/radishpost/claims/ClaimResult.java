package org.radishpost.claims;

/** The result of a claim. */
public sealed interface ClaimResult {
  /** The attempt holds the key. Only this attempt may send the call, and only once. */
  record Granted() implements ClaimResult {}

  /**
   * An earlier attempt was sent and its outcome is known.
   *
   * @param outcome the outcome of the earlier attempt
   */
  record Completed(ClaimOutcome outcome) implements ClaimResult {}

  /** An earlier attempt holds the key and its outcome is not known. */
  record Held() implements ClaimResult {}

  /**
   * The key is too old to be claimed. An earlier claim of it may have expired, so it is not known
   * whether the call was ever sent.
   */
  record KeyTooOld() implements ClaimResult {}

  /**
   * The time in the key is too far in the future, or the key was used with a different request. The
   * key was not claimed.
   */
  record KeyMisused() implements ClaimResult {}

  /**
   * The claim was not decided in time, for example because the log was unreachable, or the attempt
   * had already been withdrawn or refused. The attempt must not be sent, and no grant is reported
   * for it later.
   */
  record Unavailable() implements ClaimResult {}
}
