package org.radishpost.direct;

import java.util.Optional;
import org.radishpost.http.Response;

/** The result of an attempt. */
sealed interface AttemptResult {
  /**
   * The target ran the call.
   *
   * @param response the response of the target
   */
  record Succeeded(Response response) implements AttemptResult {}

  /**
   * The attempt failed and the call must not be sent again.
   *
   * @param reason why, for the log
   * @param response the response to the caller
   */
  record Failed(String reason, Response response) implements AttemptResult {}

  /**
   * The attempt failed and the call may be sent to another target.
   *
   * @param reason why, for the log
   * @param fallback the response to the caller if the call is not sent again; empty if this attempt
   *     did not run the call
   */
  record Retryable(String reason, Optional<Response> fallback) implements AttemptResult {}
}
