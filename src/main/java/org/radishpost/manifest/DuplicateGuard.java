package org.radishpost.manifest;

/** How a route keeps a call from running twice. */
public enum DuplicateGuard {
  /** Calls may be repeated; only for idempotent routes. */
  NONE,
  /** A call bears an idempotency key; the first claim of the key on the log runs. */
  KEY,
  /** Callers never send a call again, so that one send without a claim is enough. */
  CALLERS_NEVER_RESEND
}
