package org.radishpost.pool;

import java.util.Optional;

/** How the sending of one call to a target ended. */
public sealed interface TargetOutcome {
  /**
   * The target answered in full.
   *
   * @param status the HTTP status
   * @param report its load, when it told
   * @param serviceNanos the time from the first byte sent to the first byte of the answer
   */
  record Responded(int status, Optional<LoadReport> report, long serviceNanos)
      implements TargetOutcome {}

  /**
   * The target said that it did not run the call.
   *
   * @param report its load, when it told
   */
  record Shed(Optional<LoadReport> report) implements TargetOutcome {}

  /** No connection could be made, so that no byte was sent. */
  record NotConnected() implements TargetOutcome {}

  /**
   * The connection died after bytes were sent.
   *
   * @param onlyCallOnTarget whether no other call of this VM ran on the target
   */
  record ConnectionLost(boolean onlyCallOnTarget) implements TargetOutcome {}

  /** Nothing came within the time limit, so that the connection was closed. */
  record TimedOut() implements TargetOutcome {}

  /** The caller went away, so that the connection was closed. */
  record Cancelled() implements TargetOutcome {}
}
