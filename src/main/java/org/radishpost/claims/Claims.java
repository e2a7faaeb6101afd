package org.radishpost.claims;

import java.time.Duration;
import reactor.core.publisher.Mono;

/**
 * Ensures that at most one of all attempts with the same idempotency key is sent.
 *
 * <p>Thread-safe. After {@link ClaimResult.Granted}, the VM that made the claim must either send
 * the attempt once or withdraw it, never both.
 */
public interface Claims {
  /**
   * Claims a key.
   *
   * @param request the claim
   * @param timeout the time after which the result is {@link ClaimResult.Unavailable}
   * @return the result; never signals an error
   */
  Mono<ClaimResult> claim(ClaimRequest request, Duration timeout);

  /**
   * Records the outcome of a granted attempt, on a best-effort basis. If the record is lost, later
   * attempts with the key get {@link ClaimResult.Held} instead of the outcome.
   */
  void complete(ClaimRequest request, ClaimOutcome outcome);

  /** Withdraws a granted attempt that was not sent and will never be sent. */
  void withdraw(ClaimRequest request);
}
