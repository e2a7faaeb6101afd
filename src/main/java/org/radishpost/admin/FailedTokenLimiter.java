package org.radishpost.admin;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Counts wrong tokens for each address, so that tokens cannot be guessed in bulk; thread-safe.
 *
 * <p>An address has an allowance of failures, which grows back with time. While it is used up,
 * every request from the address is refused before its token is looked at.
 */
final class FailedTokenLimiter {
  static final int MAX_FAILURES = 10;
  static final long MILLIS_PER_FORGOTTEN_FAILURE = 1_000;
  static final int MAX_ADDRESSES = 10_000;

  private final Map<String, Failures> failuresByAddress =
      new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Failures> eldest) {
          return size() > MAX_ADDRESSES;
        }
      };

  /** Tells whether the address has used up its allowance. */
  synchronized boolean isBlocked(String address, long nowMillis) {
    Failures failures = failuresByAddress.get(address);
    return failures != null && failures.currentCount(nowMillis) >= MAX_FAILURES;
  }

  /** Takes note of a wrong token. */
  synchronized void recordFailure(String address, long nowMillis) {
    Failures previous = failuresByAddress.getOrDefault(address, new Failures(0, nowMillis));
    failuresByAddress.put(address, new Failures(previous.currentCount(nowMillis) + 1, nowMillis));
  }

  /**
   * The failures of one address.
   *
   * @param countAtLastFailure their number at the time
   * @param lastFailureMillis the time
   */
  private record Failures(long countAtLastFailure, long lastFailureMillis) {
    long currentCount(long nowMillis) {
      return Math.max(
          0, countAtLastFailure - (nowMillis - lastFailureMillis) / MILLIS_PER_FORGOTTEN_FAILURE);
    }
  }
}
