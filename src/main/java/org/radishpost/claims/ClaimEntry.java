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
   * @param check the first bits of the digest of the request, 0 for none
   */
  record Claim(ShortDigest key, ShortDigest attempt, long keyMillis, long check)
      implements ClaimEntry {}

  /** An attempt was not and will never be sent. */
  record Withdrawal(ShortDigest key, ShortDigest attempt, long keyMillis) implements ClaimEntry {}

  /** An attempt ran and ended so. */
  record Settlement(ShortDigest key, ShortDigest attempt, long keyMillis, ClaimOutcome outcome)
      implements ClaimEntry {}

  /** Returns the claim that a request makes. */
  static Claim claim(ClaimRequest request) {
    long check =
        request.homeRegions().isEmpty() ? request.request().map(d -> d.prefix()).orElse(0L) : 0;
    return new Claim(
        ShortDigest.of(request.key()),
        ShortDigest.of(request.attempt()),
        request.keyTimeMillis(),
        check);
  }

  /** Returns the withdrawal of a request. */
  static Withdrawal withdrawal(ClaimRequest request) {
    return new Withdrawal(
        ShortDigest.of(request.key()), ShortDigest.of(request.attempt()), request.keyTimeMillis());
  }

  /** Returns the settlement of a request, without a body that is too large to keep. */
  static Settlement settlement(ClaimRequest request, ClaimOutcome outcome) {
    return new Settlement(
        ShortDigest.of(request.key()),
        ShortDigest.of(request.attempt()),
        request.keyTimeMillis(),
        bounded(outcome));
  }

  private static ClaimOutcome bounded(ClaimOutcome outcome) {
    boolean fits =
        outcome.body().length <= ClaimLimits.MAX_BODY_BYTES
            && outcome.contentType().length() <= ClaimLimits.MAX_CONTENT_TYPE_CHARS;
    return fits ? outcome : new ClaimOutcome(outcome.status(), "", new byte[0]);
  }
}
