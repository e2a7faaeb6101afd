package org.radishpost.bench;

/** The outcome of a call as seen by its caller. */
public enum Outcome {
  /** The caller received a complete response with a status below 500 that is not a refusal. */
  ANSWERED,
  /** The call was refused with the guarantee that it did not run. */
  NOT_RUN,
  /** The response does not state whether the call ran, or has a status of 500 or above. */
  UNKNOWN,
  /** The connection failed before the response was complete. */
  CUT,
  /** The response was not complete before the caller's timeout. */
  TIMEOUT,
  /** The load driver did not send the call because too many calls were in flight. */
  NOT_SENT
}
