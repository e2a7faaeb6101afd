package org.radishpost.admin;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Counts wrong tokens for each address, so that tokens cannot be guessed in bulk; thread-safe.
 *
 * <p>An address has an allowance of failures, which grows back with time. While it is used up,
 * every request from the address is refused before its token is looked at.
 */
final class FailedTokens {
  static final int ALLOWANCE = 10;
  static final long REGROWTH_MILLIS = 1_000;
  static final int MAX_ADDRESSES = 10_000;

  private final Map<String, Failures> addresses =
      new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Failures> eldest) {
          return size() > MAX_ADDRESSES;
        }
      };

  /** Tells whether the address has used up its allowance. */
  synchronized boolean exhausted(String address, long nowMillis) {
    Failures failures = addresses.get(address);
    return failures != null && failures.count(nowMillis) >= ALLOWANCE;
  }

  /** Takes note of a wrong token. */
  synchronized void failed(String address, long nowMillis) {
    Failures before = addresses.getOrDefault(address, new Failures(0, nowMillis));
    addresses.put(address, new Failures(before.count(nowMillis) + 1, nowMillis));
  }

  /**
   * The failures of one address.
   *
   * @param counted their number at the time
   * @param atMillis the time
   */
  private record Failures(long counted, long atMillis) {
    long count(long nowMillis) {
      return Math.max(0, counted - (nowMillis - atMillis) / REGROWTH_MILLIS);
    }
  }
}
