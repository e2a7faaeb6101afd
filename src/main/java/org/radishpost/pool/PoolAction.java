package org.radishpost.pool;

import org.radishpost.lib.CallFacts;
import org.radishpost.lib.CallId;
import org.radishpost.lib.Endpoint;

/** What a pool wants its adapter to do. */
public sealed interface PoolAction {
  /**
   * Send the call to the target now.
   *
   * @param call the call
   * @param target the target
   */
  record Send(CallFacts call, Endpoint target) implements PoolAction {}

  /**
   * Give the call back as not run.
   *
   * @param call the call
   * @param reason why
   */
  record HandBack(CallId call, HandBackReason reason) implements PoolAction {}

  /**
   * Ask the target's load endpoint.
   *
   * @param target the target
   */
  record Probe(Endpoint target) implements PoolAction {}

  /**
   * Open connections ahead, so that at least so many stand idle.
   *
   * @param target the target
   * @param minIdle the idle connections wanted
   */
  record OpenIdleConnections(Endpoint target, int minIdle) implements PoolAction {}

  /**
   * Close the idle connections to a target that is no longer used.
   *
   * @param target the target
   */
  record CloseIdleConnections(Endpoint target) implements PoolAction {}

  /**
   * Tell the time line that a target changed its state.
   *
   * @param target the target
   * @param from the state before
   * @param to the state now
   */
  record StateChanged(Endpoint target, TargetState from, TargetState to) implements PoolAction {}
}
