package org.radishpost.pool;

import java.util.Optional;

/** The outcome of one attempt to send a call to a target. */
public sealed interface TargetOutcome {
  /**
   * The target sent a complete response.
   *
   * @param status the HTTP status
   * @param report the load report in the response, if any
   * @param serviceNanos the time from the first byte sent to the first byte of the response
   */
  record Responded(int status, Optional<LoadReport> report, long serviceNanos)
      implements TargetOutcome {}

  /**
   * The target responded that it did not run the call.
   *
   * @param report the load report in the response, if any
   */
  record Shed(Optional<LoadReport> report) implements TargetOutcome {}

  /** No connection could be established; no byte was sent. */
  record NotConnected() implements TargetOutcome {}

  /**
   * The connection was lost after bytes were sent.
   *
   * @param onlyCallOnTarget whether this VM had no other call in flight to the target
   */
  record ConnectionLost(boolean onlyCallOnTarget) implements TargetOutcome {}

  /** The target did not respond within the timeout, and the connection was closed. */
  record TimedOut() implements TargetOutcome {}

  /** The call was cancelled, and the connection was closed. */
  record Cancelled() implements TargetOutcome {}
}
