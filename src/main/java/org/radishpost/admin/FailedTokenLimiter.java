package org.radishpost.admin;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Limits the failed authentications of each remote address to prevent guessing of tokens in bulk;
 * thread-safe.
 *
 * <p>An address that reaches {@value #MAX_FAILURES} failures is blocked: its requests are refused
 * before their tokens are checked. One failure is forgotten every {@value
 * #MILLIS_PER_FORGOTTEN_FAILURE} ms. When more than {@value #MAX_ADDRESSES} addresses have failed,
 * the least recently used one is evicted.
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

  /** Returns whether the address is blocked. */
  synchronized boolean isBlocked(String address, long nowMillis) {
    Failures failures = failuresByAddress.get(address);
    return failures != null && failures.currentCount(nowMillis) >= MAX_FAILURES;
  }

  /** Counts a request of the address that had no valid token. */
  synchronized void recordFailure(String address, long nowMillis) {
    Failures previous = failuresByAddress.getOrDefault(address, new Failures(0, nowMillis));
    failuresByAddress.put(address, new Failures(previous.currentCount(nowMillis) + 1, nowMillis));
  }

  /**
   * The failures of one address.
   *
   * @param countAtLastFailure the number of failures directly after the last one
   * @param lastFailureMillis the time of the last failure
   */
  private record Failures(long countAtLastFailure, long lastFailureMillis) {
    long currentCount(long nowMillis) {
      return Math.max(
          0, countAtLastFailure - (nowMillis - lastFailureMillis) / MILLIS_PER_FORGOTTEN_FAILURE);
    }
  }
}
