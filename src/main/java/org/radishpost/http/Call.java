package org.radishpost.http;

import java.util.Optional;
import org.radishpost.lib.CallInfo;
import org.radishpost.routing.RouteMatch;

/**
 * A call that this VM processes.
 *
 * @param info the properties of the call that decisions depend on
 * @param match the matched route
 * @param head the request head to forward
 * @param body the request body
 * @param idempotencyKey the idempotency key that the caller sent
 * @param retriesLeft how many retries this call and all calls below it in the chain may still use
 */
public record Call(
    CallInfo info,
    RouteMatch match,
    RequestHead head,
    CallBody body,
    Optional<String> idempotencyKey,
    int retriesLeft) {
  /** Returns a copy of this call with a different number of remaining retries. */
  public Call withRetriesLeft(int newRetriesLeft) {
    return new Call(info, match, head, body, idempotencyKey, newRetriesLeft);
  }
}
