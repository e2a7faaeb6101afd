package org.radishpost.pool;

import org.radishpost.lib.Endpoint;

/**
 * One target as administration shows it.
 *
 * @param target the target
 * @param state its state
 * @param running the calls that this VM has on it
 * @param limit the calls that it may have now
 */
public record TargetStatus(Endpoint target, TargetState state, int running, int limit) {}
