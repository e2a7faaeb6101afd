package org.radishpost.bench;

/** How a call of the load ended for its caller. */
public enum Outcome {
  /** A whole answer with a status below 500 and without a refusal. */
  ANSWERED,
  /** A refusal that says that the call did not run. */
  NOT_RUN,
  /** An answer that leaves open whether the call ran, or an error of the target. */
  UNKNOWN,
  /** The connection ended before the whole answer. */
  CUT,
  /** No whole answer within the caller's wait. */
  TIMEOUT,
  /** The load driver was at its own bound and did not send the call. */
  NOT_SENT
}
