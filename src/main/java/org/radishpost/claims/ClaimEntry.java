package org.radishpost.claims;

/** One entry of a claim record: a claim, withdrawal or completion of one attempt. */
sealed interface ClaimEntry {
  /** Returns the digest of the key. */
  ShortDigest key();

  /** Returns the digest that identifies the attempt. */
  ShortDigest attempt();

  /** Returns the time in the key, in milliseconds since 1970. */
  long keyMillis();

  /** Returns the identity of this entry. */
  default Identity identity() {
    return new Identity(getClass(), attempt());
  }

  /**
   * The identity of an entry: an attempt has at most one entry of each type.
   *
   * @param kind the type of the entry
   * @param attempt the attempt
   */
  record Identity(Class<? extends ClaimEntry> kind, ShortDigest attempt) {}

  /**
   * An attempt claims the key.
   *
   * @param requestDigestPrefix the first 64 bits of the digest of the request, 0 for none
   */
  record Claim(ShortDigest key, ShortDigest attempt, long keyMillis, long requestDigestPrefix)
      implements ClaimEntry {}

  /** An attempt gives up the key; it was not sent and will never be sent. */
  record Withdrawal(ShortDigest key, ShortDigest attempt, long keyMillis) implements ClaimEntry {}

  /**
   * An attempt was sent and its outcome is known.
   *
   * @param outcome the outcome, without a body that is too large to store
   */
  record Completion(ShortDigest key, ShortDigest attempt, long keyMillis, ClaimOutcome outcome)
      implements ClaimEntry {}

  /**
   * Returns the claim entry for a request. The digest of the request is omitted if the route has
   * home regions.
   */
  static Claim claim(ClaimRequest request) {
    long requestDigestPrefix =
        request.homeRegions().isEmpty()
            ? request.requestDigest().map(d -> d.prefixAsLong()).orElse(0L)
            : 0;
    return new Claim(
        ShortDigest.of(request.key()),
        ShortDigest.of(request.attempt()),
        request.keyTimeMillis(),
        requestDigestPrefix);
  }

  /** Returns the withdrawal entry for a request. */
  static Withdrawal withdrawal(ClaimRequest request) {
    return new Withdrawal(
        ShortDigest.of(request.key()), ShortDigest.of(request.attempt()), request.keyTimeMillis());
  }

  /**
   * Returns the completion entry for a request. A body or content type that is too large to store
   * is omitted.
   */
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
