package org.radishpost.pool;

/** Why the owner of a pool gives a call back without having sent a byte of it. */
public enum HandBackReason {
  /** The queue is at its bound, or the call lost its place to a heavier one. */
  QUEUE_FULL,
  /** The call cannot end before its deadline. */
  TOO_LATE,
  /** No target may take a call now. */
  NO_TARGET,
  /** This VM does not own the pool, or is about to lose it. */
  NOT_OWNER,
  /** The request is known to crash targets. */
  SUSPECT
}
