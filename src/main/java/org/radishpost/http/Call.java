package org.radishpost.http;

import java.util.Optional;
import org.radishpost.lib.CallInfo;
import org.radishpost.routing.RouteMatch;

/**
 * A call on its way through this VM.
 *
 * @param info what decisions know about it
 * @param match its route
 * @param head the head that is passed on
 * @param body the body
 * @param idempotencyKey the key that the caller sent
 * @param retriesLeft how many retries the whole chain below may still use
 */
public record Call(
    CallInfo info,
    RouteMatch match,
    RequestHead head,
    CallBody body,
    Optional<String> idempotencyKey,
    int retriesLeft) {
  /** Returns the same call with other retries left. */
  public Call withRetriesLeft(int newRetriesLeft) {
    return new Call(info, match, head, body, idempotencyKey, newRetriesLeft);
  }
}
