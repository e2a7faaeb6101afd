package org.radishpost.manifest;

/** How a route prevents a call from running twice. */
public enum DuplicateGuard {
  /** No prevention, because calls may be repeated; only for idempotent routes. */
  NONE,
  /**
   * A call carries an idempotency key and runs only if it is the first call to claim the key in the
   * log.
   */
  KEY,
  /** Callers never resend a call; the call is sent only once and needs no claim. */
  CALLERS_NEVER_RESEND
}
