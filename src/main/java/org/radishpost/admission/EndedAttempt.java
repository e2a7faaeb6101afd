package org.radishpost.admission;

import org.radishpost.lib.CallInfo;

/**
 * The state of a call after one of its attempts has ended.
 *
 * @param call the call
 * @param allowance the allowance of the call at the start of the attempt
 * @param reroutes how often the call was rerouted to another pool or target because it had reached
 *     no target
 * @param mayHaveRun whether any byte of the call may have reached a target that did not shed it, in
 *     this or an earlier attempt
 * @param responseStarted whether any byte of a response was sent to the caller
 * @param bodyReplayable whether the whole body can be sent again
 * @param expectedDurationNanos the expected duration of another attempt
 */
public record EndedAttempt(
    CallInfo call,
    RetryAllowance allowance,
    int reroutes,
    boolean mayHaveRun,
    boolean responseStarted,
    boolean bodyReplayable,
    long expectedDurationNanos) {}
