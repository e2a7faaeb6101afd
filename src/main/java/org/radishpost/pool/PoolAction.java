package org.radishpost.pool;

import org.radishpost.lib.CallId;
import org.radishpost.lib.CallInfo;
import org.radishpost.lib.Endpoint;

/** An action that a pool requests from its adapter. */
public sealed interface PoolAction {
  /**
   * Send the call to the target now.
   *
   * @param call the call
   * @param target the target
   */
  record Send(CallInfo call, Endpoint target) implements PoolAction {}

  /**
   * Hand the call back as not run.
   *
   * @param call the call
   * @param reason the reason for the hand-back
   */
  record HandBack(CallId call, HandBackReason reason) implements PoolAction {}

  /**
   * Send a load probe to the target.
   *
   * @param target the target
   */
  record Probe(Endpoint target) implements PoolAction {}

  /**
   * Open connections to the target until at least {@code minIdle} are idle.
   *
   * @param target the target
   * @param minIdle the minimum number of idle connections
   */
  record OpenIdleConnections(Endpoint target, int minIdle) implements PoolAction {}

  /**
   * Close the idle connections to a target that is no longer used.
   *
   * @param target the target
   */
  record CloseIdleConnections(Endpoint target) implements PoolAction {}

  /**
   * Record on the timeline that the state of a target changed.
   *
   * @param target the target
   * @param from the previous state
   * @param to the new state
   */
  record RecordStateChange(Endpoint target, TargetState from, TargetState to)
      implements PoolAction {}
}
