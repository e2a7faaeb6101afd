package org.radishpost.claims;

/** One statement about one key on the log. */
sealed interface ClaimEntry {
  /** Returns the key. */
  ShortDigest key();

  /** Returns the attempt that the statement is about. */
  ShortDigest attempt();

  /** Returns the time that the key bears, in milliseconds since 1970. */
  long keyMillis();

  /** Returns what distinguishes this statement from others about the same attempt. */
  default Identity identity() {
    return new Identity(getClass(), attempt());
  }

  /** Names a statement: its kind and its attempt. */
  record Identity(Class<? extends ClaimEntry> kind, ShortDigest attempt) {}

  /**
   * An attempt wants to run the key.
   *
   * @param requestDigestPrefix the first bits of the digest of the request, 0 for none
   */
  record Claim(ShortDigest key, ShortDigest attempt, long keyMillis, long requestDigestPrefix)
      implements ClaimEntry {}

  /** An attempt was not and will never be sent. */
  record Withdrawal(ShortDigest key, ShortDigest attempt, long keyMillis) implements ClaimEntry {}

  /** An attempt ran and ended so. */
  record Completion(ShortDigest key, ShortDigest attempt, long keyMillis, ClaimOutcome outcome)
      implements ClaimEntry {}

  /** Returns the claim that a request makes. */
  static Claim claim(ClaimRequest request) {
    long requestDigestPrefix =
        request.homeRegions().isEmpty()
            ? request.requestDigest().map(d -> d.prefix()).orElse(0L)
            : 0;
    return new Claim(
        ShortDigest.of(request.key()),
        ShortDigest.of(request.attempt()),
        request.keyTimeMillis(),
        requestDigestPrefix);
  }

  /** Returns the withdrawal of a request. */
  static Withdrawal withdrawal(ClaimRequest request) {
    return new Withdrawal(
        ShortDigest.of(request.key()), ShortDigest.of(request.attempt()), request.keyTimeMillis());
  }

  /** Returns the settlement of a request, without a body that is too large to keep. */
  static Completion completion(ClaimRequest request, ClaimOutcome outcome) {
    return new Completion(
        ShortDigest.of(request.key()),
        ShortDigest.of(request.attempt()),
        request.keyTimeMillis(),
        withoutLargeBody(outcome));
  }

  private static ClaimOutcome withoutLargeBody(ClaimOutcome outcome) {
    boolean fits =
        outcome.body().length <= ClaimLimits.MAX_STORED_BODY_BYTES
            && outcome.contentType().length() <= ClaimLimits.MAX_STORED_CONTENT_TYPE_CHARS;
    return fits ? outcome : new ClaimOutcome(outcome.status(), "", new byte[0]);
  }
}
