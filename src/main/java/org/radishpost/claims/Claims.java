package org.radishpost.claims;

import java.time.Duration;
import reactor.core.publisher.Mono;

/**
 * Sees to it that of all attempts with one key at most one is sent.
 *
 * <p>Thread-safe. A {@link ClaimAnswer.Granted} answer is for the asking VM alone; it sends once or
 * withdraws, never both.
 */
public interface Claims {
  /**
   * Claims a key.
   *
   * @param request what is claimed
   * @param limit the longest wait, after which the answer is {@link ClaimAnswer.Unavailable}
   * @return the answer, never an error
   */
  Mono<ClaimAnswer> claim(ClaimRequest request, Duration limit);

  /** Records how the granted attempt ended, as well as possible; losing it costs only truth. */
  void settle(ClaimRequest request, ClaimOutcome outcome);

  /** Gives a granted claim back that was not and will never be sent. */
  void withdraw(ClaimRequest request);
}
