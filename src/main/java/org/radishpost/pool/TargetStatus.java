package org.radishpost.pool;

import org.radishpost.lib.Endpoint;

/**
 * The status of one target for the administration interface.
 *
 * @param target the target
 * @param state the state of the target
 * @param running the number of calls from this VM that are in flight to the target
 * @param limit the maximum number of calls from this VM that may be in flight to the target
 */
public record TargetStatus(Endpoint target, TargetState state, int running, int limit) {}
