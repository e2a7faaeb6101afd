package org.radishpost.claims;

import java.time.Duration;
import reactor.core.publisher.Mono;

/**
 * Sees to it that of all attempts with one key at most one is sent.
 *
 * <p>Thread-safe. A {@link ClaimResult.Granted} answer is for the asking VM alone; it sends once or
 * withdraws, never both.
 */
public interface Claims {
  /**
   * Claims a key.
   *
   * @param request what is claimed
   * @param timeout the longest wait, after which the answer is {@link ClaimResult.Unavailable}
   * @return the answer, never an error
   */
  Mono<ClaimResult> claim(ClaimRequest request, Duration timeout);

  /** Records how the granted attempt ended, as well as possible; losing it costs only truth. */
  void complete(ClaimRequest request, ClaimOutcome outcome);

  /** Gives a granted claim back that was not and will never be sent. */
  void withdraw(ClaimRequest request);
}
