package org.radishpost.pool;

/** The reason why the owner of a pool hands back a call without having sent any byte of it. */
public enum HandBackReason {
  /** The queue is full, or the call was evicted in favor of another one. */
  QUEUE_FULL,
  /** The call cannot complete before its deadline. */
  TOO_LATE,
  /** No target currently accepts calls. */
  NO_TARGET,
  /** This VM does not own the pool, or is releasing it. */
  NOT_OWNER,
  /** The request is blocked because it has crashed targets. */
  SUSPECT
}
