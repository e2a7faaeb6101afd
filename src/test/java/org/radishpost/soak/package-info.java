/**
 * A randomized soak test: entry processes and stand-ins on loopback, with injected faults.
 *
 * <p>{@link org.radishpost.soak.SoakRun} runs one seed. It uses {@link
 * org.radishpost.soak.SoakSystem} (processes, store, targets and the links between them), {@link
 * org.radishpost.soak.Caller}, {@link org.radishpost.soak.FaultInjector}, and {@link
 * org.radishpost.soak.RequestTracker}, which compares the responses that callers received with the
 * executions at targets.
 */
package org.radishpost.soak;
